#include <stagepostd/SettingsLoader.h>

#include <algorithm>
#include <utility>

namespace Stagepost {

namespace {

    // Requests wait for as long as a slice takes. This is a small part of the time in which the
    // next event of a stream is due.
    constexpr Milliseconds maxSliceDuration { 4 };
    // Bounds a slice where the clock does not show its duration. A step takes 0.1 ms on an eighth
    // of a core.
    constexpr size_t maxStepsPerSlice = 24;

    bool hasVersion(std::optional<SettingsLoader::PendingSettings> const& pending, uint64_t version)
    {
        return pending && pending->update && pending->update->version >= version;
    }

    // Of two configurations that other daemons have sent, the version decides. One from the store has no
    // version before it is parsed, but no newer one precedes the position of either.
    bool isOlder(SettingsLoader::PendingSettings const& one, SettingsLoader::PendingSettings const& other)
    {
        if (one.update && other.update)
            return one.update->version < other.update->version;
        return one.position && one.position < other.position;
    }

}

SettingsLoader::SettingsLoader(EventLoop& loop, Hooks hooks)
    : m_loop(loop)
    , m_hooks(std::move(hooks))
    , m_timer(loop)
{
}

bool SettingsLoader::isLoading(uint64_t version) const
{
    return hasVersion(m_current, version) || hasVersion(m_next, version);
}

void SettingsLoader::load(PendingSettings pending)
{
    if (!isBusy())
        startLoading(std::move(pending));
    else if (!m_next || !isOlder(pending, *m_next))
        m_next = std::move(pending);
}

void SettingsLoader::startLoading(PendingSettings pending)
{
    m_current = std::move(pending);
    m_current->startedAt = m_loop.now();
    m_parser = m_hooks.parse(m_current->text);
    continueLoading();
}

std::optional<Result<RouteTable::Parts>> SettingsLoader::runSlice()
{
    auto const begin = m_loop.now();
    std::optional<Result<RouteTable::Parts>> parts;
    for (size_t count = 0; count < maxStepsPerSlice && !parts && m_loop.now() - begin < maxSliceDuration; ++count)
        parts = m_parser();
    auto const took = m_loop.now() - begin;
    m_current->longestSlice = std::max(m_current->longestSlice, took);
    m_hooks.sliceFinished(took);
    return parts;
}

void SettingsLoader::continueLoading()
{
    if (auto parts = runSlice())
        finish(std::move(*parts));
    else
        m_timer.once(Milliseconds(0), [this] { continueLoading(); });
}

void SettingsLoader::finish(Result<RouteTable::Parts> parts)
{
    auto const pending = std::move(*m_current);
    m_current.reset();
    m_parser = {};
    bool const isApplied = m_hooks.parsed(std::move(parts), pending);
    if (m_next)
        m_timer.once(Milliseconds(0), [this] { startLoading(*std::exchange(m_next, {})); });
    if (isApplied && pending.onApplied)
        pending.onApplied();
}

}

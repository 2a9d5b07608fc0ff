#include <stagepostd/SettingsIntake.h>

#include <algorithm>
#include <utility>

namespace Stagepost {

namespace {

    // How long requests wait for one turn of reading, at the most: a small part of the
    // time in which a stream's next event is still in time.
    constexpr Milliseconds longestTurn { 4 };
    // Of one turn, where the clock does not show what it takes: a step takes a tenth of a
    // millisecond on an eighth of a core.
    constexpr size_t mostSteps = 24;

    bool hasVersion(std::optional<SettingsIntake::Arrival> const& arrival, uint64_t version)
    {
        return arrival && arrival->told && arrival->told->version >= version;
    }

}

SettingsIntake::SettingsIntake(EventLoop& loop, Hooks hooks)
    : m_loop(loop)
    , m_hooks(std::move(hooks))
    , m_timer(loop)
{
}

bool SettingsIntake::isTaking(uint64_t version) const
{
    return hasVersion(m_reading, version) || hasVersion(m_waiting, version);
}

void SettingsIntake::take(Arrival arrival)
{
    if (isBusy())
        m_waiting = std::move(arrival);
    else
        begin(std::move(arrival));
}

void SettingsIntake::begin(Arrival arrival)
{
    m_reading = std::move(arrival);
    m_reading->begunAt = m_loop.now();
    m_steps = m_hooks.read(m_reading->text);
    goOn();
}

std::optional<Result<RouteTable::Parts>> SettingsIntake::turn()
{
    auto const begin = m_loop.now();
    std::optional<Result<RouteTable::Parts>> parts;
    for (size_t count = 0; count < mostSteps && !parts && m_loop.now() - begin < longestTurn; ++count)
        parts = m_steps();
    auto const took = m_loop.now() - begin;
    m_reading->longestTurn = std::max(m_reading->longestTurn, took);
    m_hooks.turned(took);
    return parts;
}

void SettingsIntake::goOn()
{
    if (auto parts = turn())
        finish(std::move(*parts));
    else
        m_timer.once(Milliseconds(0), [this] { goOn(); });
}

void SettingsIntake::finish(Result<RouteTable::Parts> parts)
{
    auto const arrival = std::move(*m_reading);
    m_reading.reset();
    m_steps = {};
    bool const isInForce = m_hooks.taken(std::move(parts), arrival);
    if (m_waiting)
        m_timer.once(Milliseconds(0), [this] { begin(*std::exchange(m_waiting, {})); });
    if (isInForce && arrival.inForce)
        arrival.inForce();
}

}

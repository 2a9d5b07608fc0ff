#include <LibRouting/VersionHistory.h>

namespace Stagepost {

void VersionHistory::appeared(VersionId version, Instant now)
{
    std::erase_if(m_spans, [&](auto const& entry) { return !isRecent(entry.second, now); });
    m_spans.try_emplace(version, Span { now, {}, {} }).first->second.vanishedAt.reset();
}

void VersionHistory::vanished(VersionId version, Instant now)
{
    if (auto const found = m_spans.find(version); found != m_spans.end())
        found->second.vanishedAt = now;
}

void VersionHistory::lapsed(VersionId version, Instant now)
{
    if (auto const found = m_spans.find(version); found != m_spans.end())
        found->second.lapsedUntil = now + lapsedMemory;
}

void VersionHistory::restart(Instant now)
{
    m_since = now;
    m_provenSince = now;
    m_restoredUniformAt.reset();
    std::erase_if(m_spans, [&](auto const& entry) { return !isRecent(entry.second, now); });
    for (auto& [version, span] : m_spans)
        span.firstSeen = now;
}

// A version that has left may have had upstreams until just now. One that was alone is known for as long as
// the history is.
void VersionHistory::restore(std::set<VersionId> const& earlier, LapsedVersions const& lapsed, Instant readAt, Instant now)
{
    for (auto const version : earlier) {
        auto& span = m_spans.try_emplace(version, Span { now, now, {} }).first->second;
        if (span.vanishedAt)
            span.vanishedAt = now;
        if (auto const found = lapsed.find(version); found != lapsed.end())
            span.lapsedUntil = std::max(span.lapsedUntil.value_or(now), now + std::min(found->second, lapsedMemory));
    }
    m_since = std::min(m_since, now - m_memory);
    m_provenSince = m_since;
    auto const recent = recentVersions(now);
    m_restoredUniformAt = recent.size() == 1 ? std::optional(readAt) : std::nullopt;
    if (m_restoredUniformAt)
        m_spans.at(*recent.begin()).firstSeen = m_since;
}

std::set<VersionId> VersionHistory::recentVersions(Instant now) const
{
    std::set<VersionId> result;
    for (auto const& [version, span] : m_spans) {
        if (isRecent(span, now))
            result.insert(version);
    }
    return result;
}

LapsedVersions VersionHistory::lapsedVersions(Instant now) const
{
    LapsedVersions result;
    for (auto const& [version, span] : m_spans) {
        if (hasLapsed(span, now))
            result[version] = *span.lapsedUntil - now;
    }
    return result;
}

std::optional<VersionId> VersionHistory::uniformVersion(Instant now) const
{
    auto const recent = recentVersions(now);
    return now - m_provenSince >= m_memory && recent.size() == 1 ? std::optional(*recent.begin()) : std::nullopt;
}

// All daemons record the streams that begin once they know of several versions. A version that was added
// of late was not alone when its streams began, so all of them are recorded.
std::optional<VersionId> VersionHistory::versionWithoutRecords(Instant now) const
{
    std::optional<VersionId> result;
    if (!isComplete(now))
        return result;
    for (auto const& [version, span] : m_spans) {
        bool const isLongKnown = uniformVersion(now) || now - span.firstSeen >= m_memory;
        if (!isRecent(span, now) || !isLongKnown)
            continue;
        if (result)
            return {};
        result = version;
    }
    return result;
}

bool VersionHistory::isYetUnseen(VersionId version, Instant now) const
{
    return isComplete(now) && !m_spans.contains(version);
}

}

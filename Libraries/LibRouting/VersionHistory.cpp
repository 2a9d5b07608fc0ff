#include <LibRouting/VersionHistory.h>

#include <algorithm>

namespace Stagepost {

void VersionHistory::appeared(VersionId version, Instant now)
{
    std::erase_if(m_spans, [&](auto const& entry) { return !isRecent(entry.second, now); });
    m_spans.try_emplace(version, Span { now, {} }).first->second.vanishedAt.reset();
}

void VersionHistory::vanished(VersionId version, Instant now)
{
    if (auto const found = m_spans.find(version); found != m_spans.end())
        found->second.vanishedAt = now;
}

void VersionHistory::restart(Instant now)
{
    m_since = now;
    std::erase_if(m_spans, [](auto const& entry) { return entry.second.vanishedAt.has_value(); });
    for (auto& [version, span] : m_spans)
        span.firstSeen = now;
}

bool VersionHistory::isUniform(Instant now) const
{
    return isComplete(now) && onlySeenVersion(now);
}

// All daemons record the streams that begin once they know of several versions. A version that was added
// of late was not alone when its streams began, so all of them are recorded.
std::optional<VersionId> VersionHistory::versionWithoutRecords(Instant now) const
{
    std::optional<VersionId> result;
    if (!isComplete(now))
        return result;
    for (auto const& [version, span] : m_spans) {
        bool const isLongKnown = isUniform(now) || now - span.firstSeen >= memory;
        if (!isRecent(span, now) || !isLongKnown)
            continue;
        if (result)
            return {};
        result = version;
    }
    return result;
}

std::optional<VersionId> VersionHistory::onlySeenVersion(Instant now) const
{
    std::optional<VersionId> result;
    for (auto const& [version, span] : m_spans) {
        if (!isRecent(span, now))
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

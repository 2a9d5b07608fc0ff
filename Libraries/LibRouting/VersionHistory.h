#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <map>
#include <optional>

namespace Stagepost {

// The software versions that the upstreams of a service have had of late, as this daemon saw them.
// Streams are only recorded while they can have begun at several versions; see StreamOriginExchange.
class VersionHistory {
public:
    // No caller takes up a stream that began longer ago.
    static constexpr Microseconds memory { 30000000 };

    explicit VersionHistory(Instant since)
        : m_since(since)
    {
    }

    // The first upstream of the version was added, or the last one was removed.
    void appeared(VersionId, Instant now);
    void vanished(VersionId, Instant now);
    // This daemon may have missed versions that came and went.
    void restart(Instant now);

    // Whether everything since then was seen, without a gap.
    bool isComplete(Instant now) const { return now - m_since >= memory; }
    // Whether all streams that callers can take up have begun at one version.
    bool isUniform(Instant now) const;
    // The version at which a stream has begun of which no daemon has a record. None if that may have been
    // one of several.
    std::optional<VersionId> versionWithoutRecords(Instant now) const;
    // The only version that was seen of late; none if there were several. Streams need a record only then.
    std::optional<VersionId> onlySeenVersion(Instant now) const;
    // Whether a version at which a stream has begun must have joined without this daemon's knowledge.
    bool isYetUnseen(VersionId, Instant now) const;

private:
    struct Span {
        Instant firstSeen;
        // Not set while it has upstreams.
        std::optional<Instant> vanishedAt;
    };

    bool isRecent(Span const& span, Instant now) const { return !span.vanishedAt || now - *span.vanishedAt < memory; }

    Instant m_since;
    std::map<VersionId, Span> m_spans;
};

}

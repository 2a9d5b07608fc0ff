#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <map>
#include <optional>
#include <set>

namespace Stagepost {

// The software versions that the upstreams of a service have had of late, as this daemon saw them.
// Streams are only recorded while they can have begun at several versions; see StreamOriginExchange.
class VersionHistory {
public:
    // No caller takes up a stream that began longer ago.
    static constexpr Microseconds memory { 30000000 };

    explicit VersionHistory(Instant since)
        : m_since(since)
        , m_provenSince(since)
    {
    }

    // The first upstream of the version was added, or the last one was removed.
    void appeared(VersionId, Instant now);
    void vanished(VersionId, Instant now);
    // This daemon may have missed versions that came and went.
    void restart(Instant now);
    // The list of upstreams was outdated for a while. All versions that others have used meanwhile had
    // records for their streams, unless that took as long as streams can be taken up.
    void requireProof(Instant now) { m_provenSince = now; }
    // These are all versions that upstreams have had before, or while this daemon may have missed some.
    void restore(std::set<VersionId> const& earlier, Instant now);
    // Whether a restored history has shown a single version. Then no stream that began before this daemon
    // started needs a record.
    bool hasRestoredUniform() const { return m_hasRestoredUniform; }

    // Whether everything since then was seen, without a gap.
    bool isComplete(Instant now) const { return now - m_since >= memory; }
    // The version at which a stream has begun of which no daemon has a record. None if that may have been
    // one of several.
    std::optional<VersionId> versionWithoutRecords(Instant now) const;
    // The only version that upstreams have had for as long as streams can be taken up. None if there were
    // several, or if some may not have been seen. Streams need a record then.
    std::optional<VersionId> uniformVersion(Instant now) const;
    // The versions that were seen of late.
    std::set<VersionId> recentVersions(Instant now) const;
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
    // As m_since, but without the times at which the list of upstreams was outdated.
    Instant m_provenSince;
    bool m_hasRestoredUniform { false };
    std::map<VersionId, Span> m_spans;
};

}

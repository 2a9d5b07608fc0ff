#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Stagepost {

// Versions by service.
using ServiceVersions = std::map<std::string, std::set<VersionId>>;

// Versions of which upstreams have lapsed, with the time for which each of them is still remembered.
using LapsedVersions = std::map<VersionId, Microseconds>;
using ServiceLapsedVersions = std::map<std::string, LapsedVersions>;

// The software versions that the upstreams of a service have had of late, as this daemon saw them.
// Streams are only recorded while they can have begun at several versions; see StreamOriginExchange.
//
// A version is remembered for as long as any daemon of the fleet can have begun a stream at it that a caller may still take up.
// Where its upstreams have announced that they leave, that is the time within which streams can be taken up. Where their records
// have lapsed instead, a hall that is cut off may still use them, so the version is remembered for longer.
class VersionHistory {
public:
    // No caller takes up a stream that began longer ago, unless a route allows for more time; see extendMemory().
    static constexpr Microseconds memory { 30000000 };

    // Halls lose each other, and the store, for an hour now and then.
    static constexpr Microseconds lapsedMemory { 3600000000 };

    explicit VersionHistory(Instant since, Microseconds streamLifetime = memory)
        : m_memory(std::max(memory, streamLifetime))
        , m_since(since)
        , m_provenSince(since)
    {
    }

    // Streams that begin from now on may be taken up for this long. The time never becomes shorter, since streams that have
    // begun keep their deadlines.
    void extendMemory(Microseconds streamLifetime) { m_memory = std::max(m_memory, streamLifetime); }
    // How long versions that have left are remembered.
    Microseconds currentMemory() const { return m_memory; }

    // The first upstream of the version was added, or the last one was removed.
    void appeared(VersionId, Instant now);
    void vanished(VersionId, Instant now);
    // An upstream of the version is no longer listed although it has not announced that it leaves.
    void lapsed(VersionId, Instant now);
    // This daemon may have missed versions that came and went.
    void restart(Instant now);
    // The list of upstreams was outdated for a while. All versions that others have used meanwhile had
    // records for their streams, unless that took as long as streams can be taken up.
    void requireProof(Instant now) { m_provenSince = now; }
    // These are all versions that upstreams have had before, or while this daemon may have missed some, and those of
    // them of which upstreams may have lapsed, as of a read of the store. A start of a daemon doesn't extend the time for which
    // these are remembered.
    void restore(std::set<VersionId> const& earlier, LapsedVersions const& lapsed, Instant readAt, Instant now);
    // As of when a restored history has shown a single version; none if it has not. No stream that began before
    // needs a record.
    std::optional<Instant> restoredUniformAt() const { return m_restoredUniformAt; }

    // Whether everything since then was seen, without a gap.
    bool isComplete(Instant now) const { return now - m_since >= m_memory; }
    // The version at which a stream has begun of which no daemon has a record. None if that may have been
    // one of several.
    std::optional<VersionId> versionWithoutRecords(Instant now) const;
    // The only version that upstreams have had for as long as streams can be taken up. None if there were
    // several, or if some may not have been seen. Streams need a record then.
    std::optional<VersionId> uniformVersion(Instant now) const;
    // The versions that were seen of late.
    std::set<VersionId> recentVersions(Instant now) const;
    // Those of which upstreams have lapsed, and that are not forgotten.
    LapsedVersions lapsedVersions(Instant now) const;
    // Whether a version at which a stream has begun must have joined without this daemon's knowledge.
    bool isYetUnseen(VersionId, Instant now) const;

private:
    struct Span {
        Instant firstSeen;
        // Not set while it has upstreams.
        std::optional<Instant> vanishedAt;
        // Until when it is remembered although upstreams of it have lapsed.
        std::optional<Instant> lapsedUntil {};
    };

    static bool hasLapsed(Span const& span, Instant now) { return span.lapsedUntil && now < *span.lapsedUntil; }
    bool isRecent(Span const& span, Instant now) const { return !span.vanishedAt || now - *span.vanishedAt < m_memory || hasLapsed(span, now); }

    Microseconds m_memory;
    Instant m_since;
    // As m_since, but without the times at which the list of upstreams was outdated.
    Instant m_provenSince;
    std::optional<Instant> m_restoredUniformAt;
    std::map<VersionId, Span> m_spans;
};

}

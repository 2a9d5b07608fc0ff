#pragma once

#include <LibBase/PendingProofs.h>
#include <LibBase/StalenessBound.h>
#include <cstdint>
#include <optional>

namespace Stagepost {

// Decides as of when the configuration in force is proven to be the newest, and whether a newer one is
// overdue. Configurations are parsed asynchronously and arrive from the store as well as from other
// daemons, so most proofs are for one that is not in force yet. Each proof waits for its own: one that
// was rejected or replaced meanwhile confirms nothing.
//
// Positions are those of the store's records. A configuration covers a position if no newer one is among
// the records before it.
class SettingsFreshness {
public:
    struct Bounds {
        // How long a newer configuration may take to arrive from the daemon that announced it.
        Microseconds peerTimeout { 0 };
        // State with an older proof is read from the store.
        Microseconds fallbackAge { 0 };
    };

    explicit SettingsFreshness(Bounds bounds)
        : m_bounds(bounds)
    {
    }

    struct Read {
        // Whether the read returned a configuration that differs from the one in force.
        bool hasNewSettings { false };
        // Whether it returned the latest record of each key, not only appended records.
        bool isComplete { false };
        // All records before this position are known, and the time as of which that was so.
        uint64_t position { 0 };
        Instant provenAt;
    };
    // Each of these returns whether the configuration in force is now proven as of a later time.
    bool storeRead(Read const&);
    // No version was newer than this one at the given time.
    bool versionProven(uint64_t version, Instant provenAt);
    // This version is in force and covers the position, which is 0 if unknown.
    bool putInForce(uint64_t version, uint64_t position);

    // The configuration in force was the newest at the given time.
    void confirm(Instant provenAt);

    // Another daemon has this version.
    void announced(uint64_t version, Instant now);
    // An announced version cannot be had from other daemons.
    void announcedIsUnavailable(Instant now) { m_announcedSince = now - m_bounds.peerTimeout - Microseconds(1); }
    // The store has records that were not read.
    void storeIsAhead(Instant now);
    void storeFailed(Instant now) { m_storeFailedAt = now; }

    // Whether the store has to be read for a configuration that did not arrive in time from other daemons.
    // The flags say whether the newest version that was announced, or any version, is being parsed.
    bool isOverdue(Instant now, bool isLoadingAnnounced, bool isLoading) const;
    // Whether no other daemon has confirmed the configuration for so long that its bound would pass while this
    // daemon waits. After an outage of the store, when this is so for the whole fleet, it waits all the same.
    bool isProofLate(Instant now, bool isLoading) const;

    uint64_t announcedVersion() const { return m_announcedVersion; }
    // The position that the configuration in force covers, or 0.
    uint64_t position() const { return m_position; }
    StalenessBound const& age() const { return m_age; }

private:
    bool applyProofs();

    Bounds m_bounds;
    StalenessBound m_age;
    uint64_t m_version { 0 };
    uint64_t m_position { 0 };
    // The end of the last read that returned a new configuration, and that of the last read. Whatever covers the
    // former covers the latter.
    uint64_t m_lastChangeReadUntil { 0 };
    uint64_t m_readUntil { 0 };
    PendingProofs m_positionProofs;
    PendingProofs m_versionProofs;
    uint64_t m_announcedVersion { 0 };
    Instant m_announcedSince;
    std::optional<Instant> m_storeIsAheadSince;
    std::optional<Instant> m_storeFailedAt;
};

}

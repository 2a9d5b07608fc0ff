#pragma once

#include <LibBase/Ids.h>
#include <LibBase/StalenessBound.h>
#include <LibMembership/InFlightCounts.h>
#include <LibMembership/UpstreamRecord.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Stagepost {

// The upstreams that are recorded in the store. The removal of a record means that its
// upstream is gone, with one exception: records that expired during an outage of the
// store are written again soon if their upstreams are alive, and until then those
// upstreams stay in use. A record of an earlier start than the known one is ignored,
// unless the store holds it for longer than Bounds::earlierStartTimeout.
class UpstreamDirectory {
public:
    struct Bounds {
        // The store counts as having been unavailable if no read succeeded for longer than this.
        Microseconds outageThreshold { 1500000 };
        // How long after the end of an outage an expired record may be written again.
        Microseconds returnGrace { 2000000 };
        // The time within which an upstream that has left must stop getting requests, minus a
        // reserve for a request's transit time and a late tick.
        Microseconds leaveLimit { 1700000 };
        // How long the store has to hold a record of an earlier start before it replaces the
        // known one. A delayed write can take effect up to six seconds after its process
        // died. The record of a process whose clock was set back before its start persists.
        Microseconds earlierStartTimeout { 10000000 };
        // How long changes that were undone are forwarded. A list that was confirmed longer ago proves nothing about
        // versions (ServiceTable::maxListAge), so its daemon does not rely on having seen them.
        Microseconds undoneChangeRetention { 3000000 };
    };

    struct Hooks {
        // Called for each upstream that was added, changed or removed.
        std::function<void(UpstreamChange const&)> changed;
        // Called before a whole list is applied. Upstreams that came and went since the list before it are in neither.
        std::function<void()> changesMissed { [] {} };
        // Called for a record that is not used here, although other daemons may have used it, and whether its upstream may
        // serve on without a record.
        std::function<void(UpstreamRecord const&, bool mayServe)> passedOver { [](auto const&, bool) {} };
    };

    UpstreamDirectory(Bounds bounds, Hooks hooks)
        : m_bounds(bounds)
        , m_hooks(std::move(hooks))
    {
    }

    // Applies changes in the order in which the store has them.
    void apply(std::vector<UpstreamChange> const&, Instant now);
    // Applies changes that another daemon has forwarded. A record of a start that a later change ends is passed over.
    void applyForwarded(std::vector<UpstreamChange> const&, Instant now);
    void put(UpstreamRecord, Instant now);
    void remove(std::string const& instance, Instant now);
    // Replaces the list by the result of a complete read.
    void replace(std::vector<UpstreamRecord> const&, Instant now);
    // Like replace(), after the store was restored from a copy that lacks the latest writes.
    // Missing records stay in the list, also for daemons that get it from this one, for
    // Bounds::returnGrace, so that they can be written again. An upstream that was known to
    // be leaving stays so until it writes a new record.
    void replaceAfterRestore(std::vector<UpstreamRecord> const&, Instant readSentAt, Instant now);
    // Replaces the list by that of another daemon. Within Bounds::returnGrace after replaceAfterRestore(), upstreams
    // that are new here may be ones that the restored store lacks, so they stay only as long as these unless the
    // store has their records.
    void replaceByPeer(std::vector<UpstreamRecord> const&, Instant now);
    // Records that a read sent at this time succeeded. Call before its records are applied.
    void confirm(Instant readSentAt);
    // Records that this list is complete, because it equals that of a daemon with a
    // complete list.
    void markComplete() { m_hasList = true; }
    // Removes upstreams whose grace period is over, and accepts records of earlier starts
    // that have persisted.
    void tick(Instant now);

    bool hasList() const { return m_hasList; }
    // Whether upstreams are in use whose records are gone and may be written again.
    bool awaitsRecords() const { return !m_expired.empty() || !m_missing.empty(); }
    // The records in the store, and those that a restored store still lacks. Upstreams whose
    // records expired stay in use for the grace period but aren't included: other daemons
    // determine for themselves whether the store was unavailable to them.
    std::map<std::string, UpstreamRecord> const& records() const { return m_records; }
    StalenessBound const& age() const { return m_age; }
    // Equal for all daemons with the same records. Excludes values that change with time.
    uint64_t hash() const { return m_hash; }

    // Returns the changes since the records had this hash, or none if the hash is unknown
    // or no longer in the history. If the records had it several times of late, the versions that came and went
    // in between are included.
    std::optional<std::vector<UpstreamChange>> changesSince(uint64_t hash, Instant now) const;

    // Returns the upstreams at the time when the records had this hash, sorted by instance
    // name, or null if the hash is unknown or no longer in the history.
    std::shared_ptr<UpstreamList const> listForHash(uint64_t hash) const;

private:
    // The changes kept for changesSince(). A release changes one or two records a second; a
    // daemon that has missed more changes than this gets the whole list.
    static constexpr size_t maxHistory = 64;
    // The lists cached for listForHash(). Messages refer to recent ones.
    static constexpr size_t maxCachedLists = 8;

    struct PastChange {
        uint64_t hashBefore { 0 };
        std::optional<UpstreamId> idBefore;
        UpstreamChange change;
        Instant at;
    };
    using History = std::deque<PastChange>;

    Instant removalDeadline() const;
    std::shared_ptr<UpstreamList const> reconstructList(uint64_t hash) const;
    void recordChange(std::string const& instance, std::optional<UpstreamId> idBefore, uint64_t difference, Instant now);
    void addToHistory(PastChange);
    std::vector<UpstreamChange> undoneChanges(History::const_iterator const& begin, History::const_iterator const& end) const;
    bool isInHistory(UpstreamRecord const&) const;
    bool isVersionListed(UpstreamRecord const&) const;
    void passOver(UpstreamRecord const&, bool mayServe, Instant now);
    void endEarlierStart(std::string const& instance, bool mayServe);
    void store(UpstreamRecord, Instant now);
    bool deferIfEarlierStart(UpstreamRecord const&, Instant now);
    std::vector<std::string> putAllAndFindMissing(std::vector<UpstreamRecord> const&, Instant now);
    bool isKnownToLeave(UpstreamRecord const&) const;
    void removeExpiredMissing(Instant now);

    Bounds m_bounds;
    Hooks m_hooks;
    std::map<std::string, UpstreamRecord> m_records;
    // Upstreams whose records expired, and until when they stay in use.
    std::map<std::string, Instant> m_expired;
    // Upstreams whose records are missing from a restored store, and until when they may be
    // written again.
    std::map<std::string, Instant> m_missing;
    // Until when records may be missing from the restored store that this daemon has read.
    Instant m_missingUntil;
    struct EarlierStart {
        UpstreamRecord record;
        Instant since;
    };
    // Upstreams whose latest record is of an earlier start than the known one.
    std::map<std::string, EarlierStart> m_earlierStarts;
    History m_history;
    // The list of a hash never changes, so it can be cached.
    mutable std::deque<std::pair<uint64_t, std::shared_ptr<UpstreamList const>>> m_cachedLists;
    uint64_t m_hash { 0 };
    StalenessBound m_age;
    Instant m_graceUntil;
    // When the list was last confirmed before the read that is being applied, and whether
    // that read has ended an outage.
    std::optional<Instant> m_previousProvenAt;
    bool m_endsOutage { false };
    bool m_hasList { false };
};

}

#pragma once

#include <LibBase/Time.h>
#include <LibRollout/RolloutMessage.h>
#include <map>
#include <vector>

namespace Stagepost {

// What a judge knows of the daemons of its hall: their evidence since it became the judge, and which of
// them may still send to the old version.
class HallLedger {
public:
    struct Bounds {
        // A daemon that was silent for longer may have reported to another judge meanwhile, so its next
        // counts are a new baseline.
        Microseconds reportTimeout { 1200000 };
        // The duration of the lease for the old version.
        Microseconds lease { 1500000 };
    };

    // If the order is new, all counts are counted from zero. Otherwise an earlier judge has counted a part
    // of them, so the first counts of each daemon are the baseline.
    HallLedger(Bounds bounds, bool isOrderNew, Instant now)
        : m_bounds(bounds)
        , m_isOrderNew(isOrderNew)
        , m_watchingSince(now)
    {
    }

    // The daemons of the hall, with the judge.
    void setHall(std::vector<VMId> hall) { m_hall = std::move(hall); }
    // Returns the answers that the report adds.
    RolloutEvidence add(VMId from, EvidenceReport const&, Instant now);
    // To be called before add(): all answers of a daemon that is heard for the first time, if an earlier judge may
    // have judged a part of them. They do not count as evidence against the version, since the time of each is
    // not known.
    RolloutEvidence earlierEvidence(VMId from, EvidenceReport const&) const;
    // Silence only counts from now on: this process was paused, or the phase has changed.
    void watchFrom(Instant now) { m_watchingSince = now; }

    RolloutEvidence const& total() const { return m_total; }
    // The daemons that have neither reported that they have moved, nor been silent for two leases: one of
    // their own, and one of another judge that may have renewed theirs.
    size_t daemonsNotMoved(Instant now) const;
    // Whether most daemons of the hall report to this judge. Two judges cannot both hear most of them.
    bool hearsMost(Instant now) const;
    // Whether so many daemons have reported to this judge in phase Moved that no other judge of the hall can
    // hear most of them in an earlier phase.
    bool blocksOthers(Instant now) const;
    // The daemons that were heard within a lease.
    std::vector<VMId> reporters(Instant now) const;

private:
    struct Daemon {
        uint64_t process { 0 };
        Instant heardAt;
        RolloutPhase phase { RolloutPhase::Trial };
        bool hasMoved { false };
        RolloutEvidence evidence;
    };

    bool isBaseline(Daemon const*, EvidenceReport const&, Instant now) const;
    size_t heardCount(RolloutPhase leastPhase, Instant now) const;

    Bounds m_bounds;
    bool m_isOrderNew { false };
    Instant m_watchingSince;
    std::vector<VMId> m_hall;
    std::map<VMId, Daemon> m_daemons;
    RolloutEvidence m_total;
};

}

#pragma once

#include <LibBase/FleetPeer.h>
#include <LibBase/Time.h>
#include <LibRollout/RolloutMessage.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Stagepost {

// What a judge knows of the judges of the other halls: their halls' evidence, whether these have left the
// old version, and for how long this judge may renew leases.
class JudgeLinks {
public:
    struct Bounds {
        // A judge that was silent for this long is not considered to be one.
        Microseconds timeout { 1200000 };
        Microseconds lease { 1500000 };
    };

    JudgeLinks(FleetPeer self, std::string service, Bounds bounds, bool isOrderNew)
        : m_self(self)
        , m_service(std::move(service))
        , m_bounds(bounds)
        , m_isOrderNew(isOrderNew)
    {
    }

    void setPeers(std::vector<FleetPeer> const&);
    // Returns the answers that the report adds.
    RolloutEvidence receive(VMId from, HallReport const&, Instant now);
    // To be called before receive(): all answers of a hall whose judge is heard for the first time; see HallLedger.
    RolloutEvidence earlierEvidence(VMId from, HallReport const&) const;
    // The daemons that a report on the own hall should go to: the judges of the other halls, and in
    // halls without a known one each daemon in turn.
    std::vector<VMId> takeReceivers(Instant now);
    // The value of HallReport::echoOf for this daemon.
    uint64_t echoFor(VMId to, RolloutPhase ownPhase) const;
    // The time up to which this judge was in contact with the judges of most halls, which counts the own one.
    std::optional<Instant> confirmedAt() const;
    // The number of judges that precede this one.
    size_t rank(Instant now) const;
    // When the oldest report was received that is in use.
    Instant oldestReport(Instant now) const;

    // How far the other halls have left the old version.
    struct Departure {
        // Whether all judges that are heard have moved with all daemons of their halls.
        bool haveHeardMoved { true };
        // Whether the judges that are not heard cannot be in contact with those of most halls
        // without one that has moved, which would renew nothing for them.
        bool areOthersBlocked { false };
        bool areAllHeard { false };
    };
    Departure departure(bool doesOwnHallBlock, Instant now) const;

private:
    struct Judge {
        HallId hall;
        uint64_t process { 0 };
        uint64_t sentAt { 0 };
        Instant receivedAt;
        std::optional<Instant> echoedAt;
        RolloutPhase phase { RolloutPhase::Trial };
        bool hasMoved { false };
        bool blocksOthers { false };
        RolloutEvidence evidence;
    };

    bool isHeard(Judge const& judge, Instant now) const { return now - judge.receivedAt < m_bounds.timeout; }
    void noteEcho(Judge&, HallReport const&, Instant now) const;

    FleetPeer m_self;
    std::string m_service;
    Bounds m_bounds;
    bool m_isOrderNew { false };
    // The other halls with their daemons in rank.
    std::map<HallId, std::vector<VMId>> m_halls;
    // The next daemon to be tried in each hall.
    std::map<HallId, size_t> m_attempts;
    std::map<VMId, Judge> m_judges;
};

}

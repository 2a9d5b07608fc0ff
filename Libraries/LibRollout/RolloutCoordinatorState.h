#pragma once

#include <LibRollout/JudgeSelection.h>
#include <LibRollout/RolloutCoordinator.h>
#include <LibRollout/RolloutJudge.h>
#include <LibRollout/RolloutRecorder.h>
#include <LibRollout/VersionLease.h>
#include <algorithm>
#include <optional>
#include <vector>

namespace Stagepost {

// The state of a RolloutCoordinator, whose calls it carries out.
struct RolloutCoordinator::State {
    State(FleetPeer, uint64_t process, RolloutOrder, Bounds, Hooks);

    void setPeers(std::vector<FleetPeer> const&);
    void receive(VMId from, RolloutMessage const&, Instant now);
    void handle(VMId from, EvidenceReport const&, Instant now);
    void handle(VMId from, EvidenceReply const&, Instant now);
    void handle(VMId from, HallReport const&, Instant now);
    void setState(RolloutState const&, Instant now);
    void recordFinished(RecordResult, Instant now);
    void tick(Instant now);

    Microseconds elapsed(Instant now) const { return std::max(Microseconds(0), now - orderedAt); }
    double fraction(Instant now) const { return order.duration.count() > 0 ? asSeconds(elapsed(now)) / asSeconds(order.duration) : 1; }
    bool hasMoved() const { return (phase == RolloutPhase::Moved || phase == RolloutPhase::Done) && !hooks.runningAtOldVersion(); }
    bool isFinished(Instant now) const;
    bool mayUseOldVersion(Instant now) const;

    // Raises the phase here and in the book.
    void raise(RolloutPhase, Instant now);
    void phaseRaised(RolloutPhase, Instant now);
    void noticePause(Instant now);

    RolloutJudge& startJudging(Instant now);
    void updateJudge(Instant now);
    void applyVerdict(Instant now);

    EvidenceReport makeReport(bool needsReply, Instant now) const;
    void sendReport(Instant now);
    void sendHallReports(Instant now);

    void decide(Instant now);
    void take(RolloutStep const&, Instant now);
    RolloutSituation situation(Instant now);

    FleetPeer self;
    uint64_t process;
    RolloutOrder order;
    Bounds bounds;
    Hooks hooks;

    // No peers or no state are known at first.
    bool hasPeers { false };
    bool hasState { false };
    std::vector<FleetPeer> peers;
    RolloutPhase phase { RolloutPhase::Trial };
    Instant orderedAt;
    Instant phaseSince;
    std::optional<Instant> condemnedAt;
    std::optional<Instant> finalAt;
    std::optional<Instant> tickedAt;

    RolloutEvidence evidence;
    JudgeSelection selection;
    VersionLease lease;
    std::optional<Instant> startedAt;
    std::optional<Instant> reportedAt;
    bool isReportUrgent { false };
    bool hadMoved { false };

    std::optional<RolloutJudge> judge;
    // Until when this daemon judges since others report to it.
    Instant judgingUntil;
    std::optional<Instant> hallReportedAt;
    bool isHallReportUrgent { false };

    RolloutRecorder recorder;
    // The order's elapsed time at which the version was proven.
    std::optional<Microseconds> provenAt;
};

}

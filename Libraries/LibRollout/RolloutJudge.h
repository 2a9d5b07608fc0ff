#pragma once

#include <LibRollout/HallLedger.h>
#include <LibRollout/JudgeLinks.h>
#include <LibRollout/VersionAcceptance.h>
#include <LibRollout/VersionLease.h>
#include <LibRollout/VersionTest.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Stagepost {

// The work of a hall's judge: tests the version on the evidence of all halls, renews leases, and knows
// when the old version has been left.
class RolloutJudge {
public:
    struct Bounds {
        Microseconds lease { 1500000 };
        Microseconds judgeTimeout { 1200000 };
        // The part of the requests that the new version is expected to get during the trial.
        double trialShare { 0 };
    };

    RolloutJudge(FleetPeer self, uint64_t process, RolloutOrder const&, Bounds, bool isOrderNew, Instant now);

    void setPeers(std::vector<FleetPeer> const&);
    void add(VMId from, EvidenceReport const&, Instant now);
    void add(VMId from, HallReport const&, Instant now);
    // How soon the other judges should be told of what has changed since the last call.
    enum class Urgency : uint8_t {
        None,
        // Answers were bad.
        Soon,
        // The own hall has left the old version, or cannot return to it without this judge. This happens
        // a few times in an order, and the time until Done depends on it.
        Immediate,
    };
    Urgency takeUrgency();
    // A status record that was read by a request sent at this time had not reached Moved.
    void recordedBeforeMoved(Instant readSentAt) { m_recordLease.renew(readSentAt); }
    // Silence of other daemons only counts from now on: the phase was raised, or this process was paused.
    void restartWaits(Instant now);
    void tick(RolloutPhase, Instant now);

    VersionVerdict verdict() const;
    // Whether the answers that were judged allow to advance the phase.
    bool isProven(RolloutPhase, Instant now) const;
    // Whether this judge is in contact with those of most halls and with most daemons of its own.
    bool isQuorate(Instant now) const;
    bool mayRenewLeases(Instant now) const { return isQuorate(now) || m_recordLease.isValid(now); }
    // Whether no daemon can send to the old version any more, in phase Moved.
    bool isOldVersionLeft(Instant now) const;
    size_t rank(Instant now) const { return m_links.rank(now); }
    Instant oldestReport(Instant now) const { return m_links.oldestReport(now); }

    using Send = std::function<void(VMId to, RolloutMessage const&)>;
    void sendHallReports(Send const&, RolloutPhase, Instant now);
    // Tells the daemons of the hall a phase that they have not asked for.
    void announce(Send const&, RolloutPhase, Instant now) const;

private:
    void judge(RolloutEvidence const& increment, Instant now);
    bool hasEnoughAnswers(Instant now) const;
    // Whether the answers since the phase began show that the version is still good, or are few and don't speak against it.
    bool isStepShown(Instant now) const;

    FleetPeer m_self;
    uint64_t m_process { 0 };
    RolloutOrder m_order;
    Bounds m_bounds;
    HallLedger m_ledger;
    JudgeLinks m_links;
    VersionTest m_test;
    VersionAcceptance m_acceptance;
    VersionLease m_recordLease;
    Instant m_judgingSince;
    RolloutPhase m_phase { RolloutPhase::Trial };
    Instant m_phaseSince;
    Urgency m_urgency { Urgency::None };
    bool m_doesHallBlock { false };
    bool m_hasHallMoved { false };
    AnswerCounts m_judgedNew;
    AnswerCounts m_judgedOld;
    // Since when the judges that are not heard have been unable to renew their leases.
    std::optional<Instant> m_othersBlockedSince;
};

}

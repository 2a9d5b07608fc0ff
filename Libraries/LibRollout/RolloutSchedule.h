#pragma once

#include <LibRollout/RolloutState.h>
#include <cstddef>
#include <cstdint>

namespace Stagepost {

// When the phases of an order are due, and which share of a service's requests the new version
// gets in each of them.
struct RolloutSchedule {
    // The users' bound on a version that is not proven: share times the service's requests plus
    // slack, over the whole fleet. A share of 0 means that there are no roll-outs.
    double share { 0 };
    double slack { 0 };
    // The users' bound on the time from a version's 50th bad answer to the last request sent to it. Reports
    // are not timed by it; it is only checked to be one that they can keep.
    Microseconds rollbackBound { 5000000 };
    // The part of the bound on the share that is used during the trial.
    double trialPace { 0.95 };
    // How much faster than its share a trial gets requests while it has some of the slack.
    double slackPace { 3 };

    bool isEnabled() const { return share > 0; }
    // The fraction of the order's duration after which the phase is due. Only for Trial to Moved.
    static double dueAt(RolloutPhase);
    // The share of a daemon's requests that the phase allows the new version to get.
    double shareIn(RolloutPhase) const;
    // The requests of the slack that a daemon may send. The ranks of the daemons are below their number.
    uint64_t slackOf(size_t rank, size_t daemonCount) const;
};

}

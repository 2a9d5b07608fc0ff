#include <LibRollout/RolloutSchedule.h>

#include <algorithm>

namespace Stagepost {

namespace {

    // The rest is a reserve for daemons that know different numbers of daemons.
    constexpr double usedPartOfSlack = 0.8;

}

double RolloutSchedule::dueAt(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::FirstRamp:
        return 0.46;
    case RolloutPhase::SecondRamp:
        return 0.54;
    case RolloutPhase::LastRamp:
        return 0.60;
    case RolloutPhase::Moved:
        return 0.66;
    default:
        return 0;
    }
}

double RolloutSchedule::shareIn(RolloutPhase phase) const
{
    switch (phase) {
    case RolloutPhase::Trial:
        return share;
    case RolloutPhase::FirstRamp:
        return 0.15;
    case RolloutPhase::SecondRamp:
        return 0.3;
    case RolloutPhase::LastRamp:
        return 0.6;
    case RolloutPhase::Moved:
    case RolloutPhase::Done:
        return 1;
    case RolloutPhase::RolledBack:
        return 0;
    }
    return 0;
}

uint64_t RolloutSchedule::slackOf(size_t rank, size_t daemonCount) const
{
    if (rank >= daemonCount)
        return 0;
    auto const usable = static_cast<uint64_t>(std::max(0.0, usedPartOfSlack * slack));
    return usable / daemonCount + (rank < usable % daemonCount ? 1 : 0);
}

}

#include <LibRollout/PhaseDecision.h>

#include <LibRollout/RolloutSchedule.h>
#include <algorithm>

namespace Stagepost {

namespace {

    // A step of the ramp shows faults that only occur under load after its answers have ended, were reported and
    // judged. Without this, orders of 12 s were in Moved before.
    constexpr Microseconds minRampStep { 1000000 };
    // In Moved, there are no answers of the old version beside the new one's, so that the test takes longer.
    constexpr Microseconds minMoved { 2000000 };
    // In Moved, a version that isn't proven any more is condemned within this time if it is bad.
    constexpr Microseconds maxUnprovenMoved { 5000000 };
    // Short orders have shorter steps, so that they can be done before their deadline.
    constexpr double maxRampStepPart = 0.08;
    constexpr double maxMovedPart = 0.17;

    Microseconds limitedToPart(Microseconds time, double part, Microseconds duration)
    {
        return std::min(time, Microseconds(static_cast<int64_t>(static_cast<double>(duration.count()) * part)));
    }

    // The platform expects that the first record of an order says that it is running.
    std::optional<RolloutStep> recordOutcome(RolloutSituation const& situation)
    {
        if (situation.recorded == situation.phase)
            return std::nullopt;
        bool const isFirst = situation.phase == RolloutPhase::RolledBack && !situation.wasRecorded;
        return RolloutStep { isFirst ? RolloutPhase::Trial : situation.phase, std::nullopt, false };
    }

    std::optional<RolloutStep> advance(RolloutSituation const& situation)
    {
        if (situation.isServing)
            return RolloutStep { RolloutPhase::Moved, Microseconds(0), false };
        auto const next = static_cast<RolloutPhase>(static_cast<uint8_t>(situation.phase) + 1);
        auto const dueAt = Microseconds(static_cast<int64_t>(static_cast<double>(situation.duration.count()) * RolloutSchedule::dueAt(next)));
        bool const isRamp = situation.phase != RolloutPhase::Trial;
        if (isRamp && situation.phaseAge < limitedToPart(minRampStep, maxRampStepPart, situation.duration))
            return std::nullopt;
        if (!situation.provenAt || situation.elapsed < dueAt)
            return std::nullopt;
        return RolloutStep { next, std::max(dueAt, *situation.provenAt), false };
    }

    // Another judge may record Done at any time, upon which the old version stops. So a rollback has to be
    // recorded before anyone uses the old version again.
    std::optional<RolloutStep> leaveMoved(RolloutSituation const& situation)
    {
        if (situation.isCondemned)
            return RolloutStep { RolloutPhase::RolledBack, Microseconds(0), false };
        auto const least = situation.provenAt ? limitedToPart(minMoved, maxMovedPart, situation.duration) : maxUnprovenMoved;
        bool const isLongEnough = situation.isServing || situation.phaseAge >= least;
        if (!situation.isOldVersionLeft || !isLongEnough)
            return std::nullopt;
        return RolloutStep { RolloutPhase::Done, std::nullopt, false };
    }

}

std::optional<RolloutStep> nextStep(RolloutSituation const& situation)
{
    if (isFinal(situation.phase))
        return recordOutcome(situation);
    if (situation.phase == RolloutPhase::Moved)
        return leaveMoved(situation);
    if (situation.elapsed >= situation.duration)
        return RolloutStep { RolloutPhase::RolledBack, situation.duration, true };
    if (auto const step = advance(situation))
        return step;
    if (!situation.wasRecorded)
        return RolloutStep { RolloutPhase::Trial, Microseconds(0), false };
    return std::nullopt;
}

}

#pragma once

#include <LibBase/Time.h>
#include <LibRollout/RolloutState.h>
#include <optional>

namespace Stagepost {

// What a judge knows when it decides on the next step of an order.
struct RolloutSituation {
    RolloutPhase phase { RolloutPhase::Trial };
    // The latest phase that is known to be in the status record.
    std::optional<RolloutPhase> recorded;
    // Whether any status of this order was ever recorded, as far as this judge knows.
    bool wasRecorded { false };
    Microseconds elapsed { 0 };
    Microseconds duration { 0 };
    // How long the phase has been in force.
    Microseconds phaseAge { 0 };
    // The order's elapsed time since which the version has been proven, if it is.
    std::optional<Microseconds> provenAt;
    // Whether this judge has condemned the version.
    bool isCondemned { false };
    // Whether the order's version already serves, so that there is nothing to try.
    bool isServing { false };
    // Whether the old version has been left.
    bool isOldVersionLeft { false };
};

// The next step of an order: a phase to be recorded.
struct RolloutStep {
    RolloutPhase phase { RolloutPhase::Trial };
    // The order's elapsed time at which the step was due, if it is known. Otherwise it is due from now on.
    std::optional<Microseconds> dueAt;
    // Whether the order is rolled back because of its deadline, which does not apply if it is in Moved.
    bool isAtDeadline { false };

    bool operator==(RolloutStep const&) const = default;
};

std::optional<RolloutStep> nextStep(RolloutSituation const&);

}

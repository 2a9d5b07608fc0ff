#pragma once

#include <LibRollout/RolloutBook.h>
#include <LibRollout/RolloutCoordinator.h>

namespace Stagepost {

enum class RecordDecision : uint8_t {
    // The requested record is to be appended, on condition that the one that was read is still the latest.
    Append,
    // The latest record already says so, or names a later phase before the outcome.
    AlreadyRecorded,
    // RolloutCoordinator::RecordResult::Superseded.
    Superseded,
};

// Decides on a request by the service's latest status record, if there is one.
RecordDecision decideRecord(std::optional<RolloutBook::Recorded> const& latest, RolloutCoordinator::RecordRequest const&);

}

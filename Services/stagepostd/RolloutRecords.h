#pragma once

#include <LibBase/Result.h>
#include <LibRollout/RolloutBook.h>
#include <LibRollout/RolloutCoordinator.h>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Stagepost {

// The latest status of each service that has one.
using RolloutStatuses = std::map<std::string, RolloutBook::Recorded>;

// The result of an attempt to record the status of an order.
struct RolloutRecordOutcome {
    RolloutCoordinator::RecordResult result { RolloutCoordinator::RecordResult::Failed };
    // The status that the attempt has found in the store or appended, if there is one.
    std::optional<RolloutBook::Recorded> found;
    bool isAppended { false };
};

// Access to the statuses of roll-outs in the platform's store.
struct RolloutRecordHooks {
    std::function<void(std::function<void(Result<RolloutStatuses>)>)> read;
    // Appends the status if decideRecord() allows it.
    std::function<void(RolloutCoordinator::RecordRequest const&, std::function<void(RolloutRecordOutcome const&)>)> record;
};

}

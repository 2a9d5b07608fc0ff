#include <LibRollout/RecordRule.h>

namespace Stagepost {

RecordDecision decideRecord(std::optional<RolloutBook::Recorded> const& latest, RolloutCoordinator::RecordRequest const& request)
{
    if (!latest || latest->order < request.order.id)
        return RecordDecision::Append;
    if (latest->order != request.order.id)
        return RecordDecision::Superseded;
    if (isFinal(latest->phase))
        return latest->phase == request.phase ? RecordDecision::AlreadyRecorded : RecordDecision::Superseded;
    if (request.isAtDeadline && latest->phase == RolloutPhase::Moved)
        return RecordDecision::Superseded;
    return latest->phase < request.phase ? RecordDecision::Append : RecordDecision::AlreadyRecorded;
}

}

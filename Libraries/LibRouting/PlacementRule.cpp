#include <LibRouting/PlacementRule.h>

namespace Stagepost {

std::string_view nameOf(PlacementRule rule)
{
    switch (rule) {
    case PlacementRule::Wait:
        return "wait";
    case PlacementRule::Count:
        return "count";
    case PlacementRule::Share:
        return "share";
    case PlacementRule::Granted:
        return "granted";
    case PlacementRule::Least:
        return "least";
    case PlacementRule::Resting:
        return "resting";
    }
    return "unknown";
}

}

#pragma once

#include <stagepostd/RolloutController.h>
#include <string>

namespace Stagepost {

// Describes the service's latest order and this daemon's part in it for operators, one service a
// line, as key=value pairs like those of the log.
std::string describeRollouts(RolloutController const&);

void setRolloutGauges(RolloutController const&, Metrics&);

}

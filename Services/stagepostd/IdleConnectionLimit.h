#pragma once

#include <LibSettings/RouteTable.h>
#include <cstddef>

namespace Stagepost {

// How many idle connections a daemon with that share of the fleet, from 0 to 1, keeps to each upstream of the service, which
// may be null.
size_t idleConnectionLimit(Service const*, double shareOfFleet);

}

#pragma once

#include <LibBase/Ids.h>

namespace Stagepost {

// A daemon of the fleet, as the others know it.
struct FleetPeer {
    VMId id;
    HallId hall;
};

}

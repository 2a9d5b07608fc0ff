#pragma once

#include <LibBase/Ids.h>

namespace Stagepost {

// Identifies another daemon of the fleet and the hall that it runs in.
struct FleetPeer {
    VMId id;
    HallId hall;

    bool operator==(FleetPeer const&) const = default;
};

}

#pragma once

#include <LibMembership/Membership.h>
#include <LibPlatform/VMList.h>
#include <LibRouting/RoutingView.h>
#include <string_view>

namespace Stagepost {

// Returns the region of a hall, the part before the slash in "east/hall-2". All halls without a
// slash are in the same region.
std::string_view regionOf(std::string_view hall);

// Makes the routing view from the platform's list of VMs, which lags behind, and the newer state that
// the daemons exchange. Upstreams in other regions are included only for pools that have no upstream
// in the own region.
RoutingView makeRoutingView(VMList const&, Membership const&, VMId self, std::string_view hall, Instant now);

// The daemons in the view as a share of the live daemons in the list. Limits for the whole fleet are
// scaled by it, since each region distributes its own part.
double shareOfFleet(VMList const&, RoutingView const&);

}

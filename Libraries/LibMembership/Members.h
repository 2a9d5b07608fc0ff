#pragma once

// Umbrella header of LibMembership: the daemons, upstreams and halls of the fleet
// as the local daemon sees them.

#include <LibMembership/EmptiedHalls.h>
#include <LibMembership/FleetRoster.h>
#include <LibMembership/FleetShare.h>
#include <LibMembership/HallReachability.h>
#include <LibMembership/MemberState.h>
#include <LibMembership/Membership.h>
#include <LibMembership/MembershipMessage.h>
#include <LibMembership/RegistryHistory.h>
#include <LibMembership/StateExchange.h>
#include <LibMembership/StateMessage.h>
#include <LibMembership/UpdateQueue.h>
#include <LibMembership/UpstreamDirectory.h>
#include <LibMembership/UpstreamRecord.h>
#include <LibMembership/UpstreamRecordRules.h>

#pragma once

// The public header of LibMembership: which daemons are there, which are leaving
// and which halls can be reached, as one daemon knows it.

#include <LibMembership/EmptiedHalls.h>
#include <LibMembership/HallReach.h>
#include <LibMembership/MemberState.h>
#include <LibMembership/Membership.h>
#include <LibMembership/MembershipMessage.h>
#include <LibMembership/RegistryHistory.h>
#include <LibMembership/StateExchange.h>
#include <LibMembership/StateMessage.h>
#include <LibMembership/UpdateQueue.h>
#include <LibMembership/UpstreamDirectory.h>
#include <LibMembership/UpstreamRecord.h>

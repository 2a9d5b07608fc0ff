#pragma once

#include <LibProxy/Detail/UpstreamConnections.h>
#include <LibProxy/ForwardPlan.h>

namespace Stagepost {

// An id that no other request of the fleet carries: 64 random bits of this
// process and a counter.
std::string makeRequestId();

// Writes the plan's request on the connection and notes there when it is done.
// The answer may be read meanwhile: an upstream may answer before it has read
// the whole of a long body.
void startRequest(std::shared_ptr<UpstreamConnection> const&, ForwardPlan const&, std::string const& requestId);

// For how long the upstream says that it keeps the connection open, if it does.
std::optional<Seconds> keepAliveOf(std::string_view keepAliveField);

}

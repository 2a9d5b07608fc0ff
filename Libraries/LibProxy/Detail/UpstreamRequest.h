#pragma once

#include <LibProxy/Detail/UpstreamConnections.h>
#include <LibProxy/ForwardPlan.h>

namespace Stagepost {

// Returns an id that is unique in the fleet: 64 random bits per process and a counter.
std::string generateRequestId();

// Starts to write the plan's request and records the completion in the connection.
// The response can be read meanwhile, because an upstream may respond before it has
// read all of a long body.
void startWritingRequest(std::shared_ptr<UpstreamConnection> const&, ForwardPlan const&, std::string const& requestId);

// Parses the timeout parameter of a Keep-Alive field: how long the upstream keeps an idle
// connection open.
std::optional<Seconds> parseKeepAliveTimeout(std::string_view keepAliveField);

}

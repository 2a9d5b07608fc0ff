#pragma once

#include <LibProxy/HttpServer.h>
#include <LibSettings/RouteTable.h>

namespace Stagepost {

// The options of a gateway's servers: for callers, for the load balancer's checks, and for other gateways.
HttpServerOptions callerServerOptions(CallerLimits const&, ClientLimits const&);
HttpServerOptions checkServerOptions(ClientLimits const&);
// Limits the sizes of the requests that other gateways pass on to those of callers.
HttpServerOptions peerServerOptions(CallerLimits const&, ClientLimits const&);

}

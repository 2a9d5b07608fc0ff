#include <stagepostd/GatewayServerOptions.h>

#include <algorithm>

namespace Stagepost {

namespace {

    // For the terms of a request, besides the header fields of its caller.
    constexpr size_t detourHeaderSize = 2048;
    constexpr size_t maxCheckBodySize = 4096;

}

HttpServerOptions callerServerOptions(CallerLimits const& limits, ClientLimits const& clients)
{
    HttpServerOptions options;
    options.apply(clients);
    options.maxBodySize = limits.bodyBytes;
    options.maxHeaderSize = limits.headerBytes;
    options.requestTimeout = limits.headerTimeout;
    options.keepAliveTimeout = limits.idleTimeout;
    return options;
}

HttpServerOptions checkServerOptions(ClientLimits const& clients)
{
    HttpServerOptions options;
    options.apply(clients);
    options.maxBodySize = maxCheckBodySize;
    options.maxConnections = clients.checkConnections;
    options.requestUse = ClientMemory::Use::Check;
    return options;
}

// The time limits of callers do not apply: sending the state to another gateway may take longer.
HttpServerOptions peerServerOptions(CallerLimits const& limits, ClientLimits const& clients)
{
    HttpServerOptions options;
    options.apply(clients);
    options.maxBodySize = limits.bodyBytes;
    options.maxHeaderSize = std::max(options.maxHeaderSize, limits.headerBytes + detourHeaderSize);
    options.maxConnections = clients.peerConnections;
    return options;
}

}

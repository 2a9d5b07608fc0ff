#include <stagepostd/ClientGauges.h>

#include <LibBase/Log.h>

namespace Stagepost {

void setClientGauges(ClientMemory const& memory, HttpServer const& server, ClientLimits const& limits, Metrics& metrics)
{
    metrics.setGauge("stagepost_client_memory_bytes", static_cast<double>(memory.used()));
    metrics.setGauge("stagepost_client_memory_limit_bytes", static_cast<double>(memory.limit()));
    metrics.setGauge("stagepost_client_connections", static_cast<double>(server.connectionCount()));
    metrics.setGauge("stagepost_client_connections_limit", static_cast<double>(limits.connections));
    metrics.setGauge("stagepost_client_connections_closed_total", static_cast<double>(memory.counts().closedConnections));
    metrics.setGauge("stagepost_late_actions_total", static_cast<double>(server.lateActions()));
    metrics.setGauge("stagepost_client_requests_given_way_total", static_cast<double>(memory.counts().refusedRequests));
}

void logClientLimits(ClientLimits const& limits)
{
    logEvent(LogLevel::Info, "client-limits",
        { { "memory_bytes", limits.memory }, { "connections", limits.connections }, { "check_connections", limits.checkConnections }, { "peer_connections", limits.peerConnections },
            { "idle_upstream_connections", limits.idleUpstreamConnections }, { "socket_buffer_bytes", limits.socketBufferSize() } });
}

}

#pragma once

#include <LibBase/Metrics.h>
#include <LibProxy/ClientLimits.h>
#include <LibProxy/HttpServer.h>

namespace Stagepost {

// What clients take of the limits. The server is the callers'.
void setClientGauges(ClientMemory const&, HttpServer const&, ClientLimits const&, Metrics&);

// Writes the limits to the log.
void logClientLimits(ClientLimits const&);

}

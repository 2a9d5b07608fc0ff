#pragma once

#include <LibProxy/ForwardPlan.h>
#include <stagepostd/GatewayServices.h>

namespace Stagepost {

// Returns what keeps the first event of a stream back until the version of the process that sends it is proven. An upstream
// that starts again under its name with another version is known by its earlier record until the new one arrives, and
// only a daemon with an open connection notices. It writes its record before it answers, so a list of upstreams that is
// proven as of the first answer on the connection has the process's version.
//
// Empty, so that streams wait for nothing, until this daemon has seen an upstream of the service come back in this way: most
// platforms give each start a new name, and waiting takes some tenths of a second.
RelayGate versionGate(GatewayServices const&, UpstreamId, ServiceTable::Target const&);

}

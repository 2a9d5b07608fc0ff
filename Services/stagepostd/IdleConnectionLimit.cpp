#include <stagepostd/IdleConnectionLimit.h>

#include <limits>

namespace Stagepost {

namespace {

    // The part of an upstream's connection limit that may be used for idle connections. The rest is
    // left for requests in flight, which no daemon counts for the whole fleet.
    constexpr double idleConnectionsShare = 0.5;

}

size_t idleConnectionLimit(Service const* service, double shareOfFleet)
{
    if (!service || !service->maxConnections)
        return std::numeric_limits<size_t>::max();
    return static_cast<size_t>(idleConnectionsShare * shareOfFleet * static_cast<double>(service->maxConnections));
}

}

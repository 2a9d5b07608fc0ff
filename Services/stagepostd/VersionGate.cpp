#include <stagepostd/VersionGate.h>

namespace Stagepost {

RelayGate versionGate(GatewayServices const& services, UpstreamId upstream, ServiceTable::Target const& target)
{
    if (!services.serviceTable.hasReusedNames(target.service))
        return {};
    auto const provenAtSend = services.upstreamsProvenAt();
    return [&services, lifetime = std::weak_ptr(services.lifetime), upstream, version = target.version, provenAtSend](Instant connectionAnsweredAt) {
        if (lifetime.expired())
            return RelayDecision::Reject;
        if (provenAtSend && *provenAtSend >= connectionAnsweredAt)
            return RelayDecision::Relay;
        auto const provenAt = services.upstreamsProvenAt();
        // While the store is away, no upstream can write a record before it answers, and streams must not wait for it.
        if (!provenAt || services.loop.now() - *provenAt > ServiceTable::maxListAge)
            return RelayDecision::Relay;
        auto const* current = services.serviceTable.target(upstream);
        if (!current || current->version != version)
            return RelayDecision::Reject;
        return *provenAt >= connectionAnsweredAt ? RelayDecision::Relay : RelayDecision::Wait;
    };
}

}

#include <Measure/Placement/World.h>

#include <string>

namespace Stagepost::Measure {

World::World(FleetSize const& fleetSize, uint64_t seed)
    : size(fleetSize)
    , random(seed)
{
    for (size_t index = 0; index < size.engines; ++index) {
        auto const id = UpstreamId::fromName("engine-" + std::to_string(index));
        engines.emplace_back(id, index % size.halls);
        m_engineIndex[id] = index;
    }
    for (size_t index = 0; index < size.daemons; ++index) {
        auto const id = VMId::fromName("entry-" + std::to_string(index));
        daemons.push_back({ id, index % size.halls, true, std::vector<bool>(size.engines, true), std::vector<bool>(size.daemons, true) });
        m_daemonIndex[id] = index;
    }
}

RoutingView World::viewOf(size_t daemon) const
{
    auto const& self = daemons[daemon];
    std::vector<UpstreamView> upstreams;
    for (size_t index = 0; index < engines.size(); ++index) {
        if (self.seesEngine[index])
            upstreams.push_back({ engines[index].id, pool(), hallId(engines[index].hall), false, 1 });
    }
    std::vector<DaemonView> others;
    for (size_t index = 0; index < daemons.size(); ++index) {
        if (self.seesDaemon[index])
            others.push_back({ daemons[index].id, hallId(daemons[index].hall), false });
    }
    return { self.id, hallId(self.hall), std::move(upstreams), std::move(others) };
}

size_t World::engineIndex(UpstreamId id) const
{
    return m_engineIndex.at(id);
}

size_t World::daemonIndex(VMId id) const
{
    return m_daemonIndex.at(id);
}

double World::meanLoad() const
{
    size_t load = 0;
    size_t alive = 0;
    for (auto const& engine : engines) {
        load += engine.isAlive ? engine.inFlight : 0;
        alive += engine.isAlive;
    }
    return alive ? static_cast<double>(load) / static_cast<double>(alive) : 0;
}

}

#pragma once

#include <LibRouting/RoutingView.h>
#include <Measure/Placement/EventQueue.h>
#include <Measure/Placement/SimulatedEngine.h>
#include <Measure/Placement/Workload.h>
#include <optional>
#include <random>
#include <vector>

namespace Stagepost::Measure {

struct SimulatedDaemon {
    VMId id;
    size_t hall { 0 };
    bool isAlive { true };
    // The engines and daemons in this daemon's view, by index. The view may lag behind the fleet.
    std::vector<bool> seesEngine;
    std::vector<bool> seesDaemon;
};

// The state of the simulated fleet: its engines, its daemons and the network between them.
struct World {
    World(FleetSize const&, uint64_t seed);

    bool isReachable(size_t hallA, size_t hallB) const { return hallA == hallB || !cutHall || (hallA != *cutHall && hallB != *cutHall); }
    RoutingView viewOf(size_t daemon) const;
    size_t engineIndex(UpstreamId) const;
    size_t daemonIndex(VMId) const;
    double meanLoad() const;

    static HallId hallId(size_t hall) { return HallId(hall + 1); }
    static PoolId pool() { return PoolId(1); }

    FleetSize size;
    EventQueue events;
    std::mt19937_64 random;
    std::vector<SimulatedEngine> engines;
    std::vector<SimulatedDaemon> daemons;
    std::optional<size_t> cutHall;
    // The delay of the engines' reports in seconds and the share of cache events that are lost.
    double reportLag { 0.5 };
    double eventLossRate { 0 };

private:
    std::unordered_map<UpstreamId, size_t> m_engineIndex;
    std::unordered_map<VMId, size_t> m_daemonIndex;
};

}

#pragma once

#include <LibMembership/StateExchange.h>
#include <LibMembership/UpstreamDirectory.h>
#include <LibProxy/ClientLimits.h>
#include <LibProxy/Endpoint.h>
#include <LibRollout/RolloutSchedule.h>
#include <LibRouting/RetryBudget.h>
#include <LibRouting/ServicePlacement.h>
#include <optional>

namespace Stagepost {

// Configures a gateway.
struct GatewayOptions {
    std::string name;
    std::string hall;
    // Address for callers.
    Endpoint listen;
    // Address for the load balancer's health checks and for metrics.
    Endpoint readyListen;
    // Address for other gateways.
    Endpoint peerListen;
    // What clients may take of the machine.
    ClientLimits clients { ClientLimits::forMachine(Machine::current()) };
    // The greatest proven age of the configuration at which keys are still accepted; empty accepts
    // them at any age.
    std::optional<Milliseconds> keyFreshness;
    // How long a newer configuration that another daemon has announced may take to arrive from that
    // daemon before this one reads it from the store.
    Milliseconds peerSettingsTimeout { 300 };
    // How long a stopping gateway accepts requests, until the load balancer has noticed.
    Milliseconds drainAccept { 3000 };
    // Time from the stop signal until the process is killed from outside.
    Milliseconds drainLimit { 8000 };
    // In any second the fleet may send to a cold upstream coldOvershoot times what it handles in a
    // second, plus coldSlack requests.
    double coldOvershoot { 1 };
    double coldSlack { 0 };
    RetryBudget::Bounds retries;
    // Whether the whole fleet starts for the first time.
    bool isFirstStart { false };
    ServicePlacement::Bounds placement;
    UpstreamDirectory::Bounds directory;
    StateExchange::Bounds exchange;
    // The requests that this daemon takes from other daemons at a time while these have lost their
    // links to the upstreams. Without any, which is the default, the links are not monitored and no
    // request is passed on.
    size_t maxDetoured { 0 };
    // Without a share, which is the default, versions are not told apart and orders are ignored.
    RolloutSchedule rollouts;
};

}

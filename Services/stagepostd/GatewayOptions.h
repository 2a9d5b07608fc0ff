#pragma once

#include <LibMembership/StateExchange.h>
#include <LibMembership/UpstreamDirectory.h>
#include <LibProxy/Endpoint.h>
#include <LibRouting/RetryBudget.h>
#include <LibRouting/ServicePlacement.h>
#include <optional>

namespace Stagepost {

// The settings of a gateway.
struct GatewayOptions {
    std::string name;
    std::string hall;
    // For callers.
    Endpoint listen;
    // For the balancer's checks and the metrics.
    Endpoint readyListen;
    // For other gateways.
    Endpoint peerListen;
    // The greatest proven age of the configuration with which keys are still
    // taken for good; none takes them at any age.
    std::optional<Milliseconds> keyFreshness;
    // How long a newer configuration that another daemon tells of may take to be
    // read from the store, before it is taken from that daemon.
    Milliseconds peerSettingsTimeout { 300 };
    // How long a stopping gateway takes requests, until the balancer has noticed.
    Milliseconds drainAccept { 3000 };
    // From the signal to stop until the process is ended from outside.
    Milliseconds drainLimit { 8000 };
    // Of what a cold upstream handles a second, and in requests more, what the fleet may
    // send to it in any second.
    double coldOvershoot { 1 };
    double coldSlack { 0 };
    RetryBudget::Bounds retries;
    ServicePlacement::Bounds placement;
    UpstreamDirectory::Bounds directory;
    StateExchange::Bounds exchange;
};

}

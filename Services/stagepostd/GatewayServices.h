#pragma once

#include <LibBase/FingerprintKey.h>
#include <LibBase/Metrics.h>
#include <LibProxy/EventLoop.h>
#include <memory>
#include <stagepostd/CrashDetector.h>
#include <stagepostd/DetourClient.h>
#include <stagepostd/GatewayDialect.h>
#include <stagepostd/GatewayPeers.h>
#include <stagepostd/LinkMonitor.h>
#include <stagepostd/RolloutController.h>
#include <stagepostd/ServiceTable.h>
#include <stagepostd/StopAdmission.h>

namespace Stagepost {

// The parts of a gateway that handling a request needs.
struct GatewayServices {
    EventLoop& loop;
    Metrics& metrics;
    ServiceTable& serviceTable;
    CrashDetector& crashDetector;
    PromptPartSuspects& partSuspects;
    GatewayPeers& peers;
    LinkMonitor& links;
    DetourClient& detours;
    StopAdmission& stop;
    GatewayDialect const& dialect;
    // Whether the configuration in force is recent enough to accept keys.
    std::function<bool()> areKeysFresh;
    // Whether the daemon's state must be confirmed after a long stall before it may be used.
    std::function<bool()> needsRevalidation;
    // The proven age of the configuration, which is only logged.
    std::function<Microseconds()> settingsAge;
    // This daemon's share of the fleet, from 0 to 1.
    std::function<double()> share;
    std::function<Fingerprint(FingerprintInput const&)> fingerprintOf;
    std::function<Fingerprint(std::string const& service, uint64_t partIdHash)> partFingerprintOf;
    // The time as of which the list of upstreams is proven.
    std::function<std::optional<Instant>()> upstreamsProvenAt;
    // See HttpServer::dropClosedConnections().
    std::function<bool(Endpoint const&)> dropClosedConnections;
    // Null where roll-outs are switched off.
    RolloutController* rollouts { nullptr };
    // Expires with the gateway, which ends before the last of its requests does.
    std::shared_ptr<void const> lifetime { std::make_shared<bool>(true) };
};

}

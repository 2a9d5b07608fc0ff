#pragma once

#include <LibBase/Ids.h>
#include <LibProxy/Endpoint.h>
#include <optional>
#include <string>

namespace Stagepost {

enum class VMRole {
    Entry,
    Upstream,
};

enum class VMState {
    Live,
    Leaving,
    Gone,
};

// One VM in the platform's list of VMs. For a VM that is Gone, only name and state are set.
struct VMEntry {
    std::string name;
    std::string hall;
    VMRole role { VMRole::Entry };
    VMState state { VMState::Live };
    // Where the VM accepts HTTP requests.
    Endpoint endpoint;
    // Where the daemon on an entry VM receives datagrams of other daemons.
    std::optional<Endpoint> peerEndpoint;
    // The node of the settings tree that an upstream serves: "pools.NAME" or "services.NAME".
    std::string serves;

    VMId id() const { return VMId::fromName(name); }
    HallId hallId() const { return HallId::fromName(hall); }
    UpstreamId upstreamId() const { return UpstreamId::fromName(name); }
    PoolId poolId() const { return PoolId::fromName(serves); }
};

}

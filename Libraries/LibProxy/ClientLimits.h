#pragma once

#include <cstddef>
#include <cstdint>
#include <filesystem>

namespace Stagepost {

// What a process may use; 0 where that is not known.
struct Machine {
    uint64_t memory { 0 }; // bytes
    uint64_t descriptors { 0 };

    // The memory of this machine, or the smaller limit of this process's control group, and the process's limit of
    // descriptors. The control group is told by files below the given root.
    static Machine current(std::filesystem::path const& root = "/");
};

// What the clients of a process may take of its machine, over all its servers. The rest is for its own state, its store,
// other daemons and upstreams.
struct ClientLimits {
    // Bytes of memory for connections, headers, bodies and answers that are held.
    uint64_t memory { 0 };
    // Open connections of callers, of the balancer's checks and of other daemons.
    size_t connections { 0 };
    size_t checkConnections { 0 };
    size_t peerConnections { 0 };
    // Requests taken from other daemons at a time. Their connections leave some for the state that others fetch.
    size_t detouredRequests { 0 };
    // Idle connections to upstreams. Each request under way may have one more.
    size_t idleUpstreamConnections { 0 };

    static ClientLimits forMachine(Machine const&);

    // The size of a connection's buffers in the kernel, in bytes and for each direction.
    size_t socketBufferSize() const;
};

}

#pragma once

#include <LibProxy/Endpoint.h>
#include <LibProxy/EventLoop.h>

namespace Stagepost {

// What a process's port says of the process.
enum class PortState : uint8_t {
    // A connection came up: somebody listens.
    Open,
    // The connection was refused: the VM is there and the process is not.
    Closed,
    // Nothing came back, which a cut or a lost VM explains as well.
    Silent,
};

// Finds out whether a process has ended, by opening a connection to its port and closing it
// again without a byte.
class PortProbe {
public:
    using Callback = std::function<void(PortState)>;

    explicit PortProbe(EventLoop& loop)
        : m_loop(loop)
    {
    }

    // Calls back once, by the time-out at the latest.
    void probe(Endpoint const&, Milliseconds timeout, Callback);

private:
    EventLoop& m_loop;
};

}

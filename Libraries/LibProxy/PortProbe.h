#pragma once

#include <LibProxy/Endpoint.h>
#include <LibProxy/EventLoop.h>

namespace Stagepost {

enum class PortState : uint8_t {
    // The connection was accepted, so a process is listening.
    Open,
    // The connection was refused: the VM is running and the process is not.
    Closed,
    // Neither accepted nor refused, as after a network partition or the loss of the VM.
    NoResponse,
};

// Detects whether a process has ended, by opening a TCP connection to its port and
// closing it without sending any data.
class PortProbe {
public:
    using Callback = std::function<void(PortState)>;

    explicit PortProbe(EventLoop& loop)
        : m_loop(loop)
    {
    }

    // Calls back exactly once, at the latest when the timeout expires.
    void probe(Endpoint const&, Milliseconds timeout, Callback);

private:
    EventLoop& m_loop;
};

}

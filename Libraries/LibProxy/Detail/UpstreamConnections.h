#pragma once

#include <LibProxy/Detail/Native.h>
#include <map>
#include <memory>
#include <vector>

namespace Stagepost {

// One connection to an upstream with what was read beyond the last answer.
struct UpstreamConnection {
    explicit UpstreamConnection(Net::io_context& context)
        : stream(context)
    {
    }
    TcpStream stream;
    Beast::flat_buffer buffer;
    Instant restsSince;
    // How long the upstream has said that it keeps an idle connection open.
    Microseconds keepAlive { Microseconds::max() };
    // The last request has been written to its end.
    bool isWritten { true };
    NetError writeFailure;
};

// Connections whose last answer was complete and provably the right one.
class UpstreamConnections {
public:
    // A connection is not used in the last fifth of the time that its upstream
    // keeps it open: the close may be on its way already. Upstreams say whole
    // seconds, so a fifth is long against any way between halls.
    static constexpr double usableKeepAliveShare = 0.8;

    // A connection that has rested for no longer than that and on which nothing
    // has arrived since its last answer, or none.
    std::shared_ptr<UpstreamConnection> take(Endpoint const&, Milliseconds longestRest);
    // Keeps the connection and at most so many in all that are idle; the oldest go.
    void give(Endpoint const&, std::shared_ptr<UpstreamConnection>, size_t mostIdle);
    void clear() { m_idle.clear(); }
    void drop(Endpoint const& endpoint) { m_idle.erase(endpoint); }

private:
    std::map<Endpoint, std::vector<std::shared_ptr<UpstreamConnection>>> m_idle;
};

}

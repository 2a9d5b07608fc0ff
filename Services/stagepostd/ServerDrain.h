#pragma once

#include <LibProxy/HttpServer.h>
#include <LibProxy/Timer.h>
#include <functional>

namespace Stagepost {

// Takes a server out of service. It accepts requests for a grace period, in which the load balancer
// notices, then stops listening and finishes the open requests.
class ServerDrain {
public:
    ServerDrain(EventLoop&, HttpServer&);

    // Calls back when no request is open after the grace period, or at the limit.
    void start(Milliseconds gracePeriod, Instant limit, std::function<void()> drained);

private:
    void waitForOpenRequests(Instant limit, std::function<void()> const& drained);

    EventLoop& m_loop;
    HttpServer& m_server;
    Timer m_timer;
};

}

#pragma once

#include <LibProxy/HttpServer.h>
#include <LibProxy/Timer.h>
#include <functional>

namespace Stagepost {

// Takes a server out of service. It accepts requests for a grace period, in which the load balancer
// notices, then stops listening and finishes the open requests.
class ServerDrain {
public:
    // The field has the id of each request, for the log. The count is of requests that another server has open,
    // which are finished as well.
    ServerDrain(
        EventLoop&, HttpServer&, std::string requestIdField, std::function<size_t()> otherRequests = [] { return size_t { 0 }; });

    // Calls back when no request is open after the grace period, or at the limit.
    void start(Milliseconds gracePeriod, Instant limit, std::function<void()> drained);

private:
    size_t openRequests() const { return m_server.openExchanges() + m_otherRequests(); }
    void logCutOff() const;
    void waitForOpenRequests(Instant limit, std::function<void()> const& drained);

    EventLoop& m_loop;
    HttpServer& m_server;
    std::string m_requestIdField;
    std::function<size_t()> m_otherRequests;
    Timer m_timer;
};

}

#pragma once

#include <LibProxy/HttpServer.h>
#include <LibProxy/Timer.h>
#include <functional>
#include <stagepostd/StopAdmission.h>

namespace Stagepost {

// Takes a server out of service. It accepts connections for as long as the load balancer may make some, then stops
// listening and finishes the open requests.
class ServerDrain {
public:
    struct Hooks {
        // Counts the requests that another server has open, which are finished as well.
        std::function<size_t()> otherRequests { [] { return size_t { 0 }; } };
        // Ends the open requests for which there is no more time, with an answer where that is possible.
        std::function<void()> giveUp { [] {} };
    };

    // The field has the id of each request, for the log.
    ServerDrain(EventLoop&, HttpServer&, std::string requestIdField, Hooks);

    // Calls back when no request is open after the accepting, or at the limit.
    void start(StopTimes const&, std::function<void()> drained);

private:
    size_t openRequests() const { return m_server.openExchanges() + m_hooks.otherRequests(); }
    void logCutOff() const;
    void waitForOpenRequests(Instant until, std::function<void()> const& then);
    void giveUp(Instant limit, std::function<void()> const& drained);

    EventLoop& m_loop;
    HttpServer& m_server;
    std::string m_requestIdField;
    Hooks m_hooks;
    Timer m_timer;
};

}

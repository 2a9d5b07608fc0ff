#pragma once

#include <LibMembership/UpstreamDirectory.h>
#include <LibProxy/HttpServer.h>
#include <LibProxy/Timer.h>
#include <stagepostd/GatewayFlow.h>
#include <stagepostd/GatewayOptions.h>
#include <variant>

namespace Stagepost {

// The daemon of one entry VM whose configuration, upstreams and spellings are
// given from outside: whoever composes it feeds what the platform says into it.
class Gateway {
public:
    Gateway(EventLoop&, GatewayOptions, GatewayDialect, RandomHook);
    Gateway(Gateway const&) = delete;
    Gateway& operator=(Gateway const&) = delete;

    // Binds its sockets. Error: Unreachable.
    Result<void> start();

    // The configuration, which counts only if its version is higher than the one
    // in force: within one life of the process it never goes back.
    void applyRoutes(std::shared_ptr<RouteTable const>);
    // A read that was sent then has shown that no newer configuration existed.
    void confirmRoutes(Instant readSentAt);
    UpstreamDirectory& upstreams() { return m_directory; }

    // Turns unready at once, takes requests until the balancer has noticed, then
    // finishes what runs and calls back.
    void drain(std::function<void()> drained);

    bool isReady() const;
    Endpoint const& callerEndpoint() const { return m_callerEndpoint; }
    Endpoint const& readyEndpoint() const { return m_readyEndpoint; }
    Metrics& metrics() { return m_metrics; }

private:
    void handle(std::shared_ptr<Exchange> const&);
    void handleReady(Exchange&);
    std::variant<RoutedRequest, Refusal> route(HttpCall const&) const;
    std::optional<Refusal> authorise(RoutedRequest&) const;
    std::string serviceOf(Route const&, PromptChain const&) const;
    HttpReply refuse(Refusal const&);
    HttpReply renderMetrics();
    bool areKeysFresh() const;
    Microseconds settingsAge() const;
    void tick();
    void noteReadiness();
    void finishDraining(Instant limit, std::function<void()> const& drained);

    EventLoop& m_loop;
    GatewayOptions m_options;
    GatewayDialect m_dialect;
    RandomHook m_random;
    Metrics m_metrics;
    std::shared_ptr<RouteTable const> m_table;
    ProvenAge m_tableAge;
    ServiceBoard m_board;
    UpstreamDirectory m_directory;
    GatewayServices m_services;
    HttpServer m_server;
    HttpServer m_readyServer;
    Endpoint m_callerEndpoint;
    Endpoint m_readyEndpoint;
    Timer m_ticker;
    Timer m_drainTimer;
    bool m_wasReady { false };
    bool m_isDraining { false };
};

}

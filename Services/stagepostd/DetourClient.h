#pragma once

#include <LibProxy/Exchange.h>
#include <LibRouting/RequestAttempts.h>
#include <stagepostd/GatewayPeers.h>
#include <stagepostd/LinkMonitor.h>
#include <stagepostd/RoutedRequest.h>

namespace Stagepost {

// How the detour of a request has ended.
struct DetourOutcome {
    // The daemon that the request was sent to last; empty if it was sent to none.
    std::string daemon;
    ForwardResult result;
    // Set if that daemon answered itself, instead of an upstream.
    std::optional<Refusal> refusal;
};

// Passes requests on to other daemons while this one has lost its links to the upstreams.
class DetourClient {
public:
    // A request to pass on. The attempts live until it has ended.
    struct Request {
        std::shared_ptr<Exchange> exchange;
        RoutedRequest const& routed;
        RequestAttempts& attempts;
        std::shared_ptr<EventProgress> progress;
        // Whether it counts for this daemon's retry budget.
        bool isCounted { false };
        // The version at which its stream has begun, if that is known.
        std::optional<VersionId> streamVersion;
        // Called before each send, which may be some milliseconds later than the last one. Returns
        // false if the request has ended meanwhile.
        std::function<bool()> maySend;
        // Called once, unless the request has ended before a send.
        std::function<void(DetourOutcome const&)> ended;
    };

    DetourClient(EventLoop&, Metrics&, GatewayDialect const&, LinkMonitor const&, GatewayPeers&);
    DetourClient(DetourClient const&) = delete;
    DetourClient& operator=(DetourClient const&) = delete;

    bool isNeeded() const { return m_links.isLost() && m_peers.hasJoined(); }
    void start(Request);

private:
    // A request and the daemons that have refused it.
    struct Detour {
        Request request;
        std::vector<VMId> tried;
        DetourOutcome outcome;
        // Whether the last daemon's refusal does not concern other daemons.
        bool mayTryElsewhere { false };
    };

    void chooseDaemon(std::shared_ptr<Detour> const&);
    void send(std::shared_ptr<Detour> const&, VMId);
    ForwardPlan makePlan(Detour&, Endpoint const&);
    std::optional<ResponseRejection> checkResponseHeader(Detour&, unsigned status, HttpFields const&) const;
    void finishSend(std::shared_ptr<Detour> const&, VMId, ForwardResult const&);
    void finish(Detour&, std::string_view outcome);

    EventLoop& m_loop;
    Metrics& m_metrics;
    GatewayDialect const& m_dialect;
    LinkMonitor const& m_links;
    GatewayPeers& m_peers;
};

}

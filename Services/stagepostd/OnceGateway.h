#pragma once

#include <LibBase/Authenticator.h>
#include <LibBase/Metrics.h>
#include <LibOnce/ClaimGate.h>
#include <LibOnce/TicketRegistry.h>
#include <LibPlatform/LogClient.h>
#include <LibPlatform/VMList.h>
#include <LibProxy/EventLoop.h>
#include <LibProxy/Exchange.h>
#include <LibRouting/RoutingView.h>
#include <functional>
#include <memory>
#include <stagepostd/RequestHandler.h>
#include <stagepostd/RequestReader.h>

namespace Stagepost {

// Serves requests that carry a ticket or an idempotency key, so that each runs at most once. The
// daemon that issued the ticket, or the coordinator of the key's shard, decides whether a request
// may run. Other daemons forward the request to it.
class OnceGateway {
public:
    // Runs a request like one without ticket or key, and calls back with its outcome.
    using RunHook = std::function<void(std::shared_ptr<Exchange> const&, CallerRequest, RequestHandler::FinishedCallback)>;
    using RefuseHook = std::function<HttpResponse(Refusal const&)>;

    struct Dependencies {
        EventLoop& loop;
        Metrics& metrics;
        VMList const& vms;
        LogClient log;
        RandomHook random;
        RunHook run;
        RefuseHook refuse;
        std::function<RoutingView const&()> view;
    };

    OnceGateway(Dependencies, std::string_view key, VMId self, Incarnation);

    static bool isResponsibleFor(CallerRequest const& request) { return !request.ticket.empty() || !request.idempotencyKey.empty(); }
    void serve(std::shared_ptr<Exchange> const&, CallerRequest);

    // Handles POST /v1/tickets?count=N. The reply is {"tickets":["..."]}.
    HttpResponse issueTickets(HttpRequest const&, OrganisationId);

    void updateSettings(OnceSettings const&);
    void tick(Instant now) { m_claimGate.tick(now); }
    void renderMetrics(Metrics&) const;

private:
    void serveTicket(std::shared_ptr<Exchange> const&, CallerRequest const&);
    void serveKey(std::shared_ptr<Exchange> const&, CallerRequest const&);
    void claimLocally(std::shared_ptr<Exchange> const&, CallerRequest const&, IdempotencyKey const&);
    void forwardToDaemon(std::shared_ptr<Exchange> const&, Endpoint const& daemon, std::function<void()> onUnreachable);
    void refuse(Exchange&, Refusal const&);
    void replay(Exchange&, RecordedResponse const&);
    bool wasForwardedByDaemon(HttpRequest const&) const;
    VMEntry const* findDaemon(VMId) const;
    ClaimGate::Hooks claimHooks();

    Dependencies m_dependencies;
    Authenticator m_authenticator;
    VMId m_self;
    OnceSettings m_settings;
    TicketRegistry m_ticketRegistry;
    ClaimGate m_claimGate;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}

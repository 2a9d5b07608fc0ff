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
#include <stagepostd/RequestFlow.h>
#include <stagepostd/RequestReader.h>

namespace Stagepost {

// Requests that carry a ticket or an idempotency key: each is decided on by one
// daemon, the ticket's holder or the one that its key's shard belongs to, and
// passed on to it if need be.
class OnceGateway {
public:
    // Runs a request as any other; the hook learns how it ended.
    using RunHook = std::function<void(std::shared_ptr<Exchange> const&, CallerRequest, RequestFlow::Ended)>;
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

    static bool isFor(CallerRequest const& request) { return !request.ticket.empty() || !request.idempotencyKey.empty(); }
    void serve(std::shared_ptr<Exchange> const&, CallerRequest);

    // POST /v1/tickets?count=N gives {"tickets":["..."]}.
    HttpResponse issueTickets(HttpRequest const&, OrganisationId);

    void settingsChanged(OnceSettings const&);
    void tick(Instant now) { m_claims.tick(now); }
    void renderMetrics(Metrics&) const;

private:
    void serveTicket(std::shared_ptr<Exchange> const&, CallerRequest const&);
    void serveKey(std::shared_ptr<Exchange> const&, CallerRequest const&);
    void claimHere(std::shared_ptr<Exchange> const&, CallerRequest const&, IdempotencyKey const&);
    void passOn(std::shared_ptr<Exchange> const&, Endpoint const& holder, std::function<void()> unreachable);
    void refuse(Exchange&, Refusal const&);
    void replay(Exchange&, RecordedResponse const&);
    bool wasPassedOn(HttpRequest const&) const;
    VMEntry const* entryOf(VMId) const;
    ClaimGate::Hooks claimHooks();

    Dependencies m_dependencies;
    Authenticator m_authenticator;
    VMId m_self;
    OnceSettings m_settings;
    TicketRegistry m_tickets;
    ClaimGate m_claims;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}

#include <stagepostd/Daemon.h>

#include <LibBase/Log.h>
#include <stagepostd/FleetView.h>
#include <stagepostd/PlacementExplanation.h>
#include <stagepostd/RefusalReply.h>

namespace Stagepost {

namespace {

    constexpr unsigned statusUnready = 503;

}

Daemon::Daemon(EventLoop& loop, Options options, RandomHook random)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_random(std::move(random))
    , m_self(VMId::fromName(m_options.name))
    // A later start has a higher number, also on another VM of the same name.
    , m_incarnation(static_cast<uint64_t>(std::chrono::duration_cast<Microseconds>(std::chrono::system_clock::now().time_since_epoch()).count()))
    , m_authenticator(m_options.key, m_self, m_incarnation)
    , m_client(loop)
    , m_peers(loop, m_authenticator, m_metrics, [this](PeerMessageKind kind, VMId from, Endpoint const&, std::string_view body) { takeFromPeer(kind, from, body); })
    , m_membership(m_self, HallId::fromName(m_options.hall), m_incarnation, {
                                                                                [this](VMId to, std::string const& body) { sendToPeer(to, PeerMessageKind::Membership, body); },
                                                                                m_random,
                                                                                [this] { m_isViewStale = true; },
                                                                                [this](VMId from, Revision revision) {
                                                                                    if (auto const* entry = m_vms.list().find(from))
                                                                                        m_peerSettings.revisionSeen(entry->endpoint, revision);
                                                                                },
                                                                            })
    , m_node(m_self, {
                         [this](VMId to, std::string const& body) { sendToPeer(to, PeerMessageKind::Routing, body); },
                         [this](PoolId pool) { return m_policies.pool(pool); },
                         [this](OrganisationId organisation) { return m_policies.limits(organisation, m_shareOfFleet); },
                         [this](OrganisationId organisation) { return m_policies.weight(organisation); },
                         m_random,
                     })
    , m_retries(0.1)
    , m_vms(loop, VMListClient(m_options.vmList, makeFetchHook(m_client)), [this](auto const& changed) { listChanged(changed); })
    , m_settings(loop, LogClient(m_options.log, makeFetchHook(m_client)), m_random, [this] { settingsApplied(); })
    , m_policies(m_settings)
    , m_peerSettings(loop, m_client, m_options.key, m_self, m_incarnation, m_settings)
    , m_watcher(loop, m_client, m_node, m_vms.list())
    , m_once({
                 loop,
                 m_metrics,
                 m_vms.list(),
                 LogClient(m_options.log, makeFetchHook(m_client)),
                 m_random,
                 [this](std::shared_ptr<Exchange> const& exchange, CallerRequest request, RequestFlow::Ended ended) { run(exchange, std::move(request), std::move(ended)); },
                 [this](Refusal const& refusal) { return refuse(refusal); },
                 [this]() -> RoutingView const& { return m_node.view(); },
             },
          m_options.key, m_self, m_incarnation)
    , m_operator({
          [this] { return status(); },
          [this](bool draining) { setDraining(draining); },
          [this](auto const& model, auto const& organisation, auto const& chat) {
              return explainPlacement({ m_node, m_vms.list(), m_policies, m_options.name }, { model, organisation, chat }, m_loop.now());
          },
      })
    , m_server(
          loop, m_options.http, [this](std::shared_ptr<Exchange> const& exchange) { handle(exchange); }, [this](Refusal const& refusal) { return refuse(refusal); })
    , m_ticker(loop)
    , m_drain(loop, m_server)
{
}

Daemon::~Daemon() = default;

Result<void> Daemon::start()
{
    auto const peer = TRY(m_peers.bind(m_options.peerListen));
    m_callerEndpoint = TRY(m_server.listen(m_options.listen));
    logEvent(LogLevel::Info, "started", { { "name", m_options.name }, { "hall", m_options.hall }, { "listen", m_callerEndpoint.toString() }, { "peer_listen", peer.toString() } });
    updateView();
    m_vms.start();
    m_settings.start();
    m_watcher.start();
    m_ticker.every(AdmissionController::tickInterval, [this] { tick(); });
    return {};
}

bool Daemon::isReady() const
{
    return !m_isDraining && m_settings.settings() && m_vms.hasList();
}

void Daemon::sendToPeer(VMId to, PeerMessageKind kind, std::string const& body)
{
    auto const* entry = m_vms.list().find(to);
    if (entry && entry->peerEndpoint)
        m_peers.send(*entry->peerEndpoint, kind, body);
}

void Daemon::takeFromPeer(PeerMessageKind kind, VMId from, std::string_view body)
{
    auto const isTaken = [&]() -> bool {
        if (kind == PeerMessageKind::Membership)
            return m_membership.receive(from, body, m_loop.now()).has_value();
        return kind == PeerMessageKind::Routing && m_node.receive(from, body, m_loop.now()).has_value();
    };
    if (!isTaken())
        m_metrics.count("stagepost_peer_dropped_total", "reason=\"malformed\"");
}

void Daemon::settingsApplied()
{
    m_node.refreshSettings();
    m_membership.setRevision(m_settings.revision());
    m_once.settingsChanged(m_settings.settings()->once);
    double share = 0;
    for (auto const& [id, pool] : m_settings.settings()->pools)
        share = std::max(share, pool.retryShare);
    m_retries.setShare(share);
    m_metrics.setGauge("stagepost_settings_revision", static_cast<double>(m_settings.revision().value()));
}

void Daemon::listChanged(std::vector<VMEntry> const& changed)
{
    auto const version = m_vms.list().version();
    for (auto const& entry : changed) {
        if (entry.state == VMState::Gone) {
            m_membership.removeMember(entry.id());
            m_membership.addUpstreamUpdate({ entry.upstreamId(), version, UpstreamState::Gone });
        } else if (entry.role == VMRole::Entry) {
            m_membership.addMember(entry.id(), entry.hallId(), m_loop.now());
        } else {
            auto const state = entry.state == VMState::Leaving ? UpstreamState::Leaving : UpstreamState::Live;
            m_membership.addUpstreamUpdate({ entry.upstreamId(), version, state });
        }
    }
    m_isViewStale = true;
}

void Daemon::updateView()
{
    m_isViewStale = false;
    auto const view = makeRoutingView(m_vms.list(), m_membership, m_self, m_options.hall, m_loop.now());
    m_shareOfFleet = shareOfFleet(m_vms.list(), view);
    m_node.setView(view, m_loop.now());
    m_node.refreshSettings();
    m_metrics.setGauge("stagepost_upstreams", static_cast<double>(view.upstreams().size()));
    m_metrics.setGauge("stagepost_daemons", static_cast<double>(view.daemons().size()));
    logEvent(LogLevel::Info, "view", { { "daemons", view.daemons().size() }, { "upstreams", view.upstreams().size() }, { "owned", m_node.leaseServer().ownedCount() } });
}

void Daemon::tick()
{
    m_membership.tick(m_loop.now());
    if (m_isViewStale)
        updateView();
    m_node.tick(m_loop.now());
    m_once.tick(m_loop.now());
}

HttpResponse Daemon::refuse(Refusal const& refusal)
{
    m_metrics.countRefusal(refusal);
    return refusalReply(refusal);
}

void Daemon::handle(std::shared_ptr<Exchange> const& exchange)
{
    if (!handleLocally(*exchange))
        serve(exchange);
}

bool Daemon::handleLocally(Exchange& exchange)
{
    auto const path = exchange.request().path();
    if (path == "/healthz") {
        exchange.respond(makeTextResponse(200, "ok\n"));
        return true;
    }
    if (path == "/readyz") {
        exchange.respond(isReady() ? makeTextResponse(200, "ready\n") : makeTextResponse(statusUnready, "unready\n"));
        return true;
    }
    if (path == "/metrics") {
        exchange.respond(renderMetrics());
        return true;
    }
    if (path == PeerSettings::path) {
        exchange.respond(m_peerSettings.answer(exchange.request()));
        return true;
    }
    if (path == "/v1/tickets" && exchange.request().method == "POST") {
        exchange.respond(handleTickets(exchange.request()));
        return true;
    }
    if (path == "/rpc") {
        exchange.respond(handleOperator(exchange.request()));
        return true;
    }
    return false;
}

HttpResponse Daemon::renderMetrics()
{
    m_metrics.setGauge("stagepost_open_requests", static_cast<double>(m_server.openExchanges()));
    m_metrics.setGauge("stagepost_open_leases", static_cast<double>(m_node.leaseClient().openLeaseCount()));
    m_metrics.setGauge("stagepost_owned_upstreams", static_cast<double>(m_node.leaseServer().ownedCount()));
    m_metrics.setGauge("stagepost_queued_requests", static_cast<double>(m_node.leaseServer().queued()));
    m_metrics.setGauge("stagepost_control_bytes_sent", static_cast<double>(m_peers.socket().bytesSent()));
    m_metrics.setGauge("stagepost_control_messages_sent", static_cast<double>(m_peers.socket().messagesSent()));
    m_once.renderMetrics(m_metrics);
    return makeTextResponse(200, m_metrics.render());
}

HttpResponse Daemon::handleOperator(HttpRequest const& call)
{
    // Comparing tags instead of tokens takes the same time wherever they differ.
    auto const expected = m_authenticator.computeTag("Bearer " + m_options.operatorToken);
    if (call.method != "POST" || !m_authenticator.verifyTag(call.headers.find("Authorization"), expected))
        return refuse({ RefusalReason::WrongToken, Verdict::NotRun, "the operator's token is wrong or missing", {} });
    return makeJsonResponse(200, m_operator.handle(call.body));
}

DaemonStatus Daemon::status() const
{
    DaemonStatus status;
    status.name = m_options.name;
    status.hall = m_options.hall;
    status.revision = m_settings.revision().value();
    status.isReady = isReady();
    status.isDraining = m_isDraining;
    status.isLogReachable = m_settings.isLogReachable();
    status.daemons = m_node.view().daemons().size();
    status.upstreams = m_node.view().upstreams().size();
    status.ownedUpstreams = m_node.leaseServer().ownedCount();
    status.openRequests = m_server.openExchanges();
    status.queuedRequests = m_node.leaseServer().queued();
    return status;
}

void Daemon::setDraining(bool draining)
{
    if (m_isStopping || draining == m_isDraining)
        return;
    m_isDraining = draining;
    logEvent(LogLevel::Info, draining ? "draining" : "undrained", { { "open", m_server.openExchanges() } });
    m_membership.setLeaving(draining);
    m_isViewStale = true;
}

void Daemon::serve(std::shared_ptr<Exchange> const& exchange)
{
    auto const settings = m_settings.settings();
    if (!settings) {
        exchange->respond(refuse({ RefusalReason::NoSettings, Verdict::NotRun, "this daemon has no settings yet", Milliseconds(1000) }));
        return;
    }
    auto request = readRequest(exchange->request(), *settings, m_loop.now());
    if (auto const* refusal = std::get_if<Refusal>(&request)) {
        logRequest(
            { { "path", exchange->request().path() }, { "reason", nameOf(refusal->reason) }, { "verdict", nameOf(refusal->verdict) },
                { "settings", m_settings.revision().value() }, { "detail", refusal->detail } });
        exchange->respond(refuse(*refusal));
        return;
    }
    auto& accepted = std::get<CallerRequest>(request);
    if (OnceGateway::isFor(accepted))
        m_once.serve(exchange, std::move(accepted));
    else
        run(exchange, std::move(accepted), [](auto const&) {});
}

void Daemon::run(std::shared_ptr<Exchange> const& exchange, CallerRequest request, RequestFlow::Ended ended)
{
    if (auto const refusal = m_node.admitOrganisation(request.organisation.id, m_loop.now())) {
        exchange->respond(refuse(*refusal));
        ended({ refusal, {} });
        return;
    }
    RequestServices const services { m_loop, m_node, m_retries, m_metrics, m_vms.list() };
    std::make_shared<RequestFlow>(services, exchange, std::move(request), std::move(ended))->start();
}

HttpResponse Daemon::handleTickets(HttpRequest const& call)
{
    auto const settings = m_settings.settings();
    if (!settings)
        return refuse({ RefusalReason::NoSettings, Verdict::NotRun, "this daemon has no settings yet", Milliseconds(1000) });
    auto const organisation = authenticate(call, *settings);
    if (auto const* refusal = std::get_if<Refusal>(&organisation))
        return refuse(*refusal);
    return m_once.issueTickets(call, std::get<OrganisationSettings>(organisation).id);
}

void Daemon::drain(std::function<void()> drained)
{
    if (m_isStopping)
        return;
    setDraining(true);
    m_isStopping = true;
    m_server.setCloseAfterResponse(true);
    auto const limit = m_loop.now() + m_options.drainGrace + m_options.drainLimit;
    m_drain.start(m_options.drainGrace, limit, [this, drained = std::move(drained)] {
        m_node.tick(m_loop.now());
        drained();
    });
}

}

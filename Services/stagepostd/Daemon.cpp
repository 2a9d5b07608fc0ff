#include <stagepostd/Daemon.h>

#include <LibBase/Log.h>
#include <stagepostd/ClientGauges.h>
#include <stagepostd/FleetView.h>
#include <stagepostd/PlacementExplanation.h>
#include <stagepostd/RefusalReply.h>

namespace Stagepost {

namespace {

    constexpr unsigned statusUnready = 503;
    // The settings usually arrive within moments of the start.
    constexpr Milliseconds settingsRetryDelay { 1000 };
    // Until the callers of requests that are given up have their answers.
    constexpr Milliseconds lastAnswers { 150 };

    Refusal noSettingsRefusal()
    {
        return { RefusalReason::NoSettings, NotRunProof::nothingSent(), "this daemon has no settings yet", settingsRetryDelay };
    }

}

Daemon::Daemon(EventLoop& loop, Options options, RandomHook random)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_random(std::move(random))
    , m_self(VMId::fromName(m_options.name))
    // The start time, so that a later process has a higher number, also on another VM of the same name.
    , m_incarnation(static_cast<uint64_t>(std::chrono::duration_cast<Microseconds>(std::chrono::system_clock::now().time_since_epoch()).count()))
    , m_authenticator(m_options.key, m_self, m_incarnation)
    , m_client(loop)
    , m_peerSocket(loop, [this](Endpoint const& source, std::string_view bytes) { m_peerChannel.handleDatagram(source, bytes); })
    , m_peerChannel(m_peerSocket, m_authenticator, m_metrics, [this](PeerMessageKind kind, VMId from, Endpoint const&, std::string_view body) { handlePeerMessage(kind, from, body); })
    , m_membership(m_self, HallId::fromName(m_options.hall), m_incarnation, {
                                                                                [this](VMId to, std::string const& body) { sendToPeer(to, PeerMessageKind::Membership, body); },
                                                                                m_random,
                                                                                [this] { m_isViewStale = true; },
                                                                                [this](VMId from, Revision revision) {
                                                                                    if (auto const* entry = m_vmListFollower.list().find(from))
                                                                                        m_peerSettings.fetchIfNewer(entry->endpoint, revision);
                                                                                },
                                                                            })
    , m_admission(m_self, {
                              [this](VMId to, std::string const& body) { sendToPeer(to, PeerMessageKind::Routing, body); },
                              [this](PoolId pool) { return m_policies.pool(pool); },
                              [this](OrganisationId organisation) { return m_policies.limits(organisation, m_shareOfFleet); },
                              [this](OrganisationId organisation) { return m_policies.weight(organisation); },
                              m_random,
                          })
    , m_retryPolicy(0.1)
    , m_vmListFollower(loop, VMListClient(m_options.vmList, makeFetchHook(m_client)), [this](auto const& changed) { handleVMListChanged(changed); })
    , m_settingsFollower(loop, LogClient(m_options.log, makeFetchHook(m_client)), m_random, [this] { handleSettingsApplied(); })
    , m_policies(m_settingsFollower)
    , m_peerSettings(loop, m_client, m_options.key, m_self, m_incarnation, m_settingsFollower)
    , m_upstreamWatcher(loop, m_client, m_admission, m_vmListFollower.list())
    , m_onceGateway({
                        loop,
                        m_metrics,
                        m_vmListFollower.list(),
                        LogClient(m_options.log, makeFetchHook(m_client)),
                        m_random,
                        [this](std::shared_ptr<Exchange> const& exchange, CallerRequest request, RequestHandler::FinishedCallback finished) { startRequest(exchange, std::move(request), std::move(finished)); },
                        [this](Refusal const& refusal) { return refuse(refusal); },
                        [this]() -> RoutingView const& { return m_admission.view(); },
                    },
          m_options.key, m_self, m_incarnation)
    , m_operatorServer({
          [this] { return status(); },
          [this](bool draining) { setDraining(draining); },
          [this](auto const& model, auto const& organisation, auto const& chat) {
              return explainPlacement({ m_admission, m_vmListFollower.list(), m_policies, m_options.name }, { model, organisation, chat }, m_loop.now());
          },
      })
    , m_clientMemory(std::make_shared<ClientMemory>(m_options.clients.memory))
    , m_server(
          loop, m_options.http, [this](std::shared_ptr<Exchange> const& exchange) { handleRequest(exchange); }, [this](Refusal const& refusal) { return refuse(refusal); }, m_clientMemory, [this](HttpRequest const& head) { return checkHead(head); })
    , m_tickTimer(loop)
    , m_drain(loop, m_server, "X-Request-Id", { [] { return size_t { 0 }; }, [this] { m_stop.requests().giveUpAll(); } })
{
}

Daemon::~Daemon() = default;

Result<void> Daemon::start()
{
    auto const peer = TRY(m_peerSocket.bind(m_options.peerListen));
    m_callerEndpoint = TRY(m_server.listen(m_options.listen));
    logEvent(LogLevel::Info, "started", { { "name", m_options.name }, { "hall", m_options.hall }, { "listen", m_callerEndpoint.toString() }, { "peer_listen", peer.toString() } });
    logClientLimits(m_options.clients);
    updateView();
    m_vmListFollower.start();
    m_settingsFollower.start();
    m_upstreamWatcher.start();
    m_tickTimer.every(AdmissionController::tickInterval, [this] { tick(); });
    return {};
}

bool Daemon::isReady() const
{
    return !m_isDraining && m_settingsFollower.settings() && m_vmListFollower.hasList();
}

void Daemon::sendToPeer(VMId to, PeerMessageKind kind, std::string const& body)
{
    auto const* entry = m_vmListFollower.list().find(to);
    if (entry && entry->peerEndpoint)
        m_peerChannel.send(*entry->peerEndpoint, kind, body);
}

void Daemon::handlePeerMessage(PeerMessageKind kind, VMId from, std::string_view body)
{
    auto const isAccepted = [&]() -> bool {
        if (kind == PeerMessageKind::Membership)
            return m_membership.receive(from, body, m_loop.now()).has_value();
        return kind == PeerMessageKind::Routing && m_admission.receive(from, body, m_loop.now()).has_value();
    };
    if (!isAccepted())
        m_metrics.count("stagepost_peer_dropped_total", "reason=\"malformed\"");
}

void Daemon::handleSettingsApplied()
{
    m_admission.refreshSettings();
    m_membership.setRevision(m_settingsFollower.revision());
    m_onceGateway.updateSettings(m_settingsFollower.settings()->once);
    double share = 0;
    for (auto const& [id, pool] : m_settingsFollower.settings()->pools)
        share = std::max(share, pool.retryShare);
    m_retryPolicy.setShare(share);
    m_metrics.setGauge("stagepost_settings_revision", static_cast<double>(m_settingsFollower.revision().value()));
}

void Daemon::handleVMListChanged(std::vector<VMEntry> const& changed)
{
    auto const version = m_vmListFollower.list().version();
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
    auto const view = makeRoutingView(m_vmListFollower.list(), m_membership, m_self, m_options.hall, m_loop.now());
    m_shareOfFleet = shareOfFleet(m_vmListFollower.list(), view);
    m_admission.setView(view, m_loop.now());
    m_admission.refreshSettings();
    m_metrics.setGauge("stagepost_upstreams", static_cast<double>(view.upstreams().size()));
    m_metrics.setGauge("stagepost_daemons", static_cast<double>(view.daemons().size()));
    logEvent(LogLevel::Info, "view", { { "daemons", view.daemons().size() }, { "upstreams", view.upstreams().size() }, { "owned", m_admission.leaseServer().ownedCount() } });
}

void Daemon::tick()
{
    m_membership.tick(m_loop.now());
    if (m_isViewStale)
        updateView();
    m_admission.tick(m_loop.now());
    m_onceGateway.tick(m_loop.now());
}

HttpResponse Daemon::refuse(Refusal const& refusal)
{
    m_metrics.countRefusal(refusal);
    return refusalReply(refusal);
}

std::optional<HttpResponse> Daemon::checkHead(HttpRequest const& head)
{
    auto const refusal = [&]() -> std::optional<Refusal> {
        auto const path = head.path();
        if (path == "/rpc")
            return checkOperator(head);
        auto const settings = m_settingsFollower.settings();
        if (!settings)
            return noSettingsRefusal();
        if (path != "/v1/tickets")
            return checkRequestHead(head, *settings);
        auto const organisation = authenticate(head, *settings);
        auto const* unknown = std::get_if<Refusal>(&organisation);
        return unknown ? std::optional(*unknown) : std::nullopt;
    }();
    return refusal ? std::optional(refuse(*refusal)) : std::nullopt;
}

void Daemon::handleRequest(std::shared_ptr<Exchange> const& exchange)
{
    if (!handleLocally(*exchange))
        serveRequest(exchange);
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
        exchange.respond(m_peerSettings.handleRequest(exchange.request()));
        return true;
    }
    if (path == "/v1/tickets" && exchange.request().method == "POST") {
        exchange.respond(issueTickets(exchange.request()));
        return true;
    }
    if (path == "/rpc") {
        exchange.respond(handleOperatorRequest(exchange.request()));
        return true;
    }
    return false;
}

HttpResponse Daemon::renderMetrics()
{
    setClientGauges(*m_clientMemory, m_server, m_options.clients, m_metrics);
    m_metrics.setGauge("stagepost_open_requests", static_cast<double>(m_server.openExchanges()));
    m_metrics.setGauge("stagepost_open_leases", static_cast<double>(m_admission.leaseClient().openLeaseCount()));
    m_metrics.setGauge("stagepost_owned_upstreams", static_cast<double>(m_admission.leaseServer().ownedCount()));
    m_metrics.setGauge("stagepost_queued_requests", static_cast<double>(m_admission.leaseServer().queued()));
    m_metrics.setGauge("stagepost_control_bytes_sent", static_cast<double>(m_peerSocket.bytesSent()));
    m_metrics.setGauge("stagepost_control_messages_sent", static_cast<double>(m_peerSocket.messagesSent()));
    m_onceGateway.renderMetrics(m_metrics);
    return makeTextResponse(200, m_metrics.render());
}

std::optional<Refusal> Daemon::checkOperator(HttpRequest const& call) const
{
    // Tags are compared in constant time, so the response time reveals nothing about the token.
    auto const expected = m_authenticator.computeTag("Bearer " + m_options.operatorToken);
    if (call.method == "POST" && m_authenticator.verifyTag(call.headers.find("Authorization"), expected))
        return {};
    return Refusal { RefusalReason::WrongToken, NotRunProof::nothingSent(), "the operator's token is wrong or missing", {} };
}

HttpResponse Daemon::handleOperatorRequest(HttpRequest const& call)
{
    if (auto const refusal = checkOperator(call))
        return refuse(*refusal);
    return makeJsonResponse(200, m_operatorServer.handle(std::string(call.body)));
}

DaemonStatus Daemon::status() const
{
    DaemonStatus status;
    status.name = m_options.name;
    status.hall = m_options.hall;
    status.revision = m_settingsFollower.revision().value();
    status.isReady = isReady();
    status.isDraining = m_isDraining;
    status.isLogReachable = m_settingsFollower.isLogReachable();
    status.daemons = m_admission.view().daemons().size();
    status.upstreams = m_admission.view().upstreams().size();
    status.ownedUpstreams = m_admission.leaseServer().ownedCount();
    status.openRequests = m_server.openExchanges();
    status.queuedRequests = m_admission.leaseServer().queued();
    return status;
}

void Daemon::setDraining(bool draining)
{
    if (m_stop.isUnderWay() || draining == m_isDraining)
        return;
    m_isDraining = draining;
    logEvent(LogLevel::Info, draining ? "draining" : "undrained", { { "open", m_server.openExchanges() } });
    m_membership.setLeaving(draining);
    m_isViewStale = true;
}

void Daemon::serveRequest(std::shared_ptr<Exchange> const& exchange)
{
    auto const settings = m_settingsFollower.settings();
    if (!settings) {
        exchange->respond(refuse(noSettingsRefusal()));
        return;
    }
    auto request = readRequest(exchange->request(), *settings, m_loop.now());
    if (auto const* refusal = std::get_if<Refusal>(&request)) {
        logRequest(
            { { "path", exchange->request().path() }, { "reason", nameOf(refusal->reason) }, { "verdict", nameOf(refusal->verdict) },
                { "settings", m_settingsFollower.revision().value() }, { "detail", refusal->detail } });
        exchange->respond(refuse(*refusal));
        return;
    }
    auto& accepted = std::get<CallerRequest>(request);
    if (OnceGateway::isResponsibleFor(accepted))
        m_onceGateway.serve(exchange, std::move(accepted));
    else
        startRequest(exchange, std::move(accepted), [](auto const&) {});
}

void Daemon::startRequest(std::shared_ptr<Exchange> const& exchange, CallerRequest request, RequestHandler::FinishedCallback finished)
{
    if (auto const refusal = m_admission.admitOrganisation(request.organisation.id, m_loop.now())) {
        exchange->respond(refuse(*refusal));
        finished({ refusal, {} });
        return;
    }
    RequestServices const services { m_loop, m_admission, m_retryPolicy, m_metrics, m_vmListFollower.list(), m_stop };
    std::make_shared<RequestHandler>(services, exchange, std::move(request), std::move(finished))->start();
}

HttpResponse Daemon::issueTickets(HttpRequest const& call)
{
    auto const settings = m_settingsFollower.settings();
    if (!settings)
        return refuse(noSettingsRefusal());
    auto const organisation = authenticate(call, *settings);
    if (auto const* refusal = std::get_if<Refusal>(&organisation))
        return refuse(*refusal);
    return m_onceGateway.issueTickets(call, std::get<OrganisationSettings>(organisation).id);
}

void Daemon::drain(std::function<void()> drained)
{
    setDraining(true);
    auto const end = m_options.drainGrace + m_options.drainLimit;
    StopTimes const times { m_options.drainGrace, end, end + lastAnswers };
    if (!m_stop.begin(m_loop.now(), times))
        return;
    m_server.setCloseAfterResponse(true);
    m_drain.start(times, [this, drained = std::move(drained)] {
        m_admission.tick(m_loop.now());
        drained();
    });
}

}

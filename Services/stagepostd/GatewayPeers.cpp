#include <stagepostd/GatewayPeers.h>

#include <LibBase/Hex.h>
#include <LibBase/Log.h>
#include <stagepostd/DetourServer.h>
#include <stagepostd/GatewayServerOptions.h>
#include <stagepostd/StateRequest.h>

namespace Stagepost {

namespace {

    constexpr char const* peerHeader = "Stagepost-Peer";
    // The state of 4,000 upstreams has 400 KB. Sending it to seven daemons takes a relay with a link
    // of 10 Mbit/s 2.3 s.
    constexpr Milliseconds fetchTimeout { 3000 };
    // Short compared with the interval at which daemons ask for state.
    constexpr Milliseconds tickInterval { 50 };
    constexpr unsigned statusForbidden = 403;
    // A free port for datagrams is seldom in use for connections.
    constexpr size_t maxFreePortsTried = 16;
    // In a larger fleet, a relay needs its whole bandwidth budget for the state that it sends, so it
    // leaves contexts out of its permit requests and does not ask which upstreams hold them.
    constexpr size_t maxPeersForRelayContextQueries = 128;

    HttpResponse notAuthenticated()
    {
        return makeTextResponse(statusForbidden, "for daemons of this fleet only\n");
    }

    HttpResponse plainRefusal(Refusal const& refusal)
    {
        return makeTextResponse(httpStatusOf(refusal.reason), refusal.detail + '\n');
    }

}

GatewayPeers::GatewayPeers(EventLoop& loop, Metrics& metrics, ClientLimits const& limits, std::shared_ptr<ClientMemory> clientMemory, StateExchange::Bounds bounds, FleetShare share, CrashSuspects& suspects, PromptPartSuspects& partSuspects, RandomHook random, Hooks hooks)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_limits(limits)
    , m_bounds(bounds)
    , m_random(std::move(random))
    , m_hooks(std::move(hooks))
    , m_client(loop)
    , m_server(
          loop, peerServerOptions({}, limits), [this](std::shared_ptr<Exchange> const& exchange) { handleRequest(exchange); }, plainRefusal, std::move(clientMemory), [this](HttpRequest const& head) { return checkHead(head); })
    , m_socket(loop, [this](Endpoint const& source, std::string_view datagram) { handleDatagram(source, datagram); })
    , m_fleetShare(std::move(share))
    , m_crashEvidence(loop, suspects, partSuspects, crashEvidenceHooks())
    , m_streamOrigins(loop, metrics, streamOriginHooks())
    , m_ticker(loop)
    , m_responseTimer(loop)
{
}

Result<Endpoint> GatewayPeers::listen(Endpoint const& endpoint)
{
    size_t const attempts = endpoint.port ? 1 : maxFreePortsTried;
    for (size_t attempt = 1;; ++attempt) {
        m_endpoint = TRY(m_socket.bind(endpoint));
        auto listening = m_server.listen(m_endpoint);
        if (listening || attempt == attempts)
            return listening;
    }
}

void GatewayPeers::setCallerLimits(CallerLimits const& limits)
{
    m_server.setOptions(peerServerOptions(limits, m_limits));
}

void GatewayPeers::join(GatewayPeer const& self, std::string const& key, Incarnation incarnation)
{
    m_fleetShare.registered(m_loop.now());
    m_datagramAuthenticator.emplace(key, self.id(), incarnation);
    // Datagrams, HTTP state and requests have separate sequence numbers, so their keys must differ.
    m_stateAuthenticator.emplace(key + "/state", self.id(), incarnation);
    m_detourAuthenticator.emplace(key + "/detour", self.id(), incarnation);
    m_channel = std::make_unique<PeerChannel>(m_socket, *m_datagramAuthenticator, m_metrics, [this](PeerMessageKind kind, VMId from, Endpoint const& source, std::string_view body) { handleMessage(kind, from, source, body); });
    FleetPeer const peer { self.id(), HallId::fromName(self.hall) };
    m_stateExchange = std::make_unique<StateExchange>(peer, m_random(), m_bounds, stateHooks());
    m_crashEvidence.join(peer);
    // Kept when the daemon joins again with another key, since requests may wait for answers.
    if (!m_permitExchange) {
        m_permitExchange = std::make_unique<PermitExchange>(peer, PermitExchange::Bounds {}, permitHooks());
        m_earlierRequests.takeAll([this](UpstreamId upstream, HallId hall) { m_permitExchange->requestStarted(upstream, hall, m_loop.now()); });
    }
    if (!m_holderExchange)
        m_holderExchange = std::make_unique<HolderExchange>(peer, HolderExchange::Bounds {}, HolderExchange::Hooks { [this](VMId to, std::string const& body) { send(to, PeerMessageKind::Holders, body); }, m_random });
    if (!m_detourExchange)
        m_detourExchange = std::make_unique<DetourExchange>(peer, DetourExchange::Bounds {}, detourHooks());
    m_streamOrigins.join(peer);
    m_ticker.every(tickInterval, [this] {
        if (m_roster.expire(m_loop.now()))
            applyRoster();
        m_stateExchange->tick(m_loop.now());
        m_crashEvidence.tick();
        m_permitExchange->tick(m_loop.now());
        m_holderExchange->tick(m_loop.now());
        m_detourExchange->tick(m_loop.now());
        m_streamOrigins.tick();
    });
    logEvent(LogLevel::Info, "joined", { { "name", self.name }, { "daemon", toHex(self.id().value()) }, { "hall", self.hall }, { "peer_listen", m_endpoint.toString() }, { "incarnation", incarnation.value() } });
}

StateExchange::Hooks GatewayPeers::stateHooks()
{
    StateExchange::Hooks hooks;
    hooks.send = [this](VMId to, std::string const& body) { send(to, PeerMessageKind::State, body); };
    hooks.stateDiffers = [this](VMId from, StateSummary const& summary, std::optional<Instant> provenAt) {
        if (m_hooks.needsStateFrom(summary))
            fetch(from, provenAt);
    };
    hooks.localState = m_hooks.localState;
    return hooks;
}

CrashEvidenceSharing::Hooks GatewayPeers::crashEvidenceHooks()
{
    CrashEvidenceSharing::Hooks hooks;
    hooks.send = [this](VMId to, PeerMessageKind kind, std::string const& body) { send(to, kind, body); };
    hooks.relays = [this] { return m_stateExchange->relays(); };
    hooks.subscribers = [this] { return m_stateExchange->recentRequesters(); };
    hooks.nameOf = [this](VMId id) { return nameOfPeer(id); };
    hooks.random = m_random;
    return hooks;
}

PermitExchange::Hooks GatewayPeers::permitHooks()
{
    PermitExchange::Hooks hooks;
    hooks.send = [this](VMId to, std::string const& body) { send(to, PeerMessageKind::Permits, body); };
    hooks.forecast = m_hooks.forecast;
    hooks.random = m_random;
    hooks.unanswered = [](VMId owner, UpstreamId upstream, Microseconds waited) { logEvent(LogLevel::Info, "owner-silent", { { "daemon", toHex(owner.value()) }, { "upstream_id", toHex(upstream.value()) }, { "waited_us", waited.count() } }); };
    hooks.arrived = [this](FleetPeer peer) {
        updateRoster([&] { m_roster.arrived(peer, m_loop.now()); });
        m_streamOrigins.peerStarted(peer.id);
    };
    hooks.left = [this](VMId id) { updateRoster([&] { m_roster.left(id, m_loop.now()); }); };
    hooks.replaces = [](VMId owner) { logEvent(LogLevel::Info, "owner-replaced", { { "daemon", toHex(owner.value()) } }); };
    return hooks;
}

DetourExchange::Hooks GatewayPeers::detourHooks()
{
    DetourExchange::Hooks hooks;
    hooks.send = [this](VMId to, std::string const& body) { send(to, PeerMessageKind::Detours, body); };
    hooks.isAvailable = m_hooks.takesDetours;
    hooks.load = m_hooks.detourLoad;
    hooks.random = m_random;
    return hooks;
}

StreamOriginFinder::Hooks GatewayPeers::streamOriginHooks()
{
    StreamOriginFinder::Hooks hooks;
    hooks.exchange.send = [this](VMId to, std::string const& body) { send(to, PeerMessageKind::StreamOrigins, body); };
    hooks.exchange.versions = m_hooks.versions;
    hooks.exchange.random = m_random;
    hooks.appender = [this] { return m_stateExchange->pathToReader(); };
    hooks.sendToAppender = [this](VMId to, std::string const& body) { send(to, PeerMessageKind::StreamOriginLog, body); };
    hooks.log = m_hooks.streamOriginLog;
    hooks.queriesSent = [this] { scheduleResponseTimeout(); };
    return hooks;
}

void GatewayPeers::setSearchingDetours(bool isSearching)
{
    if (m_detourExchange)
        m_detourExchange->setSearching(isSearching, m_loop.now());
}

void GatewayPeers::chooseDetour(std::vector<VMId> const& excluded, DetourExchange::Callback callback)
{
    m_detourExchange->choose(excluded, std::move(callback), m_loop.now());
}

std::string GatewayPeers::signDetour(DetourTerms const& terms)
{
    return bytesToHex(m_detourAuthenticator->signMessage(terms.encode()));
}

std::string GatewayPeers::nameOf(VMId id) const
{
    auto const peer = m_peers.find(id);
    return peer == m_peers.end() ? std::string() : peer->second.name;
}

void GatewayPeers::requestPermit(PermitExchange::CandidateList candidates, PermitExchange::Callback callback)
{
    if (m_stateExchange->isRelay() && m_stateExchange->peerCount() > maxPeersForRelayContextQueries)
        candidates.context.reset();
    m_permitExchange->choose(std::move(candidates), std::move(callback), m_loop.now());
    scheduleResponseTimeout();
}

void GatewayPeers::findContextHolders(uint64_t context, UpstreamId upstream, HolderExchange::Callback callback)
{
    m_holderExchange->recordPlacement(context, upstream, std::move(callback), m_loop.now());
    scheduleResponseTimeout();
}

// The interval of m_ticker is too long for the timeouts of waiting requests.
void GatewayPeers::scheduleResponseTimeout()
{
    auto due = m_permitExchange->nextTimeout();
    for (auto const& other : { m_holderExchange->nextTimeout(), m_streamOrigins.nextTimeout() }) {
        if (other)
            due = std::min(due.value_or(*other), *other);
    }
    if (!due)
        return;
    m_responseTimer.once(std::max<Microseconds>(Microseconds(0), *due - m_loop.now()), [this] {
        m_permitExchange->tick(m_loop.now());
        m_holderExchange->tick(m_loop.now());
        m_streamOrigins.tick();
        scheduleResponseTimeout();
    });
}

void GatewayPeers::requestStarted(UpstreamId upstream, HallId hall)
{
    if (m_permitExchange) {
        m_permitExchange->requestStarted(upstream, hall, m_loop.now());
        return;
    }
    m_earlierRequests.started(upstream, hall);
}

void GatewayPeers::requestEnded(UpstreamId upstream)
{
    if (m_permitExchange) {
        m_permitExchange->requestFinished(upstream, m_loop.now());
        return;
    }
    m_earlierRequests.ended(upstream);
}

void GatewayPeers::setPeers(std::vector<GatewayPeer> const& peers)
{
    m_peers.clear();
    std::vector<FleetPeer> list;
    list.reserve(peers.size());
    for (auto const& peer : peers) {
        m_peers[peer.id()] = peer;
        list.push_back({ peer.id(), HallId::fromName(peer.hall) });
    }
    m_roster.setRegistered(list);
    setFleetShare(list);
    std::erase_if(m_unregisteredPeers, [this](auto const& peer) { return m_peers.contains(peer.first); });
    if (!m_stateExchange)
        return;
    m_stateExchange->setPeers(list);
    m_crashEvidence.setPeers(list);
    m_holderExchange->setPeers(list, m_stateExchange->relays());
    m_detourExchange->setPeers(list);
    m_streamOrigins.setPeers(list);
    applyRoster();
    m_metrics.setGauge("stagepost_daemons", static_cast<double>(m_stateExchange->peerCount() + 1));
    logEvent(LogLevel::Info, "peers", { { "others", m_stateExchange->peerCount() }, { "relay", m_stateExchange->isRelay() ? 1 : 0 } });
}

void GatewayPeers::setFleetShare(std::vector<FleetPeer> const& others)
{
    std::vector<VMId> ids;
    ids.reserve(others.size());
    for (auto const& peer : others)
        ids.push_back(peer.id);
    m_fleetShare.setOthers(ids, m_loop.now());
}

void GatewayPeers::updateRoster(std::function<void()> const& change)
{
    auto const before = m_roster.peers();
    change();
    if (m_roster.peers() != before)
        applyRoster();
}

// Only the choice of owners depends on the announcements. Who reads the store must follow the
// registry, which a restored store may have lost. Relays own no upstreams, so for this the announcements decide on them too.
void GatewayPeers::applyRoster()
{
    m_permitExchange->setPeers(m_roster.peers(), m_stateExchange->relaysAmong(m_roster.peers(), !m_fleetShare.isLeaving()), m_loop.now());
}

void GatewayPeers::announceLeaving()
{
    m_fleetShare.leave();
    if (!m_permitExchange)
        return;
    m_permitExchange->announceLeaving(m_loop.now());
    applyRoster();
}

void GatewayPeers::stateConfirmed(Instant now)
{
    if (m_stateExchange)
        m_stateExchange->localStateConfirmed(now);
}

void GatewayPeers::recordStoreRead(bool hasSucceeded)
{
    if (!m_stateExchange)
        return;
    if (hasSucceeded)
        m_stateExchange->storeReadSucceeded();
    else
        m_stateExchange->storeReadFailed();
}

void GatewayPeers::stateChanged(Instant now)
{
    if (m_stateExchange)
        m_stateExchange->localStateChanged(now);
}

std::string_view GatewayPeers::nameOfPeer(VMId id) const
{
    auto const peer = m_peers.find(id);
    return peer == m_peers.end() ? std::string_view() : peer->second.name;
}

void GatewayPeers::sendRolloutMessage(VMId to, std::string const& body)
{
    if (m_channel)
        send(to, PeerMessageKind::Rollouts, body);
}

void GatewayPeers::send(VMId to, PeerMessageKind kind, std::string const& body)
{
    if (auto const* endpoint = endpointOf(to))
        m_channel->send(*endpoint, kind, body);
}

Endpoint const* GatewayPeers::endpointOf(VMId id) const
{
    if (auto const peer = m_peers.find(id); peer != m_peers.end())
        return &peer->second.endpoint;
    auto const unregistered = m_unregisteredPeers.find(id);
    return unregistered == m_unregisteredPeers.end() ? nullptr : &unregistered->second;
}

void GatewayPeers::handleDatagram(Endpoint const& source, std::string_view datagram)
{
    if (m_channel)
        m_channel->handleDatagram(source, datagram);
    else
        m_metrics.count("stagepost_peer_dropped_total", "reason=\"not-joined\"");
}

void GatewayPeers::handleMessage(PeerMessageKind kind, VMId from, Endpoint const& source, std::string_view body)
{
    if (!m_peers.contains(from))
        m_unregisteredPeers.insert_or_assign(from, source);
    auto const isTaken = [&] {
        switch (kind) {
        case PeerMessageKind::State:
            return m_stateExchange && m_stateExchange->receive(from, body, m_loop.now());
        case PeerMessageKind::Crashes:
        case PeerMessageKind::PartCrashes:
        case PeerMessageKind::Trials:
            return m_crashEvidence.receive(kind, from, body);
        case PeerMessageKind::Permits:
            return m_permitExchange && m_permitExchange->receive(from, body, m_loop.now());
        case PeerMessageKind::Holders:
            return m_holderExchange && m_holderExchange->receive(from, body, m_loop.now());
        case PeerMessageKind::Detours:
            return m_detourExchange && m_detourExchange->receive(from, body, m_loop.now());
        case PeerMessageKind::StreamOrigins:
            return m_streamOrigins.receive(from, body);
        case PeerMessageKind::StreamOriginLog:
            return m_streamOrigins.receiveForLog(body);
        case PeerMessageKind::Rollouts:
            return m_hooks.handleRolloutMessage(from, body);
        default:
            return false;
        }
    }();
    if (!isTaken)
        m_metrics.count("stagepost_peer_dropped_total", "reason=\"malformed\"");
}

void GatewayPeers::fetch(VMId from, std::optional<Instant> provenAt)
{
    auto const* endpoint = endpointOf(from);
    if (m_isFetching || !endpoint)
        return;
    m_isFetching = true;
    HttpRequest call { "GET", statePath, { { peerHeader, bytesToHex(m_stateAuthenticator->signMessage(formatStateRequest(m_hooks.localState.summary()))) } }, {} };
    m_client.fetch(*endpoint, std::move(call), fetchTimeout, [this, from, provenAt](Result<HttpResponse> const& reply) {
        m_isFetching = false;
        handleFetchedState(from, reply, provenAt);
    });
}

void GatewayPeers::handleFetchedState(VMId from, Result<HttpResponse> const& reply, std::optional<Instant> provenAt)
{
    auto const refuse = [&](std::string const& reason) {
        m_metrics.count("stagepost_peer_states_total", "outcome=\"refused\"");
        logEvent(LogLevel::Warning, "peer-state-refused", { { "peer", nameOf(from) }, { "reason", reason } });
    };
    if (!reply)
        return refuse(reply.error().message());
    if (reply->status != 200)
        return refuse("status " + std::to_string(reply->status));
    auto const verified = m_stateAuthenticator->verifyMessage(reply->body);
    if (!verified || verified->sender != from)
        return refuse("the state is not authenticated by that daemon");
    auto const state = GatewayState::decode(verified->body);
    if (!state)
        return refuse(state.error().message());
    m_metrics.count("stagepost_peer_states_total", "outcome=\"taken\"");
    m_hooks.mergeState(*state, provenAt);
}

// Only requests that are passed on have large bodies. The sequence number of their terms is checked once they are complete.
std::optional<HttpResponse> GatewayPeers::checkHead(HttpRequest const& head) const
{
    if (m_detourAuthenticator && m_detourAuthenticator->isAuthentic(hexToBytes(head.headers.find(DetourServer::termsHeader))))
        return {};
    return notAuthenticated();
}

void GatewayPeers::handleRequest(std::shared_ptr<Exchange> const& exchange)
{
    auto const signedTerms = exchange->request().headers.find(DetourServer::termsHeader);
    if (signedTerms.empty() || !m_detourAuthenticator)
        return exchange->respond(answerState(exchange->request()));
    auto const verified = m_detourAuthenticator->verifyMessage(hexToBytes(signedTerms));
    auto const terms = verified ? DetourTerms::decode(verified->sender, verified->body) : Result<DetourTerms>(verified.error());
    if (!terms) {
        m_metrics.count("stagepost_detoured_requests_total", "outcome=\"not-authenticated\"");
        return exchange->respond(notAuthenticated());
    }
    m_hooks.handleDetour(exchange, *terms);
}

HttpResponse GatewayPeers::answerState(HttpRequest const& call)
{
    if (!m_stateAuthenticator || call.path() != statePath)
        return notAuthenticated();
    auto const verified = m_stateAuthenticator->verifyMessage(hexToBytes(call.headers.find(peerHeader)));
    auto const known = verified ? parseStateRequest(verified->body) : std::nullopt;
    if (!known)
        return notAuthenticated();
    return { 200, { { "Content-Type", "application/octet-stream" } }, m_stateAuthenticator->signMessage(m_hooks.state(*known).encode()) };
}

}

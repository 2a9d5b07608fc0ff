#include <stagepostd/GatewayPeers.h>

#include <LibBase/Hex.h>
#include <LibBase/Log.h>
#include <charconv>

namespace Stagepost {

namespace {

    constexpr char const* peerField = "Stagepost-Peer";
    // Followed by the version of the settings and the hash of the upstreams that the
    // asking daemon has.
    std::string const requestWord = "state ";
    // The state of 4,000 upstreams is 400 KB, which a link of 10 Mbit/s carries to
    // a relay's seven others in 2.3 s.
    constexpr Milliseconds fetchTimeout { 3000 };
    // Fine against the interval of asks.
    constexpr Milliseconds tickInterval { 50 };
    constexpr unsigned statusForbidden = 403;
    // In a larger fleet what a relay tells others takes all that a daemon may send.
    constexpr size_t mostPeersOfAskingRelay = 128;

    std::string requestFor(StateSummary const& known)
    {
        return requestWord + std::to_string(known.settingsVersion) + ' ' + std::to_string(known.upstreamsHash);
    }

    // What is not understood counts as nothing, and all is answered.
    StateSummary knownBy(std::string_view numbers)
    {
        StateSummary known;
        auto const* const end = numbers.data() + numbers.size();
        auto const settings = std::from_chars(numbers.data(), end, known.settingsVersion);
        if (settings.ptr != end)
            std::from_chars(settings.ptr + 1, end, known.upstreamsHash);
        return known;
    }

    HttpReply plainRefusal(Refusal const& refusal)
    {
        return textReply(httpStatusOf(refusal.reason), refusal.detail + '\n');
    }

}

GatewayPeers::GatewayPeers(EventLoop& loop, Metrics& metrics, StateExchange::Bounds bounds, CrashSuspects& suspects, RandomHook random, Hooks hooks)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_bounds(bounds)
    , m_suspects(suspects)
    , m_random(std::move(random))
    , m_hooks(std::move(hooks))
    , m_client(loop)
    , m_server(
          loop, {}, [this](std::shared_ptr<Exchange> const& exchange) { exchange->respond(answerState(exchange->call())); }, plainRefusal)
    , m_ticker(loop)
    , m_answersTimer(loop)
{
}

Result<Endpoint> GatewayPeers::listen(Endpoint const& endpoint)
{
    m_endpoint = TRY(m_server.listen(endpoint));
    return m_endpoint;
}

Result<void> GatewayPeers::join(GatewayPeer const& self, std::string const& key, Incarnation incarnation)
{
    m_datagramSeal.emplace(key, self.id(), incarnation);
    // Sequence numbers of the two kinds run apart, so their keys differ.
    m_stateSeal.emplace(key + "/state", self.id(), incarnation);
    m_channel = std::make_unique<PeerChannel>(m_loop, *m_datagramSeal, m_metrics, [this](PeerMessageKind kind, VMId from, Endpoint const& source, std::string_view body) { receive(kind, from, source, body); });
    TRY(m_channel->bind(m_endpoint));
    FleetPeer const peer { self.id(), HallId::fromName(self.hall) };
    m_exchange = std::make_unique<StateExchange>(peer, m_random(), m_bounds, exchangeHooks());
    m_crashes = std::make_unique<CrashExchange>(peer, m_suspects, CrashExchange::Bounds {}, crashHooks());
    // One that joins again by another key has requests that wait for owners' answers.
    if (!m_ledger)
        m_ledger = std::make_unique<LedgerExchange>(peer, LedgerExchange::Bounds {}, ledgerHooks());
    if (!m_holders)
        m_holders = std::make_unique<HolderExchange>(peer, HolderExchange::Bounds {}, HolderExchange::Hooks { [this](VMId to, std::string const& body) { send(to, PeerMessageKind::Holders, body); } });
    m_ticker.every(tickInterval, [this] {
        m_exchange->tick(m_loop.now());
        m_crashes->tick(m_loop.now());
        m_ledger->tick(m_loop.now());
        m_holders->tick(m_loop.now());
    });
    logEvent(LogLevel::Info, "joined", { { "name", self.name }, { "hall", self.hall }, { "peer_listen", m_endpoint.toString() }, { "incarnation", incarnation.value() } });
    return {};
}

StateExchange::Hooks GatewayPeers::exchangeHooks()
{
    StateExchange::Hooks hooks;
    hooks.send = [this](VMId to, std::string const& body) { send(to, PeerMessageKind::State, body); };
    hooks.stateDiffers = [this](VMId from, StateSummary const& summary, std::optional<Instant> provenAt) {
        if (m_hooks.wantsState(summary))
            fetch(from, provenAt);
    };
    hooks.localState = m_hooks.beliefs;
    return hooks;
}

CrashExchange::Hooks GatewayPeers::crashHooks()
{
    CrashExchange::Hooks hooks;
    hooks.send = [this](VMId to, std::string const& body) { send(to, PeerMessageKind::Crashes, body); };
    hooks.relays = [this] { return m_exchange->relays(); };
    hooks.askers = [this] { return m_exchange->recentRequesters(); };
    return hooks;
}

LedgerExchange::Hooks GatewayPeers::ledgerHooks()
{
    LedgerExchange::Hooks hooks;
    hooks.send = [this](VMId to, std::string const& body) { send(to, PeerMessageKind::Ledger, body); };
    hooks.forecast = m_hooks.forecast;
    hooks.unanswered = [](VMId owner, UpstreamId upstream, Microseconds waited) {
        logEvent(LogLevel::Info, "owner-silent", { { "daemon", hexOf(owner.value()) }, { "upstream_id", hexOf(upstream.value()) }, { "waited_us", waited.count() } });
    };
    return hooks;
}

void GatewayPeers::chooseByOwners(LedgerExchange::Wish wish, LedgerExchange::Callback callback)
{
    if (m_exchange->isRelay() && m_exchange->peerCount() > mostPeersOfAskingRelay)
        wish.context.reset();
    m_ledger->choose(std::move(wish), std::move(callback), m_loop.now());
    awaitAnswers();
}

void GatewayPeers::contextPlaced(uint64_t context, UpstreamId upstream, HolderExchange::Callback callback)
{
    m_holders->placed(context, upstream, std::move(callback), m_loop.now());
    awaitAnswers();
}

// The ticker is too coarse for a request that waits.
void GatewayPeers::awaitAnswers()
{
    auto due = m_ledger->nextTimeout();
    if (auto const other = m_holders->nextTimeout())
        due = std::min(due.value_or(*other), *other);
    if (!due)
        return;
    m_answersTimer.once(std::max<Microseconds>(Microseconds(0), *due - m_loop.now()), [this] {
        m_ledger->tick(m_loop.now());
        m_holders->tick(m_loop.now());
        awaitAnswers();
    });
}

void GatewayPeers::requestBegan(UpstreamId upstream, HallId hall)
{
    if (m_ledger)
        m_ledger->began(upstream, hall, m_loop.now());
}

void GatewayPeers::requestEnded(UpstreamId upstream)
{
    if (m_ledger)
        m_ledger->ended(upstream, m_loop.now());
}

void GatewayPeers::setPeers(std::vector<GatewayPeer> const& peers)
{
    m_peers.clear();
    m_newcomers.clear();
    std::vector<FleetPeer> list;
    list.reserve(peers.size());
    for (auto const& peer : peers) {
        m_peers[peer.id()] = peer;
        list.push_back({ peer.id(), HallId::fromName(peer.hall) });
    }
    if (!m_exchange)
        return;
    m_exchange->setPeers(list);
    m_crashes->setPeers(list, m_loop.now());
    m_holders->setPeers(list, m_exchange->relays());
    m_ledger->setPeers(std::move(list), m_exchange->relays(), m_loop.now());
    m_metrics.setGauge("stagepost_daemons", static_cast<double>(m_exchange->peerCount() + 1));
    logEvent(LogLevel::Info, "peers", { { "others", m_exchange->peerCount() }, { "relay", m_exchange->isRelay() ? 1 : 0 } });
}

void GatewayPeers::proven(Instant now)
{
    if (m_exchange)
        m_exchange->localStateConfirmed(now);
}

void GatewayPeers::changed(Instant now)
{
    if (m_exchange)
        m_exchange->localStateChanged(now);
}

void GatewayPeers::crashSeen(RequestFingerprint request, Instant now)
{
    if (m_crashes)
        m_crashes->seen(request, now);
}

bool GatewayPeers::takeCrashes(VMId from, std::string_view body)
{
    if (!m_crashes)
        return true;
    auto const news = m_crashes->receive(from, body, m_loop.now());
    if (!news)
        return false;
    auto const sender = m_peers.find(from);
    for (auto const request : *news)
        logEvent(LogLevel::Info, "crash-evidence", { { "request", hexOf(request.value()) }, { "source", "told" }, { "peer", sender == m_peers.end() ? "" : sender->second.name }, { "ends", m_suspects.endCount(request) }, { "guilty", m_suspects.isGuilty(request) ? 1 : 0 } });
    return true;
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
    auto const newcomer = m_newcomers.find(id);
    return newcomer == m_newcomers.end() ? nullptr : &newcomer->second;
}

void GatewayPeers::receive(PeerMessageKind kind, VMId from, Endpoint const& source, std::string_view body)
{
    if (!m_peers.contains(from))
        m_newcomers.insert_or_assign(from, source);
    auto const isTaken = [&] {
        switch (kind) {
        case PeerMessageKind::State:
            return m_exchange && m_exchange->receive(from, body, m_loop.now());
        case PeerMessageKind::Crashes:
            return takeCrashes(from, body);
        case PeerMessageKind::Ledger:
            return m_ledger && m_ledger->receive(from, body, m_loop.now());
        case PeerMessageKind::Holders:
            return m_holders && m_holders->receive(from, body, m_loop.now());
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
    HttpCall call { "GET", statePath, { { peerField, hexOfBytes(m_stateSeal->seal(requestFor(m_hooks.beliefs.summary()))) } }, {} };
    m_client.fetch(*endpoint, std::move(call), fetchTimeout, [this, from, provenAt](Result<HttpReply> const& reply) {
        m_isFetching = false;
        takeFetched(from, reply, provenAt);
    });
}

void GatewayPeers::takeFetched(VMId from, Result<HttpReply> const& reply, std::optional<Instant> provenAt)
{
    auto const refuse = [&](std::string const& reason) {
        m_metrics.count("stagepost_peer_states_total", "outcome=\"refused\"");
        logEvent(LogLevel::Warning, "peer-state-refused", { { "peer", m_peers.contains(from) ? m_peers.at(from).name : "" }, { "reason", reason } });
    };
    if (!reply)
        return refuse(reply.error().message());
    if (reply->status != 200)
        return refuse("status " + std::to_string(reply->status));
    auto const opened = m_stateSeal->open(reply->body);
    if (!opened || opened->sender != from)
        return refuse("it is not sealed by that daemon");
    auto const state = GatewayState::decode(opened->body);
    if (!state)
        return refuse(state.error().message());
    m_metrics.count("stagepost_peer_states_total", "outcome=\"taken\"");
    m_hooks.takeState(*state, provenAt);
}

HttpReply GatewayPeers::answerState(HttpCall const& call)
{
    if (!m_stateSeal || call.path() != statePath)
        return textReply(statusForbidden, "for daemons of this fleet only\n");
    auto const opened = m_stateSeal->open(bytesOfHex(call.headers.find(peerField)));
    if (!opened || !opened->body.starts_with(requestWord))
        return textReply(statusForbidden, "for daemons of this fleet only\n");
    auto const known = knownBy(std::string_view(opened->body).substr(requestWord.size()));
    return { 200, { { "Content-Type", "application/octet-stream" } }, m_stateSeal->seal(m_hooks.state(known).encode()) };
}

}

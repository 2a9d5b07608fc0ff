#include <stagepostd/Gateway.h>

#include <LibBase/Hex.h>
#include <LibBase/Log.h>
#include <stagepostd/ClientGauges.h>
#include <stagepostd/GatewayGauges.h>
#include <stagepostd/GatewayReply.h>
#include <stagepostd/GatewayServerOptions.h>
#include <stagepostd/RolloutReport.h>

namespace Stagepost {

namespace {

    // Short compared with the bounds for expired records and for readiness, which are seconds.
    constexpr Milliseconds tickInterval { 100 };
    // Connections usually succeed or are refused within a few milliseconds, or not at all.
    constexpr Milliseconds portTimeout { 500 };
    constexpr Milliseconds linkProbeTimeout { 100 };
    constexpr unsigned statusUnready = 503;

    FleetShare makeFleetShare(GatewayOptions const& options, Instant now)
    {
        auto const window = options.retries.window;
        return FleetShare({ window, window / 2 }, options.isFirstStart ? std::optional(now) : std::nullopt);
    }

}

Gateway::Gateway(EventLoop& loop, GatewayOptions options, GatewayDialect dialect, GatewayRegistryHooks registry, RandomHook random, RolloutRecordHooks rolloutRecords, StreamOriginLogHooks streamOriginLog)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_dialect(std::move(dialect))
    , m_registry(std::move(registry))
    , m_random(std::move(random))
    , m_settingsFreshness({ m_options.peerSettingsTimeout, m_options.exchange.fallbackAge })
    , m_settingsLoader(loop, { m_dialect.readSettings, [this](Result<RouteTable::Parts>&& parts, SettingsLoader::PendingSettings const& loaded) { return applySettings(std::move(parts), loaded); }, [this](Microseconds turn) { m_metrics.observe("stagepost_settings_turn_seconds", turn); } })
    , m_clientMemory(std::make_shared<ClientMemory>(m_options.clients.memory))
    , m_serviceShares(m_options.clients)
    , m_fingerprintKey(std::to_string(m_random()))
    , m_suspects(VMId::fromName(m_options.name))
    , m_partSuspects(VMId::fromName(m_options.name), {})
    , m_serviceTable(
          { m_options.hall, m_options.placement, m_options.retries, [this](Instant) { return m_peers.usableShare(); } }, m_random, [this](Endpoint const& upstream) { m_server.dropIdleConnections(upstream); }, loop.now())
    , m_directory(m_options.directory, { [this](UpstreamChange const& change) { applyUpstream(change); }, [this] { m_serviceTable.restartVersionHistory(m_loop.now()); }, [this](UpstreamRecord const& record, bool mayServe) { m_serviceTable.notePassedOver(record, mayServe, m_loop.now()); } })
    , m_emptiedHalls({ m_options.directory.returnGrace }, [this](HallOrder const& order) { applyHallOrder(order); })
    , m_peers(loop, m_metrics, m_options.clients, m_clientMemory, m_options.exchange, makeFleetShare(m_options, loop.now()), m_suspects, m_partSuspects, m_random, peerHooks(std::move(streamOriginLog)))
    , m_rollouts(makeRollouts(std::move(rolloutRecords)))
    , m_portProbe(loop)
    , m_links(m_options.maxDetoured > 0, loop, m_metrics, m_serviceTable, linkHooks())
    , m_detourServer(std::min(m_options.maxDetoured, m_options.clients.detouredRequests), m_dialect.idField, m_metrics, detourHooks())
    , m_detourClient(loop, m_metrics, m_dialect, m_links, m_peers)
    , m_router(m_dialect, { [this] { return m_table; }, [this] { return areKeysFresh(); }, [this] { return m_loop.now(); }, m_random })
    , m_crashDetector(loop, m_metrics, m_suspects, m_partSuspects, crashDetectorHooks())
    , m_services { loop, m_metrics, m_serviceTable, m_crashDetector, m_partSuspects, m_peers, m_links, m_detourClient, m_stop, m_dialect, [this] { return areKeysFresh(); }, [this] { return needsRevalidation(); }, [this] { return settingsAge(); }, [this] { return m_peers.equalShare(); }, [this](FingerprintInput const& input) { return m_fingerprintKey.fingerprintOf(input); }, [this](std::string const& service, uint64_t partIdHash) { return m_fingerprintKey.partFingerprintOf(service, partIdHash); }, [this] { return m_directory.age().confirmedAt(); }, [this](Endpoint const& upstream) { return m_server.dropClosedConnections(upstream); }, m_rollouts.get() }
    , m_server(
          loop, callerServerOptions({}, m_options.clients), [this](std::shared_ptr<Exchange> const& exchange) { handle(exchange); }, [this](Refusal const& refusal) { return refuse(refusal); }, m_clientMemory, [this](HttpRequest const& head) { return checkHead(head); })
    , m_readyServer(
          loop, checkServerOptions(m_options.clients), [this](std::shared_ptr<Exchange> const& exchange) { handleReady(*exchange); }, [this](Refusal const& refusal) { return refuse(refusal); }, m_clientMemory)
    , m_ticker(loop)
    , m_stallDetector(m_metrics, { tickInterval, m_options.directory.outageThreshold })
    , m_drain(loop, m_server, m_dialect.idField, { [this] { return m_detourServer.load(); }, [this] { m_stop.requests().giveUpAll(); } })
{
    m_peers.shareUpstreamConnections(m_server);
}

GatewayPeers::Hooks Gateway::peerHooks(StreamOriginLogHooks streamOriginLog)
{
    GatewayPeers::Hooks hooks;
    hooks.streamOriginLog = std::move(streamOriginLog);
    hooks.localState.summary = [this] { return summary(); };
    hooks.localState.provenAt = [this] { return provenAt(); };
    hooks.localState.confirm = [this](Instant provenAt) { confirmState(provenAt); };
    hooks.localState.confirmParts = [this](StateSummary const& summary, Instant provenAt) { confirmParts(summary, provenAt); };
    hooks.localState.upstreamChangesSince = [this](uint64_t hash) { return m_directory.changesSince(hash, m_loop.now()).value_or(std::vector<UpstreamChange> {}); };
    hooks.localState.applyUpstreamChanges = [this](auto const& changes, Instant provenAt) { changeUpstreams("changes", provenAt, [&](Instant now) { m_directory.applyForwarded(changes, now); }); };
    hooks.localState.registryChangesSince = m_registry.changesSince;
    hooks.localState.applyRegistryChanges = m_registry.apply;
    hooks.localState.registryProvenAt = m_registry.provenAt;
    hooks.localState.confirmRegistry = m_registry.confirm;
    hooks.localState.emptiedHalls = [this] { return m_emptiedHalls.state(); };
    hooks.localState.applyEmptiedHalls = [this](auto const& state, std::optional<Instant> provenAt) { mergeEmptiedHalls(state, provenAt); };
    hooks.localState.upstreamListForHash = [this](uint64_t hash) { return m_directory.listForHash(hash); };
    hooks.localState.ownInFlight = [this] { return ownInFlight(); };
    hooks.localState.setOthersInFlight = [this](auto const& others, Microseconds age) { setOthersInFlight(others, age); };
    hooks.state = [this](StateSummary const& known) { return state(known); };
    hooks.needsStateFrom = [this](StateSummary const& other) { return needsStateFrom(other); };
    hooks.mergeState = [this](GatewayState const& state, std::optional<Instant> provenAt) { mergeState(state, provenAt); };
    hooks.forecast = [this](UpstreamId upstream) { return forecast(upstream); };
    hooks.takesDetours = [this] { return m_detourServer.isAvailable(); };
    hooks.detourLoad = [this] { return m_detourServer.load(); };
    hooks.versions = [this](std::string const& service, Instant now) { return m_serviceTable.versionKnowledge(service, now); };
    hooks.handleDetour = [this](auto exchange, auto const& terms) { m_detourServer.serve(std::move(exchange), terms); };
    if (m_options.rollouts.isEnabled())
        addRolloutHooks(hooks);
    return hooks;
}

void Gateway::addRolloutHooks(GatewayPeers::Hooks& hooks)
{
    hooks.localState.rollouts = [this] { return m_rollouts->states(); };
    hooks.localState.applyRollouts = [this](auto const& states, std::optional<Instant> provenAt) { m_rollouts->mergeStates(states, provenAt); };
    hooks.handleRolloutMessage = [this](VMId from, std::string_view body) { return m_rollouts->receive(from, body); };
}

std::unique_ptr<RolloutController> Gateway::makeRollouts(RolloutRecordHooks records)
{
    if (!m_options.rollouts.isEnabled())
        return nullptr;
    RolloutController::Hooks hooks;
    hooks.send = [this](VMId to, std::string const& body) { m_peers.sendRolloutMessage(to, body); };
    hooks.records = std::move(records);
    hooks.changed = [this] { m_peers.stateChanged(m_loop.now()); };
    hooks.daemonsWithShare = [this] { return m_peers.daemonsWithShare(); };
    FleetPeer const self { VMId::fromName(m_options.name), HallId::fromName(m_options.hall) };
    return std::make_unique<RolloutController>(
        self, m_options.rollouts, m_serviceTable, m_metrics, [this] { return m_loop.now(); }, m_random, std::move(hooks));
}

UpstreamForecast Gateway::forecast(UpstreamId upstream)
{
    auto const* target = m_serviceTable.target(upstream);
    return target ? m_serviceTable.service(target->service).placement.forecast(upstream, m_loop.now()) : UpstreamForecast {};
}

CrashDetector::Hooks Gateway::crashDetectorHooks()
{
    CrashDetector::Hooks hooks;
    hooks.probe = [this](Endpoint const& endpoint, PortProbe::Callback callback) { m_portProbe.probe(endpoint, portTimeout, std::move(callback)); };
    hooks.linksSince = [this](Instant time) { return m_links.stateSince(time); };
    hooks.evidenceChanged = [this](Fingerprint request) { m_peers.crashEvidence().shareRequest(request); };
    hooks.partEvidenceChanged = [this](Fingerprint part) { m_peers.crashEvidence().sharePart(part); };
    return hooks;
}

LinkMonitor::Hooks Gateway::linkHooks()
{
    LinkMonitor::Hooks hooks;
    hooks.probe = [this](Endpoint const& endpoint, PortProbe::Callback callback) { m_portProbe.probe(endpoint, linkProbeTimeout, std::move(callback)); };
    hooks.stateChanged = [this](LinkState state) { m_peers.setSearchingDetours(state != LinkState::Up); };
    hooks.random = m_random;
    return hooks;
}

DetourServer::Hooks Gateway::detourHooks()
{
    DetourServer::Hooks hooks;
    hooks.canServe = [this] { return isReady() && !m_links.isLost(); };
    hooks.settingsVersion = [this] { return settingsVersion(); };
    hooks.handle = [this](auto const& exchange, auto const& terms) { handle(exchange, terms); };
    return hooks;
}

void Gateway::applyUpstream(UpstreamChange const& change)
{
    auto const before = m_serviceTable.currentId(change.instance);
    auto const* target = before ? m_serviceTable.target(*before) : nullptr;
    if (m_rollouts && target)
        m_rollouts->upstreamsChanged(target->service);
    m_serviceTable.apply(change, m_loop.now());
    if (m_rollouts && change.record)
        m_rollouts->upstreamsChanged(change.record->service);
    if (before && change.record && change.record->id() != *before)
        m_crashDetector.upstreamRestarted(*before);
}

void Gateway::applyHallOrder(HallOrder const& order)
{
    m_serviceTable.setHallEmptied(HallId::fromName(order.hall), order.isEmptied, m_loop.now());
    m_metrics.setGauge("stagepost_emptied_halls", static_cast<double>(m_emptiedHalls.state().halls.size()));
    logEvent(LogLevel::Info, order.isEmptied ? "hall-emptied" : "hall-taken-back",
        { { "hall", order.hall }, { "position", m_emptiedHalls.state().position }, { "age_ms", m_emptiedHalls.age().age(m_loop.now()).value_or(Microseconds(0)).count() / 1000 } });
}

void Gateway::updateHallOrders(std::vector<HallOrder> const& orders, StoreRead const& read)
{
    auto const before = m_emptiedHalls.state().halls;
    if (read.isAfterRestore)
        m_emptiedHalls.replaceAfterRestore(orders, read.position, read.provenAt);
    else if (read.isComplete)
        m_emptiedHalls.replace(orders, read.position, read.provenAt);
    else
        m_emptiedHalls.apply(orders, read.position, read.provenAt);
    if (before != m_emptiedHalls.state().halls)
        m_peers.stateChanged(m_loop.now());
}

void Gateway::updateRolloutOrders(std::vector<RolloutOrderRecord> const& records, StoreRead const& read)
{
    if (m_rollouts)
        m_rollouts->updateOrders(records, read.isComplete, read.provenAt, read.position, read.isAfterRestore);
}

uint64_t Gateway::settingsPosition() const
{
    auto const position = std::min(m_settingsFreshness.position(), m_emptiedHalls.state().position);
    return m_rollouts ? std::min(position, m_rollouts->position()) : position;
}

void Gateway::mergeEmptiedHalls(EmptiedHallsState const& received, std::optional<Instant> provenAt)
{
    auto const before = m_emptiedHalls.state().halls;
    m_emptiedHalls.applyPeerState(received, provenAt);
    if (before != m_emptiedHalls.state().halls)
        m_peers.stateChanged(m_loop.now());
}

Result<void> Gateway::start()
{
    m_callerEndpoint = TRY(m_server.listen(m_options.listen));
    m_readyEndpoint = TRY(m_readyServer.listen(m_options.readyListen));
    m_peerEndpoint = TRY(m_peers.listen(m_options.peerListen));
    logEvent(LogLevel::Info, "started", { { "name", m_options.name }, { "hall", m_options.hall }, { "listen", m_callerEndpoint.toString() }, { "ready_listen", m_readyEndpoint.toString() }, { "peer_listen", m_peerEndpoint.toString() } });
    logClientLimits(m_options.clients);
    m_server.setCloseAfterResponse(true);
    m_stallDetector.start(m_loop.now());
    m_ticker.every(tickInterval, [this] { tick(); });
    return {};
}

bool Gateway::areKeysFresh() const
{
    return !m_options.keyFreshness || m_settingsFreshness.age().isWithin(*m_options.keyFreshness, m_loop.now());
}

// For the log; -1 without settings.
int64_t Gateway::settingsAgeMilliseconds() const
{
    return m_settingsFreshness.age().isKnown() ? settingsAge().count() / 1000 : -1;
}

Microseconds Gateway::settingsAge() const
{
    return m_settingsFreshness.age().age(m_loop.now()).value_or(Microseconds::max());
}

bool Gateway::isReady() const
{
    return !m_stop.isUnderWay() && m_table && m_directory.hasList() && areKeysFresh() && !needsRevalidation() && areVersionsKnown();
}

// A daemon that has just started waits for its first proof of the orders. Until then, its first lease would leave
// a service without upstreams: the new version is only tried, and the old one is not proven.
bool Gateway::areVersionsKnown() const
{
    if (!m_rollouts)
        return true;
    return m_rollouts->isReady() && (m_hasBeenReady || !m_rollouts->hasUnprovenVersions());
}

bool Gateway::isSettingsOverdue() const
{
    return m_settingsFreshness.isOverdue(m_loop.now(), m_settingsLoader.isLoading(m_settingsFreshness.announcedVersion()), m_settingsLoader.isBusy());
}

bool Gateway::isSettingsProofLate() const
{
    return m_settingsFreshness.isProofLate(m_loop.now(), m_settingsLoader.isBusy());
}

void Gateway::handleStoreFailure()
{
    m_settingsFreshness.storeFailed(m_loop.now());
    m_peers.recordStoreRead(false);
}

void Gateway::updateSettings(std::optional<std::string> text, StoreRead const& read)
{
    m_peers.recordStoreRead(true);
    bool const isNew = text && (m_settingsLoader.isBusy() || *text != m_settingsHistory.text());
    bool isProven = m_settingsFreshness.storeRead({ isNew, read.isComplete, read.position, read.provenAt });
    if (isNew)
        m_settingsLoader.load({ makeSettingsText(std::move(*text)), {}, {}, read.position });
    else if (text)
        isProven = m_settingsFreshness.putInForce(settingsVersion(), read.position) || isProven;
    if (isProven)
        handleSettingsProof();
}

void Gateway::handleSettingsProof()
{
    updateReadiness();
    m_peers.stateConfirmed(m_loop.now());
}

// While configurations follow one another quickly, the proven version is often still on its way or being parsed.
// Without this, no daemon would answer the queries of others meanwhile.
void Gateway::confirmParts(StateSummary const& proven, Instant provenAt)
{
    if (m_directory.hash() == proven.upstreamsHash)
        m_directory.confirm(provenAt);
    if (m_settingsFreshness.versionProven(proven.settingsVersion, provenAt))
        handleSettingsProof();
}

// Returns false if the configuration could not be parsed.
bool Gateway::applySettings(Result<RouteTable::Parts>&& parts, SettingsLoader::PendingSettings const& loaded)
{
    if (!parts) {
        m_metrics.count("stagepost_settings_rejected_total");
        logEvent(LogLevel::Error, "settings-rejected", { { "reason", parts.error().message() }, { "in_force", settingsVersion() } });
        return false;
    }
    if (m_table && parts->version <= m_table->version()) {
        // There is nothing newer up to this position, also if the store was restored from a copy.
        if (m_settingsFreshness.putInForce(m_table->version(), loaded.position))
            handleSettingsProof();
        return true;
    }
    m_table = std::make_shared<RouteTable const>(std::move(*parts));
    bool const isAsReceived = loaded.update && loaded.update->version == m_table->version();
    m_settingsHistory.add(m_table->version(), loaded.text, isAsReceived ? loaded.update : std::nullopt);
    m_server.setOptions(callerServerOptions(m_table->limits(), m_options.clients));
    m_peers.setCallerLimits(m_table->limits());
    m_serviceTable.applySettings(*m_table, m_options.coldOvershoot, m_options.coldSlack);
    m_metrics.setGauge("stagepost_settings_version", static_cast<double>(m_table->version()));
    logEvent(LogLevel::Info, "settings-in-force", { { "version", m_table->version() }, { "routes", m_table->routeCount() }, { "source", loaded.update ? "told" : "store" }, { "took_ms", (m_loop.now() - loaded.startedAt).count() / 1000 }, { "longest_turn_us", loaded.longestSlice.count() } });
    m_peers.stateChanged(m_loop.now());
    if (m_settingsFreshness.putInForce(m_table->version(), loaded.position))
        handleSettingsProof();
    return true;
}

// A delayed answer of the store may be older than what other daemons have confirmed meanwhile, and
// must not replace it.
bool Gateway::updateUpstreams(std::vector<UpstreamChange> const& changes, StoreRead const& read)
{
    auto const known = m_directory.age().confirmedAt();
    if (known && *known > read.provenAt) {
        logEvent(LogLevel::Info, "upstreams-read-outdated", { { "behind_ms", (*known - read.provenAt).count() / 1000 }, { "changes", changes.size() } });
        return false;
    }
    changeUpstreams("store", read.provenAt, [&](Instant now) {
        if (!read.isComplete)
            m_directory.apply(changes, now);
        else if (read.isAfterRestore)
            m_directory.replaceAfterRestore(recordsOf(changes), read.provenAt, now);
        else
            m_directory.replace(recordsOf(changes), now);
    });
    updateReadiness();
    m_peers.stateConfirmed(m_loop.now());
    return true;
}

void Gateway::logUpstreamsIfChanged(std::string_view source, uint64_t hashBefore)
{
    if (m_rollouts)
        m_rollouts->applyChanges();
    if (m_directory.hash() == hashBefore)
        return;
    logEvent(LogLevel::Info, "upstreams",
        { { "source", source }, { "count", m_directory.records().size() }, { "list", toHex(m_directory.hash()) },
            { "age_ms", m_directory.age().age(m_loop.now()).value_or(Microseconds(0)).count() / 1000 } });
}

void Gateway::changeUpstreams(std::string_view source, Instant provenAt, std::function<void(Instant now)> const& change)
{
    auto const hashBefore = m_directory.hash();
    m_directory.confirm(provenAt);
    change(m_loop.now());
    logUpstreamsIfChanged(source, hashBefore);
}

StateSummary Gateway::summary() const
{
    return { settingsVersion(), m_directory.hash(), m_registry.version() };
}

// State that is newer or differs is fetched from the other daemon. If newer settings do not arrive
// in time, the store is read.
bool Gateway::needsStateFrom(StateSummary const& other)
{
    m_settingsFreshness.announced(other.settingsVersion, m_loop.now());
    bool const isLoadingNewest = m_settingsLoader.isLoading(other.settingsVersion) && other.upstreamsHash == m_directory.hash();
    return !isLoadingNewest;
}

std::optional<Instant> Gateway::provenAt() const
{
    auto const settings = m_settingsFreshness.age().confirmedAt();
    auto const upstreams = m_directory.age().confirmedAt();
    auto const halls = m_emptiedHalls.age().confirmedAt();
    if (!settings || !upstreams || !halls)
        return {};
    auto const proven = std::min({ *settings, *upstreams, *halls });
    if (!m_rollouts)
        return proven;
    auto const rollouts = m_rollouts->provenAt();
    return rollouts ? std::optional(std::min(proven, *rollouts)) : std::nullopt;
}

void Gateway::confirmState(Instant provenAt)
{
    m_directory.confirm(provenAt);
    m_directory.markComplete();
    m_settingsFreshness.confirm(provenAt);
    m_emptiedHalls.confirm(provenAt);
    if (m_rollouts)
        m_rollouts->confirm(provenAt);
    handleSettingsProof();
}

GatewayState Gateway::state(StateSummary const& known) const
{
    GatewayState state { m_settingsHistory.updateSince(known.settingsVersion), m_directory.hash(), {} };
    state.settings.position = m_settingsFreshness.position();
    if (known.upstreamsHash == m_directory.hash())
        return state;
    auto& upstreams = state.upstreams.emplace();
    for (auto const& [instance, record] : m_directory.records())
        upstreams.push_back(record);
    return state;
}

// The list of upstreams is used only if it was confirmed later than the local one. Configurations are
// ordered by their version.
void Gateway::mergeState(GatewayState const& state, std::optional<Instant> provenAt)
{
    if (provenAt)
        mergeUpstreams(state, *provenAt);
    auto const confirm = [this, version = state.settings.version, hash = state.upstreamsHash, provenAt] {
        if (provenAt)
            confirmIfCurrent(version, hash, *provenAt);
    };
    if (state.settings.version <= settingsVersion()) {
        if (state.settings.version == settingsVersion() && m_settingsFreshness.putInForce(settingsVersion(), state.settings.position))
            handleSettingsProof();
        confirm();
        return;
    }
    if (m_settingsLoader.isLoading(state.settings.version))
        return;
    if (auto text = m_settingsHistory.applyUpdate(state.settings)) {
        m_settingsLoader.load({ makeSettingsText(std::move(*text)), state.settings, confirm, state.settings.position });
        return;
    }
    m_settingsFreshness.announcedIsUnavailable(m_loop.now());
    logEvent(LogLevel::Info, "settings-left-to-the-store", { { "version", state.settings.version }, { "in_force", settingsVersion() } });
}

void Gateway::mergeUpstreams(GatewayState const& state, Instant provenAt)
{
    auto const known = m_directory.age().confirmedAt();
    if (!state.upstreams || (known && provenAt <= *known))
        return;
    changeUpstreams("state", provenAt, [&](Instant now) { m_directory.replaceByPeer(*state.upstreams, now); });
}

// This daemon's state may have changed since the other daemon computed the update for it.
void Gateway::confirmIfCurrent(uint64_t settingsVersion, uint64_t upstreamsHash, Instant provenAt)
{
    if (this->settingsVersion() < settingsVersion)
        return;
    if (m_directory.hash() == upstreamsHash) {
        confirmState(provenAt);
        return;
    }
    m_settingsFreshness.confirm(provenAt);
    handleSettingsProof();
}

std::vector<UpstreamInFlight> Gateway::ownInFlight() const
{
    std::vector<UpstreamInFlight> result;
    for (auto const& [name, service] : m_serviceTable.services()) {
        for (auto const& [upstream, count] : service->placement.ownInFlight())
            result.push_back({ upstream, count });
    }
    return result;
}

void Gateway::setOthersInFlight(std::vector<UpstreamInFlight> const& list, Microseconds age)
{
    std::map<UpstreamId, size_t> counts;
    for (auto const& [upstream, count] : list)
        counts[upstream] = count;
    for (auto const& [name, service] : m_serviceTable.services())
        service->placement.updateOthersInFlight(counts, age, m_loop.now());
}

void Gateway::join(GatewayPeer const& self, std::string const& key, Incarnation incarnation)
{
    m_fingerprintKey = FingerprintKey(key);
    m_peers.join(self, key, incarnation);
}

void Gateway::setPeers(std::vector<GatewayPeer> const& peers)
{
    m_peers.setPeers(peers);
    if (!m_rollouts)
        return;
    std::vector<FleetPeer> others;
    others.reserve(peers.size());
    for (auto const& peer : peers)
        others.push_back({ peer.id(), HallId::fromName(peer.hall) });
    m_rollouts->setPeers(others);
}

// The time of a stall must not count as silence of upstreams, since nobody received their answers.
void Gateway::handleStall(Microseconds stall)
{
    if (stall > Microseconds(0))
        m_serviceTable.silence().excludePause(stall);
    if (stall <= ServiceTable::maxListAge)
        return;
    m_serviceTable.restartVersionHistory(m_loop.now());
    m_peers.streamOrigins().restart();
}

bool Gateway::needsRevalidation() const
{
    return m_stallDetector.needsRevalidation(provenAt(), m_loop.now());
}

void Gateway::tick()
{
    handleStall(m_stallDetector.tick(m_loop.now(), m_server.openExchanges()));
    auto const upstreamsBefore = m_directory.hash();
    m_serviceTable.setListAge(m_directory.age().age(m_loop.now()), m_loop.now());
    m_directory.tick(m_loop.now());
    m_emptiedHalls.tick(m_loop.now());
    logUpstreamsIfChanged("not-written-again", upstreamsBefore);
    m_links.tick();
    m_crashDetector.tick();
    if (m_rollouts)
        m_rollouts->tick();
    updateReadiness();
    flushLog();
}

// While the daemon is not ready, connections are closed after each answer. Otherwise callers that
// keep a connection open would stay with a daemon that cannot serve them.
void Gateway::updateReadiness()
{
    bool const isReadyNow = isReady();
    if (isReadyNow == m_wasReady)
        return;
    m_wasReady = isReadyNow;
    m_hasBeenReady = m_hasBeenReady || isReadyNow;
    m_server.setCloseAfterResponse(!isReadyNow);
    logEvent(isReadyNow ? LogLevel::Info : LogLevel::Warning, isReadyNow ? "ready" : "unready",
        { { "draining", m_stop.isUnderWay() ? 1 : 0 }, { "has_settings", m_table ? 1 : 0 }, { "has_upstreams", m_directory.hasList() ? 1 : 0 }, { "settings_age_ms", settingsAgeMilliseconds() } });
}

HttpResponse Gateway::refuse(Refusal const& refusal)
{
    m_metrics.countRefusal(refusal);
    return gatewayReply(refusal);
}

// -1 for state that was never proven.
void Gateway::setAgeGauges()
{
    auto const setAge = [this](char const* name, std::optional<Instant> provenAt) {
        m_metrics.setGauge(name, provenAt ? asSeconds(m_loop.now() - *provenAt) : -1);
    };
    setAge("stagepost_settings_age_seconds", m_settingsFreshness.age().confirmedAt());
    setAge("stagepost_emptied_halls_age_seconds", m_emptiedHalls.age().confirmedAt());
    setAge("stagepost_upstreams_age_seconds", m_directory.age().confirmedAt());
    setAge("stagepost_registry_age_seconds", m_registry.provenAt());
    if (m_rollouts)
        setAge("stagepost_rollouts_age_seconds", m_rollouts->provenAt());
}

HttpResponse Gateway::renderMetrics()
{
    setServiceGauges(m_serviceTable, m_loop.now(), m_metrics);
    setClientGauges(*m_clientMemory, m_server, m_options.clients, m_metrics);
    m_metrics.setGauge("stagepost_open_requests", static_cast<double>(m_server.openExchanges()));
    m_metrics.setGauge("stagepost_detoured_open", static_cast<double>(m_detourServer.load()));
    m_metrics.setGauge("stagepost_upstreams", static_cast<double>(m_serviceTable.upstreamCount()));
    setCrashGauges(m_suspects, m_partSuspects, m_loop.now(), m_metrics);
    m_metrics.setGauge("stagepost_retry_slack_share", m_peers.usableShare());
    m_metrics.setGauge("stagepost_control_bytes_sent", static_cast<double>(m_peers.bytesSent()));
    m_metrics.setGauge("stagepost_peer_unreadable_counts", static_cast<double>(m_peers.unreadableCounts()));
    m_metrics.setGauge("stagepost_owner_asks_unanswered", static_cast<double>(m_peers.unansweredPermitRequests()));
    m_metrics.setGauge("stagepost_asks_kept_from_cold_upstreams", static_cast<double>(m_peers.deniedColdRequests()));
    m_metrics.setGauge("stagepost_control_messages_sent", static_cast<double>(m_peers.messagesSent()));
    setAgeGauges();
    if (m_rollouts)
        setRolloutGauges(*m_rollouts, m_metrics);
    m_metrics.setGauge("stagepost_ready", isReady() ? 1 : 0);
    return makeTextResponse(200, m_metrics.render());
}

void Gateway::handleReady(Exchange& exchange)
{
    auto const path = exchange.request().path();
    if (path == "/readyz")
        exchange.respond(isReady() ? makeTextResponse(200, "ready\n") : makeTextResponse(statusUnready, "unready\n"));
    else if (path == "/metrics")
        exchange.respond(renderMetrics());
    else if (path == "/rollouts" && m_rollouts)
        exchange.respond(makeTextResponse(200, describeRollouts(*m_rollouts)));
    else
        exchange.respond(makeTextResponse(404, "only /readyz and /metrics are here\n"));
}

HttpResponse Gateway::refuseUnrouted(HttpRequest const& request, Refusal const& refusal)
{
    logRequest(
        { { "id", m_dialect.readCall(request).id }, { "outcome", "refused" }, { "reason", nameOf(refusal.reason) }, { "verdict", nameOf(refusal.verdict) }, { "proof", refusal.verdict.proofName() },
            { "settings", settingsVersion() }, { "settings_age_ms", settingsAgeMilliseconds() } });
    return refuse(refusal);
}

std::optional<HttpResponse> Gateway::checkHead(HttpRequest const& head)
{
    auto const routed = m_router.route(head);
    auto const* refusal = std::get_if<Refusal>(&routed);
    return refusal ? std::optional(refuseUnrouted(head, *refusal)) : std::nullopt;
}

void Gateway::handle(std::shared_ptr<Exchange> const& exchange, std::optional<DetourTerms> const& detour)
{
    // State can also become too old between two ticks.
    handleStall(m_stallDetector.check(m_loop.now(), m_server.openExchanges()));
    updateReadiness();
    auto routed = m_router.route(exchange->request(), detour);
    if (auto* request = std::get_if<RoutedRequest>(&routed)) {
        request->share = m_serviceShares.enter(request->service, exchange->request().body.size());
        if (!request->share)
            routed = ServiceShares::refusal();
    }
    if (auto const* refusal = std::get_if<Refusal>(&routed))
        exchange->respond(refuseUnrouted(exchange->request(), *refusal));
    else
        std::make_shared<GatewayRequestHandler>(m_services, exchange, std::move(std::get<RoutedRequest>(routed)))->start();
}

void Gateway::drain(std::function<void()> drained)
{
    auto const times = StopTimes::make(m_options.drainLimit, m_options.drainAccept);
    if (!m_stop.begin(m_loop.now(), times))
        return;
    m_peers.announceLeaving();
    updateReadiness();
    m_drain.start(times, std::move(drained));
}

}

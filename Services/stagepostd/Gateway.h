#pragma once

#include <LibMembership/EmptiedHalls.h>
#include <LibMembership/UpstreamDirectory.h>
#include <LibProxy/HttpServer.h>
#include <LibProxy/Timer.h>
#include <stagepostd/DetourServer.h>
#include <stagepostd/GatewayOptions.h>
#include <stagepostd/GatewayPeers.h>
#include <stagepostd/GatewayRequestHandler.h>
#include <stagepostd/GatewayServices.h>
#include <stagepostd/RequestRouter.h>
#include <stagepostd/RolloutController.h>
#include <stagepostd/ServerDrain.h>
#include <stagepostd/ServiceShares.h>
#include <stagepostd/SettingsFreshness.h>
#include <stagepostd/SettingsLoader.h>
#include <stagepostd/StallDetector.h>

namespace Stagepost {

// What a read of the platform's store proves. The composing program makes one only of a read after which
// nothing is missing that the store contained when the read was sent.
struct StoreRead {
    // The read returned all records, not only those since the last read.
    bool isComplete { false };
    // The time as of which the state is proven.
    Instant provenAt;
    // The position in the store's records up to which the state is known.
    uint64_t position { 0 };
    // The store was restored from a copy that lacks its last seconds: records that are missing may be
    // written again.
    bool isAfterRestore { false };
};

// The daemon of one entry VM. Its configuration, its upstreams and its wire formats come from
// outside: the composing program passes on what it reads from the platform.
class Gateway {
public:
    // The hooks for roll-outs are not used if the options switch these off.
    Gateway(EventLoop&, GatewayOptions, GatewayDialect, GatewayRegistryHooks, RandomHook, RolloutRecordHooks = {}, StreamOriginLogHooks = {});
    Gateway(Gateway const&) = delete;
    Gateway& operator=(Gateway const&) = delete;

    // Binds the sockets. Error: Unreachable.
    Result<void> start();

    // Handles the newest configuration that a read of the store returned, if any. A configuration
    // is applied only if its version is higher than the one in force, so the version never decreases
    // while the process runs. If the configuration cannot be parsed, the one in force stays and is not
    // confirmed. Parsing is asynchronous, so the configuration is in force only some iterations of the
    // event loop later.
    void updateSettings(std::optional<std::string> text, StoreRead const&);

    // Handles the orders to empty halls that a read of the store returned.
    void updateHallOrders(std::vector<HallOrder> const&, StoreRead const&);

    // Does the same for orders to roll out versions. Ignores them if roll-outs are switched off.
    void updateRolloutOrders(std::vector<RolloutOrderRecord> const&, StoreRead const&);

    // Handles the changes since the last read, or the list of all upstreams. Returns false if the
    // read is older than what other daemons have confirmed meanwhile: it is ignored, and the whole
    // list has to be read again.
    bool updateUpstreams(std::vector<UpstreamChange> const&, StoreRead const&);

    // Whether this daemon has to read the store now: it does so for others, or its state is stale.
    bool needsStore() const { return m_peers.needsStore(m_loop.now()); }
    // Whether other daemons may be waiting for the state of this one.
    bool isRelay() const { return m_peers.isRelay(); }
    // Whether it exchanges messages with other daemons, and so can tell whether one reads the store for it.
    bool hasJoined() const { return m_peers.hasJoined(); }
    bool hasSettings() const { return m_table != nullptr; }
    // Whether to read the configuration: the store is to be read anyway, or a newer configuration is
    // known to exist and did not arrive from another daemon in time.
    bool needsSettings() const { return needsStore() || isSettingsOverdue(); }
    // Whether the store's records have to be read. Otherwise it is enough to see whether any were
    // added, since their contents come from other daemons.
    bool needsSettingsRecords() const { return m_peers.isReader() || isSettingsOverdue() || isSettingsProofLate(); }
    // The store has records after the current position that were not read.
    void notifyNewerSettings() { m_settingsFreshness.storeIsAhead(m_loop.now()); }
    // A read of the store has failed.
    void handleStoreFailure();
    // The position in the store's records up to which the configuration in force and all orders
    // are known; 0 if unknown.
    uint64_t settingsPosition() const;
    // Whether this daemon has to read the registry now: it does so for others, or they did not send
    // it all changes in time.
    bool needsRegistry() const { return m_peers.needsRegistry(m_loop.now()); }
    // Starts to exchange messages with other daemons, and sets which ones there are.
    void join(GatewayPeer const& self, std::string const& key, Incarnation incarnation);
    void setPeers(std::vector<GatewayPeer> const&);
    // The list of daemons was current at the given time, and included this daemon or not.
    void confirmPeers(Instant provenAt, bool isListed) { m_peers.confirmPeers(provenAt, isListed); }

    // Becomes unready at once, accepts requests until the load balancer has noticed, then finishes
    // open requests and calls back.
    void drain(std::function<void()> drained);

    bool isReady() const;
    Endpoint const& callerEndpoint() const { return m_callerEndpoint; }
    Endpoint const& readyEndpoint() const { return m_readyEndpoint; }
    Endpoint const& peerEndpoint() const { return m_peerEndpoint; }
    Metrics& metrics() { return m_metrics; }
    ServiceTable& serviceTable() { return m_serviceTable; }
    StreamOriginFinder& streamOrigins() { return m_peers.streamOrigins(); }
    // ServiceTable::recentVersions(), if it is known which of them have lapsed up to the position of the latest read.
    std::optional<ServiceVersions> versionsToRecord() const { return m_directory.awaitsRecords() ? std::nullopt : m_serviceTable.recentVersions(m_loop.now()); }

private:
    GatewayPeers::Hooks peerHooks(StreamOriginLogHooks);
    void addRolloutHooks(GatewayPeers::Hooks&);
    std::unique_ptr<RolloutController> makeRollouts(RolloutRecordHooks);
    CrashDetector::Hooks crashDetectorHooks();
    UpstreamForecast forecast(UpstreamId);
    void applyUpstream(UpstreamChange const&);
    void applyHallOrder(HallOrder const&);
    void mergeEmptiedHalls(EmptiedHallsState const&, std::optional<Instant> provenAt);
    LinkMonitor::Hooks linkHooks();
    DetourServer::Hooks detourHooks();
    // The terms are set for a request that another daemon has passed on.
    void handle(std::shared_ptr<Exchange> const&, std::optional<DetourTerms> const& = {});
    // See HttpServer::HeadHook.
    std::optional<HttpResponse> checkHead(HttpRequest const&);
    void handleReady(Exchange&);
    HttpResponse refuseUnrouted(HttpRequest const&, Refusal const&);
    HttpResponse refuse(Refusal const&);
    HttpResponse renderMetrics();
    void setAgeGauges();
    bool areKeysFresh() const;
    bool areVersionsKnown() const;
    bool isSettingsOverdue() const;
    bool isSettingsProofLate() const;
    Microseconds settingsAge() const;
    int64_t settingsAgeMilliseconds() const;
    bool applySettings(Result<RouteTable::Parts>&& parts, SettingsLoader::PendingSettings const&);
    void handleSettingsProof();
    void confirmParts(StateSummary const& proven, Instant provenAt);
    uint64_t settingsVersion() const { return m_table ? m_table->version() : 0; }
    bool needsStateFrom(StateSummary const&);
    StateSummary summary() const;
    std::optional<Instant> provenAt() const;
    void confirmState(Instant);
    void logUpstreamsIfChanged(std::string_view source, uint64_t hashBefore);
    // The source is only logged.
    void changeUpstreams(std::string_view source, Instant provenAt, std::function<void(Instant now)> const& change);
    GatewayState state(StateSummary const& known) const;
    void mergeState(GatewayState const&, std::optional<Instant> provenAt);
    void mergeUpstreams(GatewayState const&, Instant provenAt);
    void confirmIfCurrent(uint64_t settingsVersion, uint64_t upstreamsHash, Instant provenAt);
    std::vector<UpstreamInFlight> ownInFlight() const;
    void setOthersInFlight(std::vector<UpstreamInFlight> const&, Microseconds age);
    void handleStall(Microseconds stall);
    bool needsRevalidation() const;
    void tick();
    void updateReadiness();

    EventLoop& m_loop;
    GatewayOptions m_options;
    GatewayDialect m_dialect;
    GatewayRegistryHooks m_registry;
    RandomHook m_random;
    Metrics m_metrics;
    std::shared_ptr<RouteTable const> m_table;
    // Deltas that are sent to other daemons.
    SettingsHistory m_settingsHistory;
    SettingsFreshness m_settingsFreshness;
    SettingsLoader m_settingsLoader;
    std::shared_ptr<ClientMemory> m_clientMemory;
    ServiceShares m_serviceShares;
    // Derived from the fleet's key once that is known; random until then.
    FingerprintKey m_fingerprintKey;
    CrashSuspects m_suspects;
    PromptPartSuspects m_partSuspects;
    ServiceTable m_serviceTable;
    UpstreamDirectory m_directory;
    EmptiedHalls m_emptiedHalls;
    GatewayPeers m_peers;
    // Null if roll-outs are switched off.
    std::unique_ptr<RolloutController> m_rollouts;
    PortProbe m_portProbe;
    LinkMonitor m_links;
    DetourServer m_detourServer;
    DetourClient m_detourClient;
    RequestRouter m_router;
    CrashDetector m_crashDetector;
    StopAdmission m_stop;
    GatewayServices m_services;
    HttpServer m_server;
    HttpServer m_readyServer;
    Endpoint m_callerEndpoint;
    Endpoint m_readyEndpoint;
    Endpoint m_peerEndpoint;
    Timer m_ticker;
    StallDetector m_stallDetector;
    ServerDrain m_drain;
    bool m_wasReady { false };
    bool m_hasBeenReady { false };
};

}

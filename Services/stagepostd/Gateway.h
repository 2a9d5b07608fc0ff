#pragma once

#include <LibMembership/EmptiedHalls.h>
#include <LibMembership/UpstreamDirectory.h>
#include <LibProxy/HttpServer.h>
#include <LibProxy/Timer.h>
#include <stagepostd/StallDetector.h>
#include <stagepostd/GatewayRequestHandler.h>
#include <stagepostd/GatewayOptions.h>
#include <stagepostd/GatewayPeers.h>
#include <stagepostd/ServerDrain.h>
#include <stagepostd/SettingsLoader.h>
#include <variant>

namespace Stagepost {

// The daemon of one entry VM whose configuration, upstreams and spellings are
// given from outside: whoever composes it feeds what the platform says into it.
class Gateway {
public:
    Gateway(EventLoop&, GatewayOptions, GatewayDialect, GatewayRegistryHooks, RandomHook);
    Gateway(Gateway const&) = delete;
    Gateway& operator=(Gateway const&) = delete;

    // Binds its sockets. Error: Unreachable.
    Result<void> start();

    // What a read of the store gave, with the moment at which it was sent. A
    // configuration counts only if its version is higher than the one in force:
    // within one life of the process it never goes back. One that cannot be read
    // leaves the one before in force, and proves nothing. It is read beside the requests
    // and in force some turns of the loop later.
    // The position is where the platform's records go on, or 0.
    void updateSettings(std::optional<std::string> text, Instant readSentAt, uint64_t position = 0);

    // The orders to empty halls that a read of the store added, or all that there are, and up
    // to where they are known. After the return of a store that has lost its last seconds,
    // what is missing may come back.
    void updateHallOrders(std::vector<HallOrder> const&, bool isWhole, Instant readSentAt, uint64_t position, bool isAfterReturn);

    // The changes since the last read, or all upstreams that there are. False where
    // other daemons have proven newer ones meanwhile: the read is not taken, and all
    // have to be read anew.
    // After the return of a store that has lost its last seconds, what is missing may come back.
    bool updateUpstreams(std::vector<UpstreamChange> const&, bool isWhole, Instant readSentAt, bool isAfterReturn = false);

    // Whether this daemon is to read the store now, or others do it for it.
    bool needsStore() const { return m_peers.needsStore(m_loop.now()); }
    // Whether others may be waiting for what it knows.
    bool isRelay() const { return m_peers.isRelay(); }
    // Whether it speaks with other daemons, and so knows that nobody reads for it.
    bool hasJoined() const { return m_peers.hasJoined(); }
    // Another daemon has told of a newer configuration, and could not give it in time.
    bool needsSettings() const { return needsStore() || isSettingsOverdue(); }
    // Whether the store's records are needed, or only whether any were added: then others
    // tell what they hold.
    bool needsSettingsRecords() const { return m_peers.isReader() || isSettingsOverdue(); }
    // The store has records behind the position that were not read.
    void notifyNewerSettings();
    // Where the platform's records go on behind the configuration in force and the orders
    // that are known; 0 where that is not known.
    uint64_t settingsPosition() const { return std::min(m_settingsPosition, m_emptiedHalls.state().position); }
    // Whether this daemon is to read the registry now, or others tell it.
    bool needsRegistry() const { return m_peers.needsRegistry(m_loop.now()); }
    // Begins to speak with other daemons, and takes who they are.
    Result<void> join(GatewayPeer const& self, std::string const& key, Incarnation incarnation);
    void setPeers(std::vector<GatewayPeer> const&);

    // Turns unready at once, takes requests until the balancer has noticed, then
    // finishes what runs and calls back.
    void drain(std::function<void()> drained);

    bool isReady() const;
    Endpoint const& callerEndpoint() const { return m_callerEndpoint; }
    Endpoint const& readyEndpoint() const { return m_readyEndpoint; }
    Endpoint const& peerEndpoint() const { return m_peerEndpoint; }
    Metrics& metrics() { return m_metrics; }

private:
    GatewayPeers::Hooks peerHooks();
    CrashDetector::Hooks crashDetectorHooks();
    UpstreamForecast forecast(UpstreamId);
    void applyUpstream(UpstreamChange const&);
    void applyHallOrder(HallOrder const&);
    void mergeEmptiedHalls(EmptiedHallsState const&, std::optional<Instant> provenAt);
    void handle(std::shared_ptr<Exchange> const&);
    void handleReady(Exchange&);
    std::variant<RoutedRequest, Refusal> route(HttpCall const&) const;
    std::optional<Refusal> authorise(RoutedRequest&) const;
    std::string serviceOf(Route const&, PromptChain const&) const;
    HttpReply refuse(Refusal const&);
    HttpReply renderMetrics();
    void setServiceGauges();
    bool areKeysFresh() const;
    bool isSettingsOverdue() const;
    Microseconds settingsAge() const;
    bool applySettings(Result<RouteTable::Parts>&& parts, SettingsLoader::PendingSettings const&);
    void applyColdBounds();
    void confirmSettings(Instant);
    uint64_t settingsVersion() const { return m_table ? m_table->version() : 0; }
    bool needsStateFrom(StateSummary const&);
    StateSummary summary() const;
    std::optional<Instant> provenAt() const;
    void confirmState(Instant);
    void logUpstreamsIfChanged(std::string_view source, uint64_t hashBefore);
    // The source is for the log.
    void replaceUpstreams(std::string_view source, std::vector<UpstreamRecord> const& all, Instant provenAt, bool isAfterReturn = false);
    void applyChanges(std::string_view source, std::vector<UpstreamChange> const&, Instant provenAt);
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
    // For other daemons.
    SettingsHistory m_settingsHistory;
    ProvenAge m_tableAge;
    SettingsLoader m_settingsLoader;
    // Reads after the one whose configuration is not in force yet: they prove it then.
    std::optional<Instant> m_confirmAfterLoad;
    uint64_t m_announcedVersion { 0 };
    Instant m_announcedSince;
    uint64_t m_settingsPosition { 0 };
    std::optional<Instant> m_storeIsAheadSince;
    // The fleet's from the moment at which it is known.
    FingerprintKey m_fingerprintKey;
    CrashSuspects m_suspects;
    ServiceTable m_serviceTable;
    UpstreamDirectory m_directory;
    EmptiedHalls m_emptiedHalls;
    GatewayPeers m_peers;
    PortProbe m_portProbe;
    CrashDetector m_crashDetector;
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
    bool m_isDraining { false };
};

}

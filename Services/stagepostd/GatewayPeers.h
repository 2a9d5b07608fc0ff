#pragma once

#include <LibBase/Hooks.h>
#include <LibMembership/FleetRoster.h>
#include <LibMembership/FleetShare.h>
#include <LibMembership/StateExchange.h>
#include <LibProxy/HttpClient.h>
#include <LibProxy/HttpServer.h>
#include <LibProxy/Timer.h>
#include <LibRouting/DetourExchange.h>
#include <LibRouting/HolderExchange.h>
#include <LibRouting/PermitExchange.h>
#include <LibSettings/RouteTable.h>
#include <memory>
#include <stagepostd/CrashEvidenceSharing.h>
#include <stagepostd/DetourTerms.h>
#include <stagepostd/EarlierRequests.h>
#include <stagepostd/GatewayState.h>
#include <stagepostd/PeerChannel.h>
#include <stagepostd/StreamOriginFinder.h>

namespace Stagepost {

// A registered gateway of the fleet.
struct GatewayPeer {
    std::string name;
    std::string hall;
    // UDP for messages, and TCP for state that is too large for a datagram.
    Endpoint endpoint;

    VMId id() const { return VMId::fromName(name); }
};

// Access to the registry of gateways, which is shared with other gateways. Empty by default.
struct GatewayRegistryHooks {
    std::function<uint64_t()> version { [] { return uint64_t { 0 }; } };
    std::function<std::optional<std::vector<RegistryRecord>>(uint64_t version)> changesSince { [](uint64_t) { return std::nullopt; } };
    std::function<void(std::vector<RegistryRecord> const&, uint64_t version)> apply { [](auto const&, uint64_t) {} };
    // The latest time as of which the registry was known to be current.
    std::function<std::optional<Instant>()> provenAt { [] { return std::nullopt; } };
    // Another daemon has confirmed that the registry was current at this time.
    std::function<void(Instant)> confirm { [](Instant) {} };
};

// Communicates with the other gateways of the fleet: datagrams carry confirmations of state, loads,
// crash evidence and permit requests; the full state is fetched over HTTP. All messages are
// authenticated with the fleet's key.
class GatewayPeers {
public:
    static constexpr char const* statePath = "/internal/state";

    struct Hooks {
        StateExchange::LocalState localState;
        // The update that takes another daemon from the state that it has to this daemon's state.
        std::function<GatewayState(StateSummary const& known)> state;
        // Another daemon's state differs. Returns whether to fetch it; it may already be on its way.
        std::function<bool(StateSummary const&)> needsStateFrom;
        // Merges another daemon's state, with the time as of which it is proven, if it is.
        std::function<void(GatewayState const&, std::optional<Instant> provenAt)> mergeState;
        // This daemon's own forecast for an upstream.
        InFlightCounter::Forecast forecast;
        // Whether this daemon takes requests of other daemons, and how many are under way.
        std::function<bool()> takesDetours { [] { return false; } };
        std::function<size_t()> detourLoad { [] { return size_t { 0 }; } };
        // Handles a request that another daemon has passed on.
        std::function<void(std::shared_ptr<Exchange>, DetourTerms const&)> handleDetour;
        // Handles another daemon's message about a roll-out. Returns false if it is malformed.
        std::function<bool(VMId from, std::string_view body)> handleRolloutMessage { [](VMId, std::string_view) { return false; } };
        // What this daemon knows of a service's versions.
        std::function<StreamOriginExchange::VersionKnowledge(std::string const& service, Instant now)> versions;
        StreamOriginLogHooks streamOriginLog;
    };

    GatewayPeers(EventLoop&, Metrics&, ClientLimits const&, std::shared_ptr<ClientMemory>, StateExchange::Bounds, FleetShare, CrashSuspects&, PromptPartSuspects&, RandomHook, Hooks);
    GatewayPeers(GatewayPeers const&) = delete;
    GatewayPeers& operator=(GatewayPeers const&) = delete;

    // Opens the port for other gateways, which is the same for connections and datagrams. Error:
    // Unreachable.
    Result<Endpoint> listen(Endpoint const&);

    // Limits the sizes of the requests that other daemons pass on to those of callers.
    void setCallerLimits(CallerLimits const&);
    // Sends these requests over the given server's connections to upstreams.
    void shareUpstreamConnections(HttpServer const& server) { m_server.shareUpstreamConnections(server); }

    // Starts to exchange messages. The incarnation must be higher than at any earlier start under
    // the same name.
    void join(GatewayPeer const& self, std::string const& key, Incarnation);
    void setPeers(std::vector<GatewayPeer> const&);
    // The registry was current at the given time, and listed this daemon or not.
    void confirmPeers(Instant provenAt, bool isListed) { m_fleetShare.confirm(provenAt, isListed, m_loop.now()); }
    // Tells the others that this daemon is about to stop.
    void announceLeaving();

    bool hasJoined() const { return m_stateExchange != nullptr; }
    // A daemon that has not joined reads the store itself.
    bool needsStore(Instant now) const { return !m_stateExchange || m_stateExchange->needsStore(now); }
    // Whether it reads the store for others, or has not joined and reads it for itself.
    bool isReader() const { return !m_stateExchange || m_stateExchange->isReader(); }
    bool isRelay() const { return !m_stateExchange || m_stateExchange->isRelay(); }
    bool needsRegistry(Instant now) const { return !m_stateExchange || m_stateExchange->needsRegistry(now); }
    // See FleetShare::usable() and equal(); 0 before this daemon has joined.
    double usableShare() const { return m_stateExchange ? m_fleetShare.usable(m_loop.now()) : 0; }
    std::vector<VMId> daemonsWithShare() const { return m_fleetShare.counted(m_loop.now()); }
    double equalShare() const { return m_stateExchange ? m_fleetShare.equal(m_loop.now()) : 0; }
    void stateConfirmed(Instant now);
    // This daemon's latest read of the store has succeeded or failed.
    void recordStoreRead(bool hasSucceeded);
    void stateChanged(Instant now);
    CrashEvidenceSharing& crashEvidence() { return m_crashEvidence; }

    // Does nothing before this daemon has joined, or if the other one is unknown.
    void sendRolloutMessage(VMId to, std::string const& body);

    // Whether this daemon has joined, so that permits can be requested from upstreams' owners.
    bool canRequestPermits() const { return m_permitExchange != nullptr; }
    // See PermitExchange::choose().
    void requestPermit(PermitExchange::CandidateList, PermitExchange::Callback);
    // See HolderExchange::recordPlacement().
    void findContextHolders(uint64_t context, UpstreamId, HolderExchange::Callback);
    StreamOriginFinder& streamOrigins() { return m_streamOrigins; }
    void requestStarted(UpstreamId, HallId);
    void requestEnded(UpstreamId);
    size_t unansweredPermitRequests() const { return m_permitExchange ? m_permitExchange->unansweredRequests() : 0; }
    // Permit requests that this daemon denied as owner because the quota of a cold upstream was used up.
    size_t deniedColdRequests() const { return m_permitExchange ? m_permitExchange->deniedColdRequests() : 0; }

    // See DetourExchange. Searching before this daemon has joined has no effect.
    void setSearchingDetours(bool);
    void chooseDetour(std::vector<VMId> const& excluded, DetourExchange::Callback);
    void detourStarted(VMId daemon) { m_detourExchange->started(daemon); }
    void detourEnded(VMId daemon, bool hasFailed) { m_detourExchange->ended(daemon, hasFailed, m_loop.now()); }
    // The signed terms, as the value of a header field.
    std::string signDetour(DetourTerms const&);
    // Null if the daemon is not known.
    Endpoint const* endpointOf(VMId) const;
    // Empty if the daemon is not registered.
    std::string nameOf(VMId) const;

    // Bytes sent in datagrams since the start, without UDP and IP headers.
    uint64_t bytesSent() const { return m_socket.bytesSent(); }
    size_t unreadableCounts() const { return m_stateExchange ? m_stateExchange->unreadableCounts() : 0; }
    uint64_t messagesSent() const { return m_socket.messagesSent(); }

private:
    StateExchange::Hooks stateHooks();
    CrashEvidenceSharing::Hooks crashEvidenceHooks();
    PermitExchange::Hooks permitHooks();
    DetourExchange::Hooks detourHooks();
    void scheduleResponseTimeout();
    void setFleetShare(std::vector<FleetPeer> const& others);
    void updateRoster(std::function<void()> const& change);
    void applyRoster();
    StreamOriginFinder::Hooks streamOriginHooks();
    std::string_view nameOfPeer(VMId) const;
    void handleDatagram(Endpoint const& source, std::string_view datagram);
    void handleMessage(PeerMessageKind, VMId from, Endpoint const& source, std::string_view body);
    void send(VMId to, PeerMessageKind, std::string const& body);
    void fetch(VMId from, std::optional<Instant> provenAt);
    void handleFetchedState(VMId from, Result<HttpResponse> const&, std::optional<Instant> provenAt);
    HttpResponse answerState(HttpRequest const&);
    std::optional<HttpResponse> checkHead(HttpRequest const&) const;
    void handleRequest(std::shared_ptr<Exchange> const&);

    EventLoop& m_loop;
    Metrics& m_metrics;
    ClientLimits m_limits;
    StateExchange::Bounds m_bounds;
    RandomHook m_random;
    Hooks m_hooks;
    HttpClient m_client;
    HttpServer m_server;
    DatagramSocket m_socket;
    Endpoint m_endpoint;
    std::map<VMId, GatewayPeer> m_peers;
    FleetRoster m_roster;
    FleetShare m_fleetShare;
    // Source addresses of daemons whose registration is not known here yet. When a whole fleet
    // starts at once, daemons that register late ask those that registered before.
    std::map<VMId, Endpoint> m_unregisteredPeers;
    std::optional<Authenticator> m_datagramAuthenticator;
    std::optional<Authenticator> m_stateAuthenticator;
    std::optional<Authenticator> m_detourAuthenticator;
    std::unique_ptr<PeerChannel> m_channel;
    std::unique_ptr<StateExchange> m_stateExchange;
    CrashEvidenceSharing m_crashEvidence;
    std::unique_ptr<PermitExchange> m_permitExchange;
    EarlierRequests m_earlierRequests;
    std::unique_ptr<HolderExchange> m_holderExchange;
    std::unique_ptr<DetourExchange> m_detourExchange;
    StreamOriginFinder m_streamOrigins;
    Timer m_ticker;
    // Expires at the earliest deadline of the pending permit requests and context lookups.
    Timer m_responseTimer;
    bool m_isFetching { false };
};

}

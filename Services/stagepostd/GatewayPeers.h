#pragma once

#include <LibBase/Hooks.h>
#include <LibMembership/StateExchange.h>
#include <LibProxy/HttpClient.h>
#include <LibProxy/HttpServer.h>
#include <LibProxy/Timer.h>
#include <LibRouting/CrashExchange.h>
#include <LibRouting/HolderExchange.h>
#include <LibRouting/LedgerExchange.h>
#include <memory>
#include <stagepostd/GatewayState.h>
#include <stagepostd/PeerChannel.h>

namespace Stagepost {

// A gateway that is registered with the others.
struct GatewayPeer {
    std::string name;
    std::string hall;
    // UDP for messages, TCP for what is too large for one.
    Endpoint endpoint;

    VMId id() const { return VMId::fromName(name); }
};

// The registry of gateways, as others are told of it. By default there is none.
struct GatewayRegistryHooks {
    std::function<uint64_t()> version { [] { return uint64_t { 0 }; } };
    std::function<std::optional<std::vector<RegistryRecord>>(uint64_t version)> since { [](uint64_t) { return std::nullopt; } };
    std::function<void(std::vector<RegistryRecord> const&, uint64_t version)> take { [](auto const&, uint64_t) {} };
};

// What a gateway has to do with the other gateways of its fleet: the exchange of
// proofs and loads by datagrams, and the whole state by HTTP. All of it is sealed
// with the fleet's key.
class GatewayPeers {
public:
    static constexpr char const* statePath = "/internal/state";

    struct Hooks {
        StateExchange::Beliefs beliefs;
        // What leads from what another daemon has to the own beliefs.
        std::function<GatewayState(StateSummary const& known)> state;
        // Another daemon believes something else. Whether its state is to be asked
        // for, or comes by another way.
        std::function<bool(StateSummary const&)> needsStateFrom;
        // Another daemon's state, proven as of a time or not at all.
        std::function<void(GatewayState const&, std::optional<Instant> provenAt)> mergeState;
        // What this daemon believes of an upstream by itself.
        InFlightLedger::Forecast forecast;
    };

    GatewayPeers(EventLoop&, Metrics&, StateExchange::Bounds, CrashSuspects&, RandomHook, Hooks);
    GatewayPeers(GatewayPeers const&) = delete;
    GatewayPeers& operator=(GatewayPeers const&) = delete;

    // Takes the address for others. Error: Unreachable.
    Result<Endpoint> listen(Endpoint const&);

    // Begins to speak with others. The incarnation must be higher than that of
    // any earlier start under the same name. Error: Unreachable.
    Result<void> join(GatewayPeer const& self, std::string const& key, Incarnation);
    void setPeers(std::vector<GatewayPeer> const&);

    bool hasJoined() const { return m_stateExchange != nullptr; }
    // Without others every daemon reads the store.
    bool needsStore(Instant now) const { return !m_stateExchange || m_stateExchange->needsStore(now); }
    // Whether it reads the store for others, or there is nobody to read it for this one.
    bool isReader() const { return !m_stateExchange || m_stateExchange->isReader(); }
    bool isRelay() const { return !m_stateExchange || m_stateExchange->isRelay(); }
    bool needsRegistry(Instant now) const { return !m_stateExchange || m_stateExchange->needsRegistry(now); }
    // This daemon's part of the fleet, from 0 to 1.
    double share() const { return m_stateExchange ? 1.0 / static_cast<double>(m_stateExchange->peerCount() + 1) : 0; }
    void stateConfirmed(Instant now);
    void stateChanged(Instant now);
    // This daemon has seen something about the request that others are to know.
    void shareCrashEvidence(RequestFingerprint, Instant now);

    // Whether upstreams' owners can be asked.
    bool canAskOwners() const { return m_ledgerExchange != nullptr; }
    // As LedgerExchange has it.
    void chooseByOwners(LedgerExchange::Wish, LedgerExchange::Callback);
    // As HolderExchange has it.
    void findContextHolders(uint64_t context, UpstreamId, HolderExchange::Callback);
    void requestStarted(UpstreamId, HallId);
    void requestEnded(UpstreamId);
    size_t unansweredAsks() const { return m_ledgerExchange ? m_ledgerExchange->unansweredAsks() : 0; }
    size_t exhaustedAsks() const { return m_ledgerExchange ? m_ledgerExchange->exhaustedAsks() : 0; }

    // Of messages to other daemons, since the start, without UDP's and IP's headers.
    uint64_t bytesSent() const { return m_channel ? m_channel->socket().bytesSent() : 0; }
    size_t unreadableCounts() const { return m_stateExchange ? m_stateExchange->unreadableCounts() : 0; }
    uint64_t messagesSent() const { return m_channel ? m_channel->socket().messagesSent() : 0; }

private:
    StateExchange::Hooks exchangeHooks();
    CrashExchange::Hooks crashHooks();
    LedgerExchange::Hooks ledgerHooks();
    void scheduleAnswerTimeout();
    bool handleCrashMessage(VMId from, std::string_view body);
    void handleMessage(PeerMessageKind, VMId from, Endpoint const& source, std::string_view body);
    Endpoint const* endpointOf(VMId) const;
    void send(VMId to, PeerMessageKind, std::string const& body);
    void fetch(VMId from, std::optional<Instant> provenAt);
    void handleFetchedState(VMId from, Result<HttpReply> const&, std::optional<Instant> provenAt);
    HttpReply answerState(HttpCall const&);

    EventLoop& m_loop;
    Metrics& m_metrics;
    StateExchange::Bounds m_bounds;
    CrashSuspects& m_suspects;
    RandomHook m_random;
    Hooks m_hooks;
    HttpClient m_client;
    HttpServer m_server;
    Endpoint m_endpoint;
    std::map<VMId, GatewayPeer> m_peers;
    // Where daemons sent from that are not known to be registered yet: in a fleet that
    // starts at once, whoever registers late asks those before it.
    std::map<VMId, Endpoint> m_unregisteredPeers;
    std::optional<Authenticator> m_datagramAuthenticator;
    std::optional<Authenticator> m_stateAuthenticator;
    std::unique_ptr<PeerChannel> m_channel;
    std::unique_ptr<StateExchange> m_stateExchange;
    std::unique_ptr<CrashExchange> m_crashExchange;
    std::unique_ptr<LedgerExchange> m_ledgerExchange;
    std::unique_ptr<HolderExchange> m_holderExchange;
    Timer m_ticker;
    // For answers of owners and homes that are overdue.
    Timer m_answersTimer;
    bool m_isFetching { false };
};

}

#pragma once

#include <LibBase/FingerprintKey.h>
#include <LibBase/Metrics.h>
#include <LibBase/ProvenAge.h>
#include <LibProxy/EventLoop.h>
#include <LibProxy/Exchange.h>
#include <LibRouting/RequestAttempts.h>
#include <LibSettings/RouteTable.h>
#include <memory>
#include <stagepostd/CrashWatch.h>
#include <stagepostd/GatewayDialect.h>
#include <stagepostd/GatewayPeers.h>
#include <stagepostd/ServiceBoard.h>

namespace Stagepost {

// What every request needs of its gateway.
struct GatewayServices {
    EventLoop& loop;
    Metrics& metrics;
    ServiceBoard& board;
    CrashWatch& crashes;
    GatewayPeers& peers;
    GatewayDialect const& dialect;
    // Whether keys may still be taken for good by the configuration in force.
    std::function<bool()> areKeysFresh;
    // Whether the daemon stood still for so long that nothing it believes may be acted on yet.
    std::function<bool()> awaitsProof;
    // The proven age of the configuration, for the log.
    std::function<Microseconds()> settingsAge;
    // This daemon's part of the fleet, from 0 to 1.
    std::function<double()> share;
    std::function<RequestFingerprint(RequestTraits const&)> fingerprintOf;
};

// A caller's request with all that the configuration says of it.
struct RoutedRequest {
    GatewayCall call;
    // Keeps the route alive while a newer configuration takes over.
    std::shared_ptr<RouteTable const> table;
    Route const* route { nullptr };
    std::string service;
    std::string organisation;
    unsigned priority { 5 };
    bool needsKey { false };
    Instant receivedAt;
};

// One request on its way: an upstream is chosen, the request goes there, and
// what fails is sent to another one where that does no harm.
class GatewayFlow : public std::enable_shared_from_this<GatewayFlow> {
public:
    GatewayFlow(GatewayServices const&, std::shared_ptr<Exchange>, RoutedRequest);

    void start();

private:
    void place();
    // Whether nothing has come in the way of a send.
    bool maySend();
    ServicePlacement::Request wish() const;
    bool needsOwner(ServicePlacement::Request const&) const;
    void askOwners(ServicePlacement::Request const&);
    void takeOwnersWord(LedgerExchange::Outcome const&);
    void findHolders(uint64_t context, ServicePlacement::Choice const&);
    void sendFromHolders(ServicePlacement::Choice, std::vector<UpstreamId> const& holders);
    bool isOverMeanwhile();
    // It has ended, or was not sent after all.
    void noteNotInFlight();
    void placeWithoutOwners(ServicePlacement::Request const&);
    void placeByOwnCounts(ServicePlacement::Request const&);
    Refusal noUpstream() const;
    Refusal fullByBound() const;
    void send(std::optional<ServicePlacement::Choice> const&);
    size_t mostIdleConnections(Service const*) const;
    GatewaySend sendTo(ServicePlacement::Choice const&, ServiceBoard::Target const&, Service const*, Instant now);
    ForwardPlan planFor(ServicePlacement::Choice const&, ServiceBoard::Target const&, Instant now);
    void forward(ServicePlacement::Choice const&, ServiceBoard::Target const&);
    void noteSign(UpstreamId, UpstreamSign);
    std::optional<HeadRejection> judge(UpstreamId, unsigned status, HttpFields const&);
    // The upstream that the request was sent to wants nothing for so long.
    void noteRest(UpstreamId, Milliseconds);
    size_t sizeForRetry(Instant now) const;
    bool couldSendAgain() const;
    void forwarded(UpstreamId, ForwardResult const&);
    void noteOutcome(UpstreamId, ForwardResult const&);
    // Of an answer that broke off.
    void noteBroken(UpstreamId);
    void giveUp(ForwardResult const&);
    void refuse(Refusal const&);
    RequestFingerprint fingerprint() const;
    // The verdict is the one that the caller is told, or would be.
    void log(std::string_view outcome, ForwardResult const&, std::string_view reason, Verdict) const;

    GatewayServices const& m_services;
    std::shared_ptr<Exchange> m_exchange;
    RoutedRequest m_request;
    ServiceBoard::Entry& m_service;
    RequestAttempts m_attempts;
    std::shared_ptr<EventProgress> m_progress;
    std::string m_instance;
    // Where the upstream may take the context from; empty for none.
    std::string m_contextSource;
    PlacementReason m_placement;
    // What was left, at the send, of the time for which the upstream wanted nothing.
    Microseconds m_restLeft { 0 };
    // Where the upstream's owner counts it as in flight.
    std::optional<UpstreamId> m_countedAt;
    // When the request was sent last.
    Instant m_sentAt;
    // The same, or the upstream last heard since.
    Instant m_heardAt;
    std::optional<Refusal> m_lastFailure;
    // Once it was needed: few requests fail.
    mutable std::optional<RequestFingerprint> m_fingerprint;
};

}

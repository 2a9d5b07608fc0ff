#pragma once

#include <LibBase/FingerprintKey.h>
#include <LibBase/Metrics.h>
#include <LibBase/ProvenAge.h>
#include <LibProxy/EventLoop.h>
#include <LibProxy/Exchange.h>
#include <LibRouting/RequestAttempts.h>
#include <LibSettings/RouteTable.h>
#include <memory>
#include <stagepostd/CrashDetector.h>
#include <stagepostd/GatewayDialect.h>
#include <stagepostd/GatewayPeers.h>
#include <stagepostd/ServiceTable.h>

namespace Stagepost {

// What every request needs of its gateway.
struct GatewayServices {
    EventLoop& loop;
    Metrics& metrics;
    ServiceTable& serviceTable;
    CrashDetector& crashDetector;
    GatewayPeers& peers;
    GatewayDialect const& dialect;
    // Whether keys may still be taken for good by the configuration in force.
    std::function<bool()> areKeysFresh;
    // Whether the daemon stood still for so long that nothing it believes may be acted on yet.
    std::function<bool()> needsRevalidation;
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
class GatewayRequestHandler : public std::enable_shared_from_this<GatewayRequestHandler> {
public:
    GatewayRequestHandler(GatewayServices const&, std::shared_ptr<Exchange>, RoutedRequest);

    void start();

private:
    void placeRequest();
    // Whether nothing has come in the way of a send.
    bool checkMaySend();
    ServicePlacement::Wish wish() const;
    bool needsOwner(ServicePlacement::Wish const&) const;
    void askOwners(ServicePlacement::Wish const&);
    void handleOwnerReply(LedgerExchange::Outcome const&);
    void findHolders(uint64_t context, ServicePlacement::Choice const&);
    void sendWithContextSource(ServicePlacement::Choice, std::vector<UpstreamId> const& holders);
    bool endedWhileWaiting();
    // It has ended, or was not sent after all.
    void releaseInFlight();
    void placeWithoutOwners(ServicePlacement::Wish const&);
    void placeByOwnCounts(ServicePlacement::Wish const&);
    Refusal noUpstreamRefusal() const;
    Refusal loadBoundRefusal() const;
    void send(std::optional<ServicePlacement::Choice> const&);
    size_t idleConnectionLimit(Service const*) const;
    GatewaySend buildSend(ServicePlacement::Choice const&, ServiceTable::Target const&, Service const*, Instant now);
    ForwardPlan buildForwardPlan(ServicePlacement::Choice const&, ServiceTable::Target const&, Instant now);
    void forward(ServicePlacement::Choice const&, ServiceTable::Target const&);
    void recordSign(UpstreamId, UpstreamSign);
    std::optional<HeadRejection> checkAnswerHead(UpstreamId, unsigned status, HttpFields const&);
    // The upstream that the request was sent to wants nothing for so long.
    void handleRestRequest(UpstreamId, Milliseconds);
    size_t sizeForRetry(Instant now) const;
    bool couldSendAgain() const;
    void handleForwardResult(UpstreamId, ForwardResult const&);
    void recordOutcome(UpstreamId, ForwardResult const&);
    // Of an answer that broke off.
    void reportBrokenAnswer(UpstreamId);
    void failRequest(ForwardResult const&);
    void refuse(Refusal const&);
    RequestFingerprint fingerprint() const;
    // The verdict is the one that the caller is told, or would be.
    void log(std::string_view outcome, ForwardResult const&, std::string_view reason, Verdict) const;

    GatewayServices const& m_services;
    std::shared_ptr<Exchange> m_exchange;
    RoutedRequest m_request;
    ServiceTable::Entry& m_service;
    RequestAttempts m_attempts;
    std::shared_ptr<EventProgress> m_progress;
    std::string m_instance;
    // Where the upstream may take the context from; empty for none.
    std::string m_contextSource;
    PlacementReason m_placement;
    // What was left, at the send, of the time for which the upstream wanted nothing.
    Microseconds m_restLeft { 0 };
    // Where the upstream's owner counts it as in flight.
    std::optional<UpstreamId> m_countedUpstream;
    // When the request was sent last.
    Instant m_sentAt;
    // The same, or the upstream last heard since.
    Instant m_lastSignAt;
    std::optional<Refusal> m_lastFailure;
    // Once it was needed: few requests fail.
    mutable std::optional<RequestFingerprint> m_fingerprint;
};

}

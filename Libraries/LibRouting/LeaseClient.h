#pragma once

#include <LibBase/Hooks.h>
#include <LibBase/Ids.h>
#include <LibBase/RefusalReason.h>
#include <LibRouting/PlacementRequest.h>
#include <LibRouting/PoolPolicy.h>
#include <LibRouting/RoutingMessage.h>
#include <LibRouting/RoutingView.h>
#include <deque>
#include <functional>
#include <map>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Stagepost {

// A lease for the request, or the reason why it was refused.
using Placement = std::variant<Lease, Refusal>;

// Obtains a lease for each request that arrived at this daemon, by asking the owners of the
// candidate upstreams in turn, and renews the leases that are in use.
class LeaseClient {
public:
    using Send = std::function<void(VMId to, RoutingMessage)>;
    using PolicyOf = std::function<PoolPolicy(PoolId)>;
    using PlacedCallback = std::function<void(Placement const&)>;
    using RequestNumber = uint64_t;

    struct Hooks {
        // Sends immediately.
        Send send;
        // Sends with the next datagram to the same daemon, or at the next tick.
        Send sendBatched;
        PolicyOf policyOf;
        // Called when a lease request for the pool is sent to a daemon, so that load reports
        // can be piggybacked.
        std::function<void(PoolId, VMId to)> onRequestSent;
        RandomHook random;
    };

    LeaseClient(VMId self, Hooks);

    void setView(RoutingView const&, Instant now);

    // Calls the callback exactly once, unless the request is cancelled first. The callback
    // runs before this function returns only if there is no upstream to ask.
    RequestNumber acquire(PlacementRequest const&, Instant now, PlacedCallback);
    void cancel(RequestNumber, Instant now);
    void release(LeaseId, LeaseOutcome);

    void handle(LeaseResponse const&, VMId from, Instant now);
    void tick(Instant now);

    size_t pendingCount() const { return m_pending.size(); }
    size_t openLeaseCount() const { return m_leases.size(); }

private:
    // An upstream to ask, and how.
    struct Candidate {
        UpstreamId upstream;
        LeaseRequestMode mode { LeaseRequestMode::Normal };
    };
    // A lease request without a final response.
    struct OutstandingRequest {
        RequestNumber placement { 0 };
        Candidate candidate;
        VMId owner;
        bool isProbe { false };
        bool isQueued { false };
        bool isFinalAttempt { false };
        unsigned sendCount { 0 };
        unsigned notOwnerCount { 0 };
        Instant resendAt;
    };
    struct FullUpstream {
        UpstreamId upstream;
        Microseconds estimate {};
        uint64_t load { 0 };
    };
    // A request that has no lease yet.
    struct PendingPlacement {
        PlacementRequest request;
        PlacedCallback placed;
        UpstreamId firstChoice;
        std::deque<Candidate> candidates;
        std::vector<UpstreamId> tried;
        std::vector<FullUpstream> full;
        Refusal refusal { RefusalReason::NoUpstream, NotRunProof::nothingSent(), "no upstream could be asked", {} };
        // A lease at an upstream without the context, held while other upstreams are probed
        // for the context.
        std::optional<Lease> leaseWithoutContext;
        Instant probeUntil;
        unsigned openProbes { 0 };
        bool hasProbed { false };
        bool isWaiting { false };
        // An owner did not respond. It may be down and not yet replaced.
        bool hadTimeout { false };
        Instant startedAt;
        // Time at which to try all candidates again.
        Instant restartAt;
        bool isAwaitingRestart { false };
    };
    struct OpenLease {
        Lease lease;
        ChatId chat;
        uint32_t contextTokens { 0 };
        Instant renewedAt;
    };

    void planCandidates(PendingPlacement&);
    void tryNextCandidate(RequestNumber, Instant now);
    bool scheduleRestart(PendingPlacement&, Instant now) const;
    void restartDuePlacements(Instant now);
    void queueAtFullUpstream(RequestNumber, PendingPlacement&, Instant now);
    void requestLease(RequestNumber, PendingPlacement const&, Candidate, bool isProbe, bool isFinalAttempt, Instant now);
    void sendRequest(LeaseId, OutstandingRequest&, PlacementRequest const&, Instant now);
    void handleGranted(LeaseId, OutstandingRequest const&, LeaseResponse const&, Instant now);
    void probeOtherCandidates(RequestNumber, PendingPlacement&, Instant now);
    void handleProbeDone(RequestNumber, PendingPlacement&, Instant now);
    void handleNotHeld(OutstandingRequest const&, LeaseResponse const&, Instant now);
    void handleNotOwner(LeaseId, OutstandingRequest&, Instant now);
    void handleRefused(OutstandingRequest const&, LeaseResponse const&, Instant now);
    void completeWithLease(RequestNumber, Lease const&, Instant now);
    void complete(RequestNumber, Placement const&);
    void cancelOutstanding(RequestNumber);
    void withdrawRequest(LeaseId, UpstreamId);
    void handleTimeouts(Instant now);
    void renewLeases(Instant now);
    void sendRenewals(std::vector<OpenLease*> const&, Instant now);
    LeaseId newLeaseId();

    VMId m_self;
    Hooks m_hooks;
    uint32_t m_lastLeaseNumber;
    RoutingView m_view;
    Instant m_renewedAt;
    RequestNumber m_lastRequest { 0 };
    std::map<RequestNumber, PendingPlacement> m_pending;
    std::unordered_map<LeaseId, OutstandingRequest> m_outstanding;
    std::unordered_map<LeaseId, OpenLease> m_leases;
};

}

#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <LibRouting/CircuitBreaker.h>
#include <LibRouting/ContextTable.h>
#include <LibRouting/FairQueue.h>
#include <LibRouting/PoolPolicy.h>
#include <LibRouting/RoutingMessage.h>
#include <functional>
#include <unordered_map>
#include <vector>

namespace Stagepost {

// A response and the entry daemon to send it to.
struct AddressedResponse {
    VMId entry;
    LeaseResponse response;
};

// Tracks the leases, the queue and the cached contexts of one upstream. The lease count is
// exact while there is a single owner. After a takeover, or while another daemon also
// considers itself the owner, it is supplemented by the upstream's own load reports, which
// lag behind.
class UpstreamOwner {
public:
    enum class Start {
        // The upstream is new and has no earlier leases.
        FreshUpstream,
        // The previous owner may have granted leases that are still in use.
        Takeover,
    };

    // Time after which a lease expires unless renewed.
    static constexpr Microseconds leaseDuration { 60000000 };
    // Time for the entry daemons to inform a new owner of its predecessor's leases.
    static constexpr Microseconds takeoverDuration { 3000000 };
    static constexpr size_t maxChats = 16384;

    UpstreamOwner(PoolPolicy const&, Start, Instant now);

    // Grants, queues or refuses a request. meanLoad is this daemon's estimate of the pool's
    // load per upstream.
    LeaseResponse requestLease(LeaseRequest const&, VMId entry, double organisationWeight, double meanLoad, Instant now);
    void release(LeaseRelease const&, Instant now);
    void renew(LeaseRenewal const&, VMId entry, Instant now);
    // Drops the leases and queued requests of entry daemons that have left the fleet.
    void dropRequestsOfEntries(std::function<bool(VMId)> const& isGone);

    // Expires leases and queued requests, and grants free slots to the queue.
    std::vector<AddressedResponse> poll(double meanLoad, Instant now);

    // Handles the upstream's own count of its requests, which lags behind.
    void handleLoadReport(size_t inFlight, Instant now);
    void handleCacheEvent(ChatId, bool isStored, uint32_t tokens);
    void setMoved(ChatId chat, UpstreamId to) { m_contexts.setMoved(chat, to); }

    void setPolicy(PoolPolicy const&);
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }
    bool isLeaving() const { return m_isLeaving; }

    // Removes and returns all queued requests.
    std::vector<WaitingRequest> drainQueue();

    // Number of open leases plus the requests that the upstream reports beyond them.
    size_t load() const { return m_leases.size() + m_unaccountedLoad; }
    size_t queued() const { return m_queue.size(); }
    // Whether the lease is open or its request is queued here.
    bool hasLeaseOrRequest(LeaseId lease) const { return m_leases.contains(lease) || m_queue.contains(lease); }
    size_t cap(double meanLoad, Instant now) const;
    ContextTable const& contexts() const { return m_contexts; }

private:
    struct OpenLease {
        VMId entry;
        ChatId chat;
        uint32_t contextTokens { 0 };
        Instant expires;
    };

    size_t assumedLoad(double meanLoad, Instant now) const;
    bool hasSlot(Priority, double meanLoad, Instant now) const;
    bool hasSlotForNewChat(double meanLoad, Instant now) const;
    void grant(LeaseId, VMId entry, ChatId, uint32_t contextTokens, Instant now);
    LeaseResponse grantedResponse(LeaseId, bool holdsContext) const;
    LeaseResponse enqueueOrRefuse(LeaseRequest const&, VMId entry, double organisationWeight, bool isHeld, double meanLoad, Instant now);
    Microseconds estimate(size_t position) const;
    void expireLeases(Instant now);
    void updatePeakLeases(Instant now);

    PoolPolicy m_policy;
    bool m_isLeaving { false };
    // Start of the slow start, after the upstream's arrival or recovery.
    Instant m_rampStart;
    Instant m_takeoverEnd;
    std::unordered_map<LeaseId, OpenLease> m_leases;
    FairQueue m_queue;
    ContextTable m_contexts;
    CircuitBreaker m_breaker;
    // Requests in the last report in excess of the peak number of leases in the report window.
    size_t m_unaccountedLoad { 0 };
    size_t m_lastReport { 0 };
    // Leases granted during the takeover, less all leases released since.
    size_t m_grantedDuringTakeover { 0 };
    bool m_hasReport { false };
    // Peak number of open leases in the current and in the previous report window.
    size_t m_currentPeakLeases { 0 };
    size_t m_previousPeakLeases { 0 };
    Instant m_windowStart;
    // Moving average of the seconds between two releases, used to estimate waits.
    double m_releaseInterval { 0.1 };
    Instant m_lastRelease;
};

}

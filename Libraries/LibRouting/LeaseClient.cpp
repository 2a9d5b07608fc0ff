#include <LibRouting/LeaseClient.h>

#include <algorithm>

namespace Stagepost {

namespace {

    // Owners in the same region respond within a few milliseconds, so without a response by
    // then the request or its response was lost.
    constexpr Microseconds initialResendDelay { 50000 };
    constexpr unsigned maxResends = 3;
    // Queued requests are resent at this interval in case the grant was lost.
    constexpr Microseconds queuedResendInterval { 500000 };
    constexpr Microseconds notOwnerRetryDelay { 100000 };
    constexpr unsigned maxNotOwnerResponses = 10;
    // Shorter contexts are not worth a probe.
    constexpr uint32_t minProbedTokens = 256;
    constexpr size_t maxProbes = 1;
    constexpr Microseconds probeTimeout { 30000 };
    // Must exceed the time it takes to detect the failure of a daemon.
    constexpr Microseconds ownerReplacementTimeout { 8000000 };
    constexpr Microseconds restartDelay { 200000 };
    constexpr Microseconds leaseRenewalInterval { 40000000 };
    constexpr Microseconds renewalCheckInterval { 1000000 };
    // Bounds the delay of the first token, however long the context is.
    constexpr Microseconds maxContextWait { 1000000 };

    // Returns how long to queue at the upstream that holds the context, which is the time that
    // recomputing it would take. Urgent requests don't queue but start elsewhere at once.
    Microseconds contextWaitLimit(PlacementRequest const& request, PoolPolicy const& policy)
    {
        if (request.priority == Priority::Urgent)
            return {};
        return std::min(maxContextWait, policy.recomputePerToken * request.contextTokens);
    }

}

// The counter starts at a random value, so that leases from before a restart of this VM are
// not mistaken for new ones.
LeaseClient::LeaseClient(VMId self, Hooks hooks)
    : m_self(self)
    , m_hooks(std::move(hooks))
    , m_lastLeaseNumber(static_cast<uint32_t>(m_hooks.random()))
{
}

LeaseId LeaseClient::newLeaseId()
{
    return makeLeaseId(m_self, ++m_lastLeaseNumber);
}

LeaseClient::RequestNumber LeaseClient::acquire(PlacementRequest const& request, Instant now, PlacedCallback placed)
{
    auto const number = ++m_lastRequest;
    PendingPlacement pending;
    pending.request = request;
    pending.placed = std::move(placed);
    pending.startedAt = now;
    planCandidates(pending);
    m_pending.emplace(number, std::move(pending));
    tryNextCandidate(number, now);
    return number;
}

void LeaseClient::planCandidates(PendingPlacement& pending)
{
    auto const& request = pending.request;
    auto const policy = m_hooks.policyOf(request.pool);
    pending.tried = request.excluded;
    // Urgent requests try more upstreams, since they should not be queued.
    auto const wanted = request.priority == Priority::Urgent ? policy.candidates * 2 : policy.candidates;
    auto const order = m_view.candidates(request.pool, request.chat, wanted + request.excluded.size());
    for (auto const upstream : order)
        pending.candidates.push_back({ upstream, LeaseRequestMode::Normal });
    if (!order.empty())
        pending.firstChoice = order.front();
    bool const isExcluded = request.hint && std::find(request.excluded.begin(), request.excluded.end(), *request.hint) != request.excluded.end();
    if (!request.hint || isExcluded || *request.hint == pending.firstChoice)
        return;
    auto const* hinted = m_view.find(*request.hint);
    if (hinted && hinted->pool == request.pool && !hinted->isLeaving)
        pending.candidates.push_front({ *request.hint, LeaseRequestMode::OnlyIfHeld });
}

// Until a failed owner is replaced, no daemon can grant slots of its upstreams. The request
// waits for the replacement instead of being refused.
bool LeaseClient::scheduleRestart(PendingPlacement& pending, Instant now) const
{
    auto const restartAt = now + restartDelay;
    if (!pending.hadTimeout || restartAt - pending.startedAt > ownerReplacementTimeout || restartAt >= pending.request.deadline)
        return false;
    pending.restartAt = restartAt;
    pending.isAwaitingRestart = true;
    return true;
}

void LeaseClient::restartDuePlacements(Instant now)
{
    std::vector<RequestNumber> due;
    for (auto const& [number, pending] : m_pending) {
        if (pending.isAwaitingRestart && pending.restartAt <= now)
            due.push_back(number);
    }
    for (auto const number : due) {
        auto& pending = m_pending.at(number);
        pending.isAwaitingRestart = false;
        pending.hadTimeout = false;
        planCandidates(pending);
        tryNextCandidate(number, now);
    }
}

void LeaseClient::tryNextCandidate(RequestNumber number, Instant now)
{
    auto const found = m_pending.find(number);
    if (found == m_pending.end())
        return;
    auto& pending = found->second;
    while (!pending.candidates.empty()) {
        auto const candidate = pending.candidates.front();
        pending.candidates.pop_front();
        bool const wasTried = std::find(pending.tried.begin(), pending.tried.end(), candidate.upstream) != pending.tried.end();
        if (wasTried && candidate.mode == LeaseRequestMode::Normal)
            continue;
        pending.tried.push_back(candidate.upstream);
        requestLease(number, pending, candidate, false, false, now);
        return;
    }
    queueAtFullUpstream(number, pending, now);
}

// No upstream had a free slot other than those reserved for chats whose context it holds.
// Queues the request at the upstream with the shortest estimated wait, then the least load.
void LeaseClient::queueAtFullUpstream(RequestNumber number, PendingPlacement& pending, Instant now)
{
    if (now >= pending.request.deadline) {
        complete(number, Refusal { RefusalReason::DeadlinePassed, NotRunProof::nothingSent(), "no place before the deadline", Milliseconds(1000) });
        return;
    }
    if (pending.full.empty() && scheduleRestart(pending, now))
        return;
    if (pending.full.empty()) {
        auto const refusal = pending.refusal;
        complete(number, refusal);
        return;
    }
    auto const shortest = std::min_element(pending.full.begin(), pending.full.end(), [](auto const& a, auto const& b) { return std::pair(a.estimate, a.load) < std::pair(b.estimate, b.load); });
    auto const upstream = shortest->upstream;
    pending.full.erase(shortest);
    pending.isWaiting = true;
    requestLease(number, pending, { upstream, LeaseRequestMode::IgnoreMove }, false, true, now);
}

void LeaseClient::requestLease(RequestNumber number, PendingPlacement const& pending, Candidate candidate, bool isProbe, bool isFinalAttempt, Instant now)
{
    OutstandingRequest outstanding;
    outstanding.placement = number;
    outstanding.candidate = candidate;
    outstanding.isProbe = isProbe;
    outstanding.isFinalAttempt = isFinalAttempt;
    auto const lease = newLeaseId();
    auto& stored = m_outstanding.emplace(lease, outstanding).first->second;
    sendRequest(lease, stored, pending.request, now);
}

void LeaseClient::sendRequest(LeaseId lease, OutstandingRequest& outstanding, PlacementRequest const& request, Instant now)
{
    auto const owner = m_view.ownerOf(outstanding.candidate.upstream);
    outstanding.resendAt = now + initialResendDelay * (1u << std::min(outstanding.sendCount, maxResends));
    ++outstanding.sendCount;
    if (!owner)
        return;
    outstanding.owner = *owner;
    LeaseRequest leaseRequest;
    leaseRequest.lease = lease;
    leaseRequest.upstream = outstanding.candidate.upstream;
    leaseRequest.chat = request.chat;
    leaseRequest.organisation = request.organisation;
    leaseRequest.priority = request.priority;
    leaseRequest.mode = outstanding.candidate.mode;
    leaseRequest.contextTokens = request.contextTokens;
    auto const left = std::max(Microseconds {}, request.deadline - now);
    auto const contextWait = contextWaitLimit(request, m_hooks.policyOf(request.pool));
    leaseRequest.maxWait = outstanding.isFinalAttempt ? left : std::min(left, contextWait);
    if (outstanding.isProbe)
        leaseRequest.maxWait = {};
    leaseRequest.isFinalAttempt = outstanding.isFinalAttempt;
    m_hooks.send(*owner, leaseRequest);
    m_hooks.onRequestSent(request.pool, *owner);
}

void LeaseClient::handle(LeaseResponse const& response, VMId from, Instant now)
{
    auto const found = m_outstanding.find(response.lease);
    if (found == m_outstanding.end()) {
        // The request was withdrawn and its owner informed. If that message was lost, the
        // lease expires.
        return;
    }
    auto& outstanding = found->second;
    if (from != outstanding.owner)
        return;
    if (response.kind == LeaseResponseKind::Queued) {
        outstanding.isQueued = true;
        outstanding.sendCount = 1;
        outstanding.resendAt = now + queuedResendInterval;
        return;
    }
    if (response.kind == LeaseResponseKind::NotOwner) {
        handleNotOwner(response.lease, outstanding, now);
        return;
    }
    auto const finished = outstanding;
    m_outstanding.erase(found);
    if (response.kind == LeaseResponseKind::Granted)
        handleGranted(response.lease, finished, response, now);
    else if (finished.isProbe)
        handleProbeDone(finished.placement, m_pending.at(finished.placement), now);
    else if (response.kind == LeaseResponseKind::NotHeld)
        handleNotHeld(finished, response, now);
    else
        handleRefused(finished, response, now);
}

void LeaseClient::handleNotOwner(LeaseId lease, OutstandingRequest& outstanding, Instant now)
{
    if (++outstanding.notOwnerCount <= maxNotOwnerResponses) {
        // The two daemons' views differ. They are expected to agree after the delay.
        outstanding.resendAt = now + notOwnerRetryDelay;
        outstanding.sendCount = 0;
        outstanding.isQueued = false;
        return;
    }
    auto const finished = outstanding;
    m_outstanding.erase(lease);
    LeaseResponse response;
    response.kind = LeaseResponseKind::Refused;
    response.reason = RefusalReason::NoUpstream;
    handleRefused(finished, response, now);
}

void LeaseClient::handleGranted(LeaseId lease, OutstandingRequest const& outstanding, LeaseResponse const& response, Instant now)
{
    auto& pending = m_pending.at(outstanding.placement);
    Lease const newLease { lease, outstanding.candidate.upstream, pending.request.pool, outstanding.owner, response.holdsContext };
    m_leases.emplace(lease, OpenLease { newLease, pending.request.chat, pending.request.contextTokens, now });
    if (outstanding.isProbe) {
        auto const fallback = std::exchange(pending.leaseWithoutContext, std::nullopt);
        release(fallback->id, LeaseOutcome::Unused);
        completeWithLease(outstanding.placement, newLease, now);
        return;
    }
    bool const isWorthProbing = !response.holdsContext && pending.request.contextTokens >= minProbedTokens;
    if (isWorthProbing && !pending.hasProbed && !pending.isWaiting && outstanding.candidate.mode == LeaseRequestMode::Normal) {
        pending.leaseWithoutContext = newLease;
        probeOtherCandidates(outstanding.placement, pending, now);
        return;
    }
    completeWithLease(outstanding.placement, newLease, now);
}

// The upstream has a free slot but not the context. The chat may have been displaced earlier,
// or its first choice may have changed when an upstream joined, so the next upstream in
// rendezvous order is probed for the context.
void LeaseClient::probeOtherCandidates(RequestNumber number, PendingPlacement& pending, Instant now)
{
    pending.hasProbed = true;
    pending.probeUntil = now + probeTimeout;
    std::vector<UpstreamId> others;
    for (auto const& candidate : pending.candidates) {
        if (others.size() < maxProbes && candidate.upstream != pending.leaseWithoutContext->upstream)
            others.push_back(candidate.upstream);
    }
    pending.openProbes = static_cast<unsigned>(others.size()) + 1;
    for (auto const upstream : others)
        requestLease(number, pending, { upstream, LeaseRequestMode::OnlyIfHeld }, true, false, now);
    handleProbeDone(number, pending, now);
}

void LeaseClient::handleProbeDone(RequestNumber number, PendingPlacement& pending, Instant now)
{
    if (--pending.openProbes)
        return;
    auto const fallback = *pending.leaseWithoutContext;
    pending.leaseWithoutContext.reset();
    completeWithLease(number, fallback, now);
}

void LeaseClient::handleNotHeld(OutstandingRequest const& outstanding, LeaseResponse const& response, Instant now)
{
    auto& pending = m_pending.at(outstanding.placement);
    if (outstanding.candidate.mode == LeaseRequestMode::Normal) {
        pending.candidates.push_front({ outstanding.candidate.upstream, LeaseRequestMode::IgnoreMove });
        auto const* moved = response.movedTo ? m_view.find(*response.movedTo) : nullptr;
        if (moved && !moved->isLeaving)
            pending.candidates.push_front({ *response.movedTo, LeaseRequestMode::OnlyIfHeld });
    }
    tryNextCandidate(outstanding.placement, now);
}

void LeaseClient::handleRefused(OutstandingRequest const& outstanding, LeaseResponse const& response, Instant now)
{
    auto& pending = m_pending.at(outstanding.placement);
    if (response.kind == LeaseResponseKind::Full) {
        if (!outstanding.isFinalAttempt)
            pending.full.push_back({ outstanding.candidate.upstream, response.estimate, response.load });
        else
            pending.refusal = { RefusalReason::DeadlinePassed, NotRunProof::nothingSent(), "no place before the deadline", std::chrono::ceil<Milliseconds>(response.estimate) };
    } else {
        pending.refusal = { response.reason, NotRunProof::nothingSent(), "the upstream's owner refused it", std::chrono::ceil<Milliseconds>(response.estimate) };
    }
    tryNextCandidate(outstanding.placement, now);
}

void LeaseClient::completeWithLease(RequestNumber number, Lease const& lease, Instant)
{
    auto const& pending = m_pending.at(number);
    if (lease.upstream != pending.firstChoice && !pending.firstChoice.isNull()) {
        if (auto const owner = m_view.ownerOf(pending.firstChoice))
            m_hooks.sendBatched(*owner, ChatMoved { pending.firstChoice, pending.request.chat, lease.upstream });
    }
    complete(number, lease);
}

void LeaseClient::complete(RequestNumber number, Placement const& placement)
{
    auto const found = m_pending.find(number);
    auto const placed = std::move(found->second.placed);
    m_pending.erase(found);
    cancelOutstanding(number);
    placed(placement);
}

void LeaseClient::cancelOutstanding(RequestNumber number)
{
    for (auto entry = m_outstanding.begin(); entry != m_outstanding.end();) {
        if (entry->second.placement != number) {
            ++entry;
            continue;
        }
        withdrawRequest(entry->first, entry->second.candidate.upstream);
        entry = m_outstanding.erase(entry);
    }
}

void LeaseClient::withdrawRequest(LeaseId lease, UpstreamId upstream)
{
    if (auto const owner = m_view.ownerOf(upstream))
        m_hooks.send(*owner, LeaseRelease { lease, LeaseOutcome::Unused });
}

void LeaseClient::cancel(RequestNumber number, Instant)
{
    auto const found = m_pending.find(number);
    if (found == m_pending.end())
        return;
    auto const fallback = found->second.leaseWithoutContext;
    m_pending.erase(found);
    cancelOutstanding(number);
    if (fallback)
        release(fallback->id, LeaseOutcome::Unused);
}

void LeaseClient::release(LeaseId id, LeaseOutcome outcome)
{
    auto const found = m_leases.find(id);
    if (found == m_leases.end())
        return;
    auto const upstream = found->second.lease.upstream;
    m_leases.erase(found);
    if (auto const owner = m_view.ownerOf(upstream))
        m_hooks.sendBatched(*owner, LeaseRelease { id, outcome });
}

void LeaseClient::tick(Instant now)
{
    handleTimeouts(now);
    restartDuePlacements(now);
    if (now - m_renewedAt < renewalCheckInterval)
        return;
    m_renewedAt = now;
    renewLeases(now);
}

void LeaseClient::handleTimeouts(Instant now)
{
    std::vector<LeaseId> due;
    for (auto const& [lease, outstanding] : m_outstanding) {
        if (outstanding.resendAt <= now)
            due.push_back(lease);
    }
    for (auto const lease : due) {
        auto const found = m_outstanding.find(lease);
        if (found == m_outstanding.end())
            continue;
        auto& outstanding = found->second;
        auto& pending = m_pending.at(outstanding.placement);
        bool const isOver = now >= pending.request.deadline;
        if (!isOver && !outstanding.isProbe && outstanding.sendCount <= maxResends) {
            sendRequest(lease, outstanding, pending.request, now);
            continue;
        }
        auto const finished = outstanding;
        m_outstanding.erase(found);
        withdrawRequest(lease, finished.candidate.upstream);
        LeaseResponse timeoutResponse;
        timeoutResponse.kind = LeaseResponseKind::Refused;
        timeoutResponse.reason = isOver ? RefusalReason::DeadlinePassed : RefusalReason::NoUpstream;
        pending.hadTimeout = true;
        if (finished.isProbe)
            handleProbeDone(finished.placement, pending, now);
        else
            handleRefused(finished, timeoutResponse, now);
    }
}

void LeaseClient::renewLeases(Instant now)
{
    std::vector<OpenLease*> due;
    for (auto& [id, open] : m_leases) {
        if (now - open.renewedAt >= leaseRenewalInterval)
            due.push_back(&open);
    }
    sendRenewals(due, now);
}

void LeaseClient::sendRenewals(std::vector<OpenLease*> const& due, Instant now)
{
    std::map<UpstreamId, LeaseRenewal> renewals;
    for (auto* open : due) {
        auto& renew = renewals[open->lease.upstream];
        renew.upstream = open->lease.upstream;
        renew.leases.push_back({ open->lease.id, open->chat, open->contextTokens });
        open->renewedAt = now;
    }
    for (auto& [upstream, renew] : renewals) {
        if (auto const owner = m_view.ownerOf(upstream))
            m_hooks.sendBatched(*owner, std::move(renew));
    }
}

// Informs new owners of the leases that their predecessors granted, and resends the
// outstanding requests that went to a predecessor.
void LeaseClient::setView(RoutingView const& view, Instant now)
{
    m_view = view;
    std::vector<OpenLease*> moved;
    for (auto& [id, open] : m_leases) {
        auto const owner = view.ownerOf(open.lease.upstream);
        if (!owner || *owner == open.lease.owner)
            continue;
        open.lease.owner = *owner;
        moved.push_back(&open);
    }
    sendRenewals(moved, now);
    for (auto& [lease, outstanding] : m_outstanding) {
        if (view.ownerOf(outstanding.candidate.upstream) != outstanding.owner) {
            outstanding.resendAt = now;
            outstanding.sendCount = 0;
            outstanding.isQueued = false;
        }
    }
}

}

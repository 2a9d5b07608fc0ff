#include <LibRouting/UpstreamOwner.h>

#include <LibRouting/AdmissionCap.h>
#include <algorithm>
#include <cmath>

namespace Stagepost {

namespace {

    // Must exceed the lag of the upstreams' load reports.
    constexpr Microseconds reportWindow { 2500000 };
    constexpr double intervalSmoothing = 0.1;
    constexpr double maxReleaseIntervalSeconds = 10;
    // Share of maxInFlight that is reserved for urgent requests.
    constexpr double urgentReserve = 0.05;
    // Share of the cap that is used during a takeover, while the previous owner may still
    // admit requests as well.
    constexpr double takeoverCapShare = 0.9;
    constexpr size_t minNewChatLimit = 2;

}

UpstreamOwner::UpstreamOwner(PoolPolicy const& policy, Start start, Instant now)
    : m_policy(policy)
    , m_queue(policy.bulkShare)
    , m_contexts(maxChats, maxChats / 4)
    , m_breaker(policy.breakerFailures, policy.breakerPause)
    , m_windowStart(now)
    , m_lastRelease(now)
{
    if (start == Start::FreshUpstream) {
        m_rampStart = now;
        m_takeoverEnd = now;
    } else {
        m_rampStart = now - policy.returnRamp;
        m_takeoverEnd = now + takeoverDuration;
    }
}

void UpstreamOwner::setPolicy(PoolPolicy const& policy)
{
    m_policy = policy;
}

size_t UpstreamOwner::cap(double meanLoad, Instant now) const
{
    return rampedCap(m_policy, meanLoad, now - m_rampStart);
}

// During a takeover the open leases are not all known yet. The load is then assumed to be
// the upstream's last report, or the pool's mean without a report, plus the leases granted
// since the takeover began.
size_t UpstreamOwner::assumedLoad(double meanLoad, Instant now) const
{
    if (now >= m_takeoverEnd)
        return load();
    auto const reported = m_hasReport ? m_lastReport : static_cast<size_t>(std::ceil(meanLoad));
    return std::max(load(), reported + m_grantedDuringTakeover);
}

bool UpstreamOwner::hasSlot(Priority priority, double meanLoad, Instant now) const
{
    auto limit = cap(meanLoad, now);
    if (now < m_takeoverEnd)
        limit = std::max<size_t>(1, static_cast<size_t>(static_cast<double>(limit) * takeoverCapShare));
    if (priority == Priority::Bulk) {
        auto const reserve = std::max<size_t>(1, static_cast<size_t>(static_cast<double>(m_policy.maxInFlight) * urgentReserve));
        limit = std::min(limit, std::max<size_t>(1, m_policy.maxInFlight - std::min(reserve, m_policy.maxInFlight)));
    }
    return assumedLoad(meanLoad, now) < limit;
}

// A chat without a cached context gains nothing from this upstream in particular. The slots
// next to the cap are therefore reserved for chats whose context the upstream holds.
bool UpstreamOwner::hasSlotForNewChat(double meanLoad, Instant now) const
{
    auto const bound = meanLoad * m_policy.loadMultiple * (1 - m_policy.admissionMargin);
    auto const limit = std::max(0.0, bound - m_policy.newChatReserve * std::sqrt(meanLoad));
    return assumedLoad(meanLoad, now) < std::max(minNewChatLimit, static_cast<size_t>(limit));
}

LeaseResponse UpstreamOwner::grantedResponse(LeaseId lease, bool holdsContext) const
{
    LeaseResponse response;
    response.lease = lease;
    response.kind = LeaseResponseKind::Granted;
    response.holdsContext = holdsContext;
    return response;
}

void UpstreamOwner::grant(LeaseId lease, VMId entry, ChatId chat, uint32_t contextTokens, Instant now)
{
    m_leases[lease] = { entry, chat, contextTokens, now + leaseDuration };
    m_grantedDuringTakeover += now < m_takeoverEnd;
    m_contexts.insert(chat, contextTokens);
    updatePeakLeases(now);
}

void UpstreamOwner::updatePeakLeases(Instant now)
{
    if (now - m_windowStart >= reportWindow) {
        m_previousPeakLeases = now - m_windowStart < 2 * reportWindow ? m_currentPeakLeases : m_leases.size();
        m_currentPeakLeases = m_leases.size();
        m_windowStart = now;
    }
    m_currentPeakLeases = std::max(m_currentPeakLeases, m_leases.size());
}

LeaseResponse UpstreamOwner::requestLease(LeaseRequest const& request, VMId entry, double organisationWeight, double meanLoad, Instant now)
{
    bool const isHeld = m_contexts.contains(request.chat);
    LeaseResponse response;
    response.lease = request.lease;
    if (m_leases.contains(request.lease))
        return grantedResponse(request.lease, isHeld);
    if (m_queue.contains(request.lease)) {
        response.kind = LeaseResponseKind::Queued;
        response.estimate = estimate(m_queue.size());
        return response;
    }
    if (m_isLeaving) {
        response.kind = LeaseResponseKind::Refused;
        response.reason = RefusalReason::NoUpstream;
        return response;
    }
    auto const movedTo = m_contexts.movedTo(request.chat);
    if (!isHeld && (request.mode == LeaseRequestMode::OnlyIfHeld || (request.mode == LeaseRequestMode::Normal && movedTo))) {
        response.kind = LeaseResponseKind::NotHeld;
        response.movedTo = movedTo;
        return response;
    }
    // Only urgent requests may bypass queued ones.
    bool const mayBypassQueue = !m_queue.size() || request.priority == Priority::Urgent;
    bool const mayUseSlot = isHeld || request.isFinalAttempt || hasSlotForNewChat(meanLoad, now);
    if (mayBypassQueue && mayUseSlot && hasSlot(request.priority, meanLoad, now) && m_breaker.allows(now)) {
        grant(request.lease, entry, request.chat, request.contextTokens, now);
        return grantedResponse(request.lease, isHeld);
    }
    return enqueueOrRefuse(request, entry, organisationWeight, isHeld, meanLoad, now);
}

LeaseResponse UpstreamOwner::enqueueOrRefuse(LeaseRequest const& request, VMId entry, double organisationWeight, bool isHeld, double meanLoad, Instant now)
{
    LeaseResponse response;
    response.lease = request.lease;
    auto const position = m_queue.countAhead(request.priority, request.organisation, organisationWeight);
    bool const hasImmediateSlot = !m_queue.size() && hasSlot(request.priority, meanLoad, now);
    response.estimate = hasImmediateSlot ? Microseconds {} : estimate(position);
    response.load = load();
    if (!m_breaker.isClosed()) {
        response.kind = LeaseResponseKind::Refused;
        response.reason = RefusalReason::CircuitOpen;
        response.estimate = m_breaker.remaining(now);
        return response;
    }
    bool const mayWait = request.maxWait > Microseconds {} && (isHeld || request.isFinalAttempt);
    if (!mayWait || (!request.isFinalAttempt && response.estimate > request.maxWait)) {
        response.kind = LeaseResponseKind::Full;
        return response;
    }
    if (response.estimate > request.maxWait) {
        response.kind = LeaseResponseKind::Refused;
        response.reason = RefusalReason::DeadlineTooNear;
        return response;
    }
    if (m_queue.size() >= m_policy.queueLength) {
        response.kind = LeaseResponseKind::Refused;
        response.reason = RefusalReason::QueueFull;
        return response;
    }
    m_queue.push({ request.lease, entry, request.organisation, organisationWeight, request.priority, request.chat, request.contextTokens, now, now + request.maxWait });
    response.kind = LeaseResponseKind::Queued;
    return response;
}

Microseconds UpstreamOwner::estimate(size_t position) const
{
    return Microseconds(static_cast<int64_t>(static_cast<double>(position + 1) * m_releaseInterval * 1e6));
}

void UpstreamOwner::release(LeaseRelease const& release, Instant now)
{
    if (m_queue.remove(release.lease))
        return;
    if (!m_leases.erase(release.lease))
        return;
    m_grantedDuringTakeover -= m_grantedDuringTakeover > 0;
    if (release.outcome == LeaseOutcome::Failed)
        m_breaker.failed(now);
    else if (release.outcome == LeaseOutcome::Unused)
        m_breaker.cancelTrial();
    else if (m_breaker.succeeded())
        m_rampStart = now;
    if (release.outcome == LeaseOutcome::Unused)
        return;
    auto const interval = std::min(maxReleaseIntervalSeconds, asSeconds(now - m_lastRelease));
    m_releaseInterval += intervalSmoothing * (interval - m_releaseInterval);
    m_lastRelease = now;
}

void UpstreamOwner::renew(LeaseRenewal const& renew, VMId entry, Instant now)
{
    for (auto const& lease : renew.leases) {
        auto const found = m_leases.find(lease.lease);
        if (found != m_leases.end()) {
            found->second.expires = now + leaseDuration;
            continue;
        }
        m_leases[lease.lease] = { entry, lease.chat, lease.contextTokens, now + leaseDuration };
        m_contexts.insert(lease.chat, lease.contextTokens);
        updatePeakLeases(now);
    }
}

void UpstreamOwner::dropRequestsOfEntries(std::function<bool(VMId)> const& isGone)
{
    std::erase_if(m_leases, [&](auto const& entry) { return isGone(entry.second.entry); });
    m_queue.removeRequestsOfEntries(isGone);
}

void UpstreamOwner::expireLeases(Instant now)
{
    std::erase_if(m_leases, [&](auto const& entry) { return entry.second.expires <= now; });
}

std::vector<AddressedResponse> UpstreamOwner::poll(double meanLoad, Instant now)
{
    expireLeases(now);
    updatePeakLeases(now);
    std::vector<AddressedResponse> responses;
    for (auto const& late : m_queue.removeExpired(now)) {
        LeaseResponse response;
        response.lease = late.lease;
        response.kind = LeaseResponseKind::Full;
        response.estimate = estimate(m_queue.size());
        responses.push_back({ late.entry, response });
    }
    while (m_queue.size() && !m_isLeaving && m_breaker.isClosed() && hasSlot(Priority::Urgent, meanLoad, now)) {
        auto const next = hasSlot(Priority::Bulk, meanLoad, now) ? m_queue.pop() : m_queue.popUrgent();
        if (!next)
            break;
        bool const isHeld = m_contexts.contains(next->chat);
        grant(next->lease, next->entry, next->chat, next->contextTokens, now);
        responses.push_back({ next->entry, grantedResponse(next->lease, isHeld) });
    }
    return responses;
}

void UpstreamOwner::handleLoadReport(size_t inFlight, Instant now)
{
    updatePeakLeases(now);
    auto const peakLeases = std::max(m_currentPeakLeases, m_previousPeakLeases);
    m_unaccountedLoad = inFlight > peakLeases ? inFlight - peakLeases : 0;
    m_lastReport = inFlight;
    m_hasReport = true;
}

void UpstreamOwner::handleCacheEvent(ChatId chat, bool isStored, uint32_t tokens)
{
    if (isStored)
        m_contexts.insert(chat, tokens);
    else
        m_contexts.erase(chat);
}

std::vector<WaitingRequest> UpstreamOwner::drainQueue()
{
    std::vector<WaitingRequest> waiting;
    while (auto next = m_queue.pop())
        waiting.push_back(*next);
    return waiting;
}

}

#include <LibRouting/PermitExchange.h>

#include <LibBase/Hash.h>
#include <algorithm>

namespace Stagepost {

namespace {

    // Responses to older requests say nothing about the present state of an owner.
    constexpr size_t maxTimedOutRequests = 64;

}

void PermitExchange::setPeers(std::vector<FleetPeer> peers, std::vector<VMId> const& relays, Instant now)
{
    m_relays = std::set(relays.begin(), relays.end());
    m_peers = std::move(peers);
    std::erase_if(m_peers, [this](auto const& peer) { return peer.id == m_self.id; });
    std::erase_if(m_suspectedUntil, [this](auto const& suspected) {
        return std::none_of(m_peers.begin(), m_peers.end(), [&](auto const& peer) { return peer.id == suspected.first; });
    });
    std::erase_if(m_replacedOwners, [this](auto const& replaced) {
        return std::none_of(m_peers.begin(), m_peers.end(), [&](auto const& peer) { return peer.id == replaced.first; });
    });
    auto owners = ownerCandidates();
    if (!m_startedAt)
        m_startedAt = now;
    if (owners != m_ownerCandidates) {
        m_ownerCandidates = std::move(owners);
        m_ownersSince = now;
    }
    if (!m_announcedAt && !m_peers.empty() && !m_isLeaving)
        announceAvailable(now);
    reportToNewOwners(now);
}

std::vector<std::pair<VMId, bool>> PermitExchange::ownerCandidates() const
{
    std::vector<std::pair<VMId, bool>> owners { { m_self.id, m_relays.contains(m_self.id) } };
    for (auto const& peer : m_peers) {
        if (peer.hall == m_self.hall)
            owners.emplace_back(peer.id, m_relays.contains(peer.id));
    }
    std::sort(owners.begin(), owners.end());
    return owners;
}

// Returns the daemons of this hall that precede this one in the upstream's rendezvous order.
std::vector<VMId> PermitExchange::precedingOwners(UpstreamId upstream) const
{
    auto const rankOf = [&](std::pair<VMId, bool> const& owner) { return std::pair(!owner.second, mixHashes(upstream.value(), owner.first.value())); };
    auto const self = rankOf({ m_self.id, m_relays.contains(m_self.id) });
    std::vector<VMId> preceding;
    for (auto const& owner : m_ownerCandidates) {
        if (rankOf(owner) > self)
            preceding.push_back(owner.first);
    }
    return preceding;
}

// While the hall's daemons change, the others may disagree on the owner. A daemon that has just
// started may not know of any other.
OwnerStatus PermitExchange::ownerStatus(size_t precedingCount, Instant now) const
{
    bool const isFirstChoice = precedingCount == 0;
    if (!m_startedAt || now - *m_startedAt < m_bounds.ownershipSettleTime || precedingCount > 1)
        return { OwnerRank::Other, isFirstChoice };
    bool const isSettled = now - m_ownersSince >= m_bounds.ownershipSettleTime;
    return { isFirstChoice && isSettled ? OwnerRank::Primary : OwnerRank::Secondary, isFirstChoice };
}

PermitDecision PermitExchange::decide(VMId from, PermitRequest const& request, Instant now)
{
    auto const preceding = precedingOwners(request.upstream);
    askPrecedingOwners(preceding, now);
    auto const decision = m_inFlightCounter.requestPermit(from, request, ownerStatus(preceding.size(), now), now);
    m_deniedColdRequests += decision.isExhausted ? 1 : 0;
    return decision;
}

// Returns the first daemon in the rendezvous order of the upstream's hall that is not suspected. An
// owner in the same hall is partitioned from the fleet only together with its upstream.
std::optional<VMId> PermitExchange::ownerOf(UpstreamId upstream, HallId hall, Instant now) const
{
    return firstOwnerOf(upstream, hall, [&](VMId id) {
        auto const suspected = m_suspectedUntil.find(id);
        return suspected != m_suspectedUntil.end() && now < suspected->second;
    });
}

std::optional<VMId> PermitExchange::firstOwnerOf(UpstreamId upstream, HallId hall, std::function<bool(VMId)> const& isExcluded) const
{
    std::optional<VMId> owner;
    std::pair<bool, uint64_t> highest;
    auto const offer = [&](FleetPeer const& peer) {
        if (peer.hall != hall || isExcluded(peer.id))
            return;
        std::pair const rank { !m_relays.contains(peer.id), mixHashes(upstream.value(), peer.id.value()) };
        if (owner && rank <= highest)
            return;
        owner = peer.id;
        highest = rank;
    };
    if (!m_isLeaving)
        offer(m_self);
    for (auto const& peer : m_peers)
        offer(peer);
    return owner;
}

Microseconds PermitExchange::responseTimeout() const
{
    auto const bound = m_roundTrip.bound();
    return bound == Microseconds(0) ? m_bounds.maxResponseTimeout : std::clamp(bound, m_bounds.minResponseTimeout, m_bounds.maxResponseTimeout);
}

size_t PermitExchange::localInFlight(UpstreamId upstream) const
{
    auto const found = m_localCounts.find(upstream);
    return found == m_localCounts.end() ? 0 : found->second.count;
}

// Each pending permit request may be granted and counts as one request.
size_t PermitExchange::pendingRequestsFor(UpstreamId upstream) const
{
    return static_cast<size_t>(std::count_if(m_pending.begin(), m_pending.end(), [&](auto const& entry) {
        auto const& pending = entry.second;
        return pending.candidateIndex < pending.candidates.size() && pending.candidates[pending.candidateIndex].upstream == upstream;
    }));
}

void PermitExchange::choose(CandidateList candidates, Callback callback, Instant now)
{
    auto const requestId = m_requestNumbers.next();
    Pending pending;
    pending.context = candidates.context;
    pending.candidates = std::move(candidates.candidates);
    pending.callback = std::move(callback);
    m_pending.emplace(requestId, std::move(pending));
    sendRequest(requestId, now);
}

// Each send has a number of its own: one owner may be asked for several candidates of a request.
void PermitExchange::sendRequest(uint64_t previousId, Instant now)
{
    auto const requestId = m_requestNumbers.next();
    auto renumbered = m_pending.extract(previousId);
    renumbered.key() = requestId;
    m_pending.insert(std::move(renumbered));
    auto& pending = m_pending.at(requestId);
    if (pending.candidateIndex >= pending.candidates.size())
        return concludeWithoutPermit(requestId, now);
    auto const& candidate = pending.candidates[pending.candidateIndex];
    auto const owner = pending.ownersTried < m_bounds.maxOwnersPerUpstream ? ownerOf(candidate.upstream, candidate.hall, now) : std::nullopt;
    if (!owner)
        return concludeWithoutPermit(requestId, now);
    pending.owner = *owner;
    pending.sentAt = now;
    pending.deadline = now + responseTimeout();
    ++pending.requests;
    ++pending.ownersTried;
    auto const local = localInFlight(candidate.upstream) + pendingRequestsFor(candidate.upstream) - 1;
    PermitRequest const request { requestId, candidate.upstream, local, candidate.limit, candidate.cold, pending.context };
    if (*owner == m_self.id)
        return handleResponse(requestId, decide(m_self.id, request, now), now);
    m_hooks.send(*owner, encodePermitMessage(request));
}

void PermitExchange::handleResponse(uint64_t requestId, PermitDecision const& decision, Instant now)
{
    auto& pending = m_pending.at(requestId);
    auto const candidate = pending.candidates[pending.candidateIndex];
    if (decision.isGranted) {
        addLocalRequest(candidate.upstream, candidate.hall, pending.owner, now);
        reportToSuspectedOwner(candidate.upstream, now);
        return complete(requestId, { candidate.upstream, true, pending.requests, pending.exhausted, false, decision.count, candidate.limit, decision.isContextNew, pending.owner });
    }
    pending.isFull = pending.isFinalRequest;
    bool const isLeast = !pending.leastLoaded || decision.count < pending.leastLoadedCount;
    if (decision.isExhausted) {
        pending.exhausted.push_back(candidate.upstream);
    } else if (isLeast) {
        pending.leastLoaded = pending.candidateIndex;
        pending.leastLoadedCount = decision.count;
        pending.leastLoadedOwner = pending.owner;
        pending.isContextNewAtLeastLoaded = decision.isContextNew;
    }
    tryNextCandidate(requestId, now);
}

void PermitExchange::tryNextCandidate(uint64_t requestId, Instant now)
{
    auto& pending = m_pending.at(requestId);
    ++pending.candidateIndex;
    pending.ownersTried = 0;
    if (pending.candidateIndex < pending.candidates.size() && m_extraRequests.take(m_bounds.extraRequestsPerSecond, now))
        sendRequest(requestId, now);
    else
        concludeWithoutPermit(requestId, now);
}

// No further candidate can be tried, so the least loaded one whose owner has responded is chosen.
void PermitExchange::concludeWithoutPermit(uint64_t requestId, Instant now)
{
    auto& pending = m_pending.at(requestId);
    Outcome outcome { {}, false, pending.requests, pending.exhausted };
    if (pending.leastLoaded && pending.candidates[*pending.leastLoaded].hardLimit) {
        auto const candidate = pending.candidates[*pending.leastLoaded];
        bool const hasRoom = pending.leastLoadedCount < *candidate.hardLimit;
        if (hasRoom && !pending.isFinalRequest)
            return requestUpToHardLimit(requestId, candidate, now);
        // An owner that does not respond any more may be cut off, which says nothing about other upstreams.
        outcome.isFull = pending.isFull || !hasRoom;
    } else if (pending.leastLoaded) {
        auto const candidate = pending.candidates[*pending.leastLoaded];
        outcome.upstream = candidate.upstream;
        outcome.inFlight = pending.leastLoadedCount;
        outcome.isContextNew = pending.isContextNewAtLeastLoaded;
        outcome.limit = candidate.limit;
        outcome.owner = pending.leastLoadedOwner;
        requestStarted(candidate.upstream, candidate.hall, now);
    }
    complete(requestId, outcome);
}

// Other daemons may have sent requests there since the owner responded, so the hard limit can only
// be enforced by another permit.
void PermitExchange::requestUpToHardLimit(uint64_t requestId, Candidate candidate, Instant now)
{
    auto& pending = m_pending.at(requestId);
    pending.isFinalRequest = true;
    pending.candidateIndex = pending.candidates.size();
    pending.ownersTried = 0;
    candidate.limit = *candidate.hardLimit;
    pending.candidates.push_back(candidate);
    sendRequest(requestId, now);
}

void PermitExchange::complete(uint64_t requestId, Outcome const& outcome)
{
    auto pending = m_pending.extract(requestId);
    pending.mapped().callback(outcome);
}

PermitExchange::LocalCount& PermitExchange::addLocalRequest(UpstreamId upstream, HallId hall, VMId owner, Instant now)
{
    auto& local = m_localCounts[upstream];
    ++local.count;
    local.hall = hall;
    local.reportedTo = owner;
    local.reportedAt = now;
    return local;
}

void PermitExchange::requestStarted(UpstreamId upstream, HallId hall, Instant now)
{
    auto const owner = ownerOf(upstream, hall, now);
    auto& local = addLocalRequest(upstream, hall, owner.value_or(m_self.id), now);
    if (owner)
        sendReport(upstream, local, now);
}

void PermitExchange::requestFinished(UpstreamId upstream, Instant now)
{
    auto const found = m_localCounts.find(upstream);
    if (found == m_localCounts.end())
        return;
    auto& local = found->second;
    --local.count;
    sendReport(upstream, local, now);
    if (!local.count)
        m_localCounts.erase(found);
}

void PermitExchange::sendReport(UpstreamId upstream, LocalCount& local, Instant now)
{
    local.reportedAt = now;
    sendReportTo(local.reportedTo, upstream, local.count, now);
    reportToSuspectedOwner(upstream, now);
}

void PermitExchange::sendReportTo(VMId owner, UpstreamId upstream, size_t count, Instant now)
{
    if (owner == m_self.id)
        m_inFlightCounter.report(m_self.id, upstream, count, now);
    else
        m_hooks.send(owner, encodePermitMessage(InFlightReport { upstream, count }));
}

// The first owner may be available after all, or only paused. It receives the counts as well, since
// other daemons may still use it or use it again at any time.
void PermitExchange::reportToSuspectedOwner(UpstreamId upstream, Instant now)
{
    auto const& local = m_localCounts.at(upstream);
    auto const first = firstOwnerOf(upstream, local.hall, [](VMId) { return false; });
    if (first && *first != local.reportedTo)
        sendReportTo(*first, upstream, local.count, now);
}

// Moves the counts of upstreams whose owner has changed.
void PermitExchange::reportToNewOwners(Instant now)
{
    for (auto& [upstream, local] : m_localCounts) {
        auto const owner = ownerOf(upstream, local.hall, now);
        if (!owner || *owner == local.reportedTo)
            continue;
        sendReportTo(local.reportedTo, upstream, 0, now);
        local.reportedTo = *owner;
        sendReport(upstream, local, now);
    }
}

void PermitExchange::reportAllTo(VMId owner, Instant now)
{
    for (auto& [upstream, local] : m_localCounts) {
        if (local.reportedTo == owner)
            sendReport(upstream, local, now);
    }
}

void PermitExchange::broadcast(PermitMessage const& message)
{
    auto const bytes = encodePermitMessage(message);
    auto receivers = m_leavingPeers;
    for (auto const& peer : m_peers)
        receivers.insert(peer.id);
    for (auto const receiver : receivers)
        m_hooks.send(receiver, bytes);
}

void PermitExchange::announceAvailable(Instant now)
{
    m_announcedAt = now;
    broadcast(OwnerAvailable { m_self.hall });
}

void PermitExchange::announceLeaving(Instant now)
{
    m_isLeaving = true;
    broadcast(OwnerLeaving {});
    reportToNewOwners(now);
}

// This daemon is asked for permits although others precede it as owners of the upstream, so a daemon
// has got no response from them.
void PermitExchange::askPrecedingOwners(std::vector<VMId> const& preceding, Instant now)
{
    for (auto const owner : preceding) {
        auto const [entry, isNew] = m_replacedOwners.try_emplace(owner);
        if (!isNew && now - entry->second.askedAt < m_bounds.suspectDuration)
            continue;
        entry->second = { now, true };
        m_hooks.send(owner, encodePermitMessage(OwnerReplacement { owner, false }));
    }
}

void PermitExchange::confirmReplacements(Instant now)
{
    for (auto& [owner, replaced] : m_replacedOwners) {
        if (!replaced.isAnswerPending || now - replaced.askedAt < m_bounds.maxResponseTimeout)
            continue;
        replaced.isAnswerPending = false;
        m_suspectedUntil[owner] = now + m_bounds.suspectDuration;
        if (m_hooks.replaces)
            m_hooks.replaces(owner);
        broadcast(OwnerReplacement { owner, true });
        reportToNewOwners(now);
    }
}

void PermitExchange::handleAvailable(FleetPeer from, Instant now)
{
    m_leavingPeers.erase(from.id);
    if (m_hooks.arrived)
        m_hooks.arrived(from);
    m_suspectedUntil.erase(from.id);
    if (auto const replaced = m_replacedOwners.find(from.id); replaced != m_replacedOwners.end())
        replaced->second.isAnswerPending = false;
    reportToNewOwners(now);
    reportAllTo(from.id, now);
}

void PermitExchange::handleLeaving(VMId from, Instant now)
{
    m_leavingPeers.insert(from);
    if (m_hooks.left)
        m_hooks.left(from);
    m_suspectedUntil[from] = now + m_bounds.suspectDuration;
    reportToNewOwners(now);
}

void PermitExchange::handleReplacement(VMId from, OwnerReplacement const& replacement, Instant now)
{
    if (replacement.owner == m_self.id && m_isLeaving)
        return;
    if (replacement.owner != m_self.id) {
        m_suspectedUntil[replacement.owner] = now + m_bounds.suspectDuration;
        reportToNewOwners(now);
        return;
    }
    // Daemons may have been told that this one is silent, so all of them have to hear that it isn't.
    if (replacement.isConfirmed && (!m_announcedAt || now - *m_announcedAt >= m_bounds.minAnnouncementInterval))
        announceAvailable(now);
    else
        m_hooks.send(from, encodePermitMessage(OwnerAvailable { m_self.hall }));
}

Result<void> PermitExchange::receive(VMId from, std::string_view bytes, Instant now)
{
    auto const message = TRY(decodePermitMessage(bytes));
    if (auto const* request = std::get_if<PermitRequest>(&message)) {
        auto const decision = decide(from, *request, now);
        m_hooks.send(from, encodePermitMessage(PermitResponse { request->requestId, decision.isGranted, decision.count, decision.isExhausted, decision.isContextNew }));
        return {};
    }
    if (auto const* report = std::get_if<InFlightReport>(&message)) {
        m_inFlightCounter.report(from, report->upstream, report->ownInFlight, now);
        return {};
    }
    if (auto const* available = std::get_if<OwnerAvailable>(&message)) {
        handleAvailable({ from, available->hall }, now);
        return {};
    }
    if (std::holds_alternative<OwnerLeaving>(message)) {
        handleLeaving(from, now);
        return {};
    }
    if (auto const* replacement = std::get_if<OwnerReplacement>(&message)) {
        handleReplacement(from, *replacement, now);
        return {};
    }
    auto const& response = std::get<PermitResponse>(message);
    auto const found = m_pending.find(response.requestId);
    if (found == m_pending.end() || found->second.owner != from) {
        handleLateResponse(response.requestId, from, now);
        return {};
    }
    m_suspectedUntil.erase(from);
    m_roundTrip.add(now - found->second.sentAt);
    handleResponse(response.requestId, { response.isGranted, response.count, response.isExhausted, response.isContextNew }, now);
    return {};
}

// Any permit in the late response was revoked by the report at the timeout. The response shows that
// the owner is alive but slower than estimated. It is no longer suspected, since neither owner has a
// complete count while some daemons use the next one.
void PermitExchange::handleLateResponse(uint64_t requestId, VMId from, Instant now)
{
    auto const found = std::find_if(m_timedOutRequests.begin(), m_timedOutRequests.end(), [&](auto const& timedOut) { return timedOut.requestId == requestId && timedOut.owner == from; });
    if (found == m_timedOutRequests.end())
        return;
    m_roundTrip.add(now - found->sentAt);
    m_suspectedUntil.erase(from);
    m_timedOutRequests.erase(found);
}

// The owner may have granted a permit whose response is late or lost. The report of the actual count
// revokes it.
void PermitExchange::handleTimeout(uint64_t requestId, Instant now)
{
    ++m_unansweredRequests;
    auto const& pending = m_pending.at(requestId);
    auto const upstream = pending.candidates[pending.candidateIndex].upstream;
    m_suspectedUntil[pending.owner] = now + m_bounds.suspectDuration;
    m_timedOutRequests.push_back({ requestId, pending.owner, pending.sentAt });
    if (m_timedOutRequests.size() > maxTimedOutRequests)
        m_timedOutRequests.pop_front();
    if (m_hooks.unanswered)
        m_hooks.unanswered(pending.owner, upstream, now - pending.sentAt);
    m_hooks.send(pending.owner, encodePermitMessage(InFlightReport { upstream, localInFlight(upstream) }));
    sendRequest(requestId, now);
}

std::optional<Instant> PermitExchange::nextTimeout() const
{
    std::optional<Instant> next;
    for (auto const& [requestId, pending] : m_pending)
        next = std::min(next.value_or(pending.deadline), pending.deadline);
    for (auto const& [owner, replaced] : m_replacedOwners) {
        auto const deadline = replaced.askedAt + m_bounds.maxResponseTimeout;
        if (replaced.isAnswerPending)
            next = std::min(next.value_or(deadline), deadline);
    }
    return next;
}

void PermitExchange::tick(Instant now)
{
    std::vector<uint64_t> timedOut;
    for (auto const& [requestId, pending] : m_pending) {
        if (now >= pending.deadline)
            timedOut.push_back(requestId);
    }
    for (auto const requestId : timedOut) {
        if (m_pending.contains(requestId))
            handleTimeout(requestId, now);
    }
    confirmReplacements(now);
    if (now - m_housekeepingAt < m_bounds.housekeepingInterval)
        return;
    m_housekeepingAt = now;
    m_inFlightCounter.tick(now);
    for (auto& [upstream, local] : m_localCounts) {
        if (now - local.reportedAt <= inFlightReportInterval(m_hooks.forecast(upstream).holdTime))
            continue;
        local.reportedTo = ownerOf(upstream, local.hall, now).value_or(m_self.id);
        sendReport(upstream, local, now);
    }
}

}

#include <LibMembership/StateExchange.h>

#include <LibBase/Hash.h>
#include <algorithm>
#include <set>

namespace Stagepost {

namespace {

    // Older counts are dropped: their sender is gone or sends to another relay now.
    constexpr Microseconds groupLoadsTimeout { 1500000 };
    // The daemons of a relay that has become silent report to another one after the response timeout.
    // Their counts in the sums of both relays would count twice, so they pause this long before.
    constexpr Microseconds relayChangePause { 500000 };
    // In every round with a multiple of this number, a hall's sum goes to the backup
    // counterparts instead of the regular ones.
    constexpr size_t backupRoundInterval { 4 };
    // Older queries get no response, since their requesters have queried again meanwhile.
    constexpr Microseconds pendingQueryTimeout { 3000000 };
    // The bytes that the seal, UDP and IP add to a message.
    constexpr double messageOverheadBytes = 53;
    // A single read may fail without an outage of the store.
    constexpr size_t readsUntilUnavailable { 2 };
    constexpr uint64_t relayRankingKey = 0x72656c61795f6b65;

    // Orders suspected daemons by the time at which they are queried again.
    bool isRetriedEarlier(std::pair<VMId const, Instant> const& one, std::pair<VMId const, Instant> const& other)
    {
        return one.second < other.second;
    }

    Microseconds toTimestamp(Instant instant)
    {
        return instant.time_since_epoch();
    }

    // Returns how long it takes to send messages of this size at a limited rate.
    Microseconds sendDuration(size_t messageBytes, size_t messages, double bytesPerSecond)
    {
        auto const bytes = (messageOverheadBytes + static_cast<double>(messageBytes)) * static_cast<double>(messages);
        return Microseconds(static_cast<int64_t>(1e6 * bytes / bytesPerSecond));
    }

    // Sorts by rendezvous hash: the order is the same on all daemons and differs by key.
    void sortByRendezvousHash(std::vector<VMId>& ids, uint64_t key)
    {
        std::sort(ids.begin(), ids.end(), [key](VMId first, VMId second) {
            return mixHashes(key, first.value()) > mixHashes(key, second.value());
        });
    }

}

void StateExchange::setPeers(std::vector<FleetPeer> peers)
{
    m_peers = std::move(peers);
    std::erase_if(m_peers, [this](auto const& peer) { return peer.id == m_self.id; });
    std::erase_if(m_suspectRetryAt, [this](auto const& suspected) {
        return std::none_of(m_peers.begin(), m_peers.end(), [&](auto const& peer) { return peer.id == suspected.first; });
    });
    orderPeers();
}

std::vector<VMId> StateExchange::relaysOf(HallId hall) const
{
    std::vector<VMId> members;
    if (hall == m_self.hall)
        members.push_back(m_self.id);
    for (auto const& peer : m_peers) {
        if (peer.hall == hall)
            members.push_back(peer.id);
    }
    return firstAsRelays(std::move(members));
}

std::vector<VMId> StateExchange::firstAsRelays(std::vector<VMId> hall) const
{
    sortByRendezvousHash(hall, relayRankingKey);
    auto const relays = (hall.size() + m_bounds.groupSize - 1) / m_bounds.groupSize;
    hall.resize(relays);
    return hall;
}

std::vector<VMId> StateExchange::relaysAmong(std::vector<FleetPeer> const& peers, bool includesSelf) const
{
    std::map<HallId, std::vector<VMId>> halls;
    for (auto const& peer : peers)
        halls[peer.hall].push_back(peer.id);
    if (includesSelf)
        halls[m_self.hall].push_back(m_self.id);
    std::vector<VMId> relays;
    for (auto& [hall, members] : halls) {
        auto const first = firstAsRelays(std::move(members));
        relays.insert(relays.end(), first.begin(), first.end());
    }
    return relays;
}

// Queries go to relays of the own hall first, then to those of other halls, then to any
// daemon, because one that is cut off may reach only a few.
void StateExchange::orderPeers()
{
    auto const own = relaysOf(m_self.hall);
    auto const rank = std::find(own.begin(), own.end(), m_self.id);
    m_isRelay = rank != own.end();
    m_precedingRelays.clear();
    if (m_isRelay)
        m_precedingRelays.assign(own.begin(), rank);
    std::vector<VMId> others;
    std::vector<HallId> halls;
    for (auto const& peer : m_peers) {
        if (peer.hall != m_self.hall && std::find(halls.begin(), halls.end(), peer.hall) == halls.end())
            halls.push_back(peer.hall);
    }
    m_counterparts.clear();
    m_backupCounterparts.clear();
    for (auto const hall : halls) {
        auto const relays = relaysOf(hall);
        others.insert(others.end(), relays.begin(), relays.end());
        if (m_isRelay)
            orderCounterparts(relays);
    }
    m_relays = own;
    m_relays.insert(m_relays.end(), others.begin(), others.end());
    std::vector<VMId> allPeers;
    allPeers.reserve(m_peers.size());
    for (auto const& peer : m_peers)
        allPeers.push_back(peer.id);
    m_queryOrder.clear();
    auto const append = [this](std::vector<VMId> ids) {
        sortByRendezvousHash(ids, m_self.id.value());
        for (auto const id : ids) {
            if (id != m_self.id && std::find(m_queryOrder.begin(), m_queryOrder.end(), id) == m_queryOrder.end())
                m_queryOrder.push_back(id);
        }
    };
    // The relays before this one come first: they are the reader and its replacements.
    m_queryOrder = m_precedingRelays;
    append(own);
    m_hallRelays = m_queryOrder;
    append(others);
    append(allPeers);
}

// Each relay of another hall gets this hall's sum from the relay whose rank equals its own
// rank, modulo the number of relays here, and occasionally from the relay after that one.
void StateExchange::orderCounterparts(std::vector<VMId> const& relays)
{
    auto const own = relaysOf(m_self.hall);
    auto const rank = static_cast<size_t>(std::find(own.begin(), own.end(), m_self.id) - own.begin());
    for (size_t number = 0; number < relays.size(); ++number) {
        if (number % own.size() == rank)
            m_counterparts.push_back(relays[number]);
        else if ((number + 1) % own.size() == rank)
            m_backupCounterparts.push_back(relays[number]);
    }
}

Microseconds StateExchange::stateAge(Instant now) const
{
    return now - m_hooks.localState.provenAt().value_or(m_startedAt.value_or(now));
}

bool StateExchange::isStale(Instant now) const
{
    return stateAge(now) > m_bounds.fallbackAge;
}

bool StateExchange::isReader() const
{
    return m_isRelay && std::all_of(m_precedingRelays.begin(), m_precedingRelays.end(), [this](auto id) { return m_suspectRetryAt.contains(id); });
}

std::optional<VMId> StateExchange::pathToReader() const
{
    if (isReader() || !m_queriedPeer || m_suspectRetryAt.contains(*m_queriedPeer))
        return {};
    return m_queriedPeer;
}

bool StateExchange::needsStore(Instant now) const
{
    return isReader() || isStale(now);
}

std::optional<VMId> StateExchange::selectPeerToQuery(Instant now)
{
    if (m_queriedPeer && m_unansweredSince && now - *m_unansweredSince > m_bounds.responseTimeout) {
        m_suspectRetryAt[*m_queriedPeer] = now + m_bounds.suspectQueryInterval;
        m_unansweredSince.reset();
    }
    auto const found = std::find_if(m_queryOrder.begin(), m_queryOrder.end(), [this](auto id) { return !m_suspectRetryAt.contains(id); });
    if (found != m_queryOrder.end())
        return *found;
    // All daemons are suspected: query the one whose retry is due first.
    auto const first = std::min_element(m_suspectRetryAt.begin(), m_suspectRetryAt.end(), isRetriedEarlier);
    return first == m_suspectRetryAt.end() ? std::nullopt : std::optional(first->first);
}

bool StateExchange::needsConfirmation(Instant now) const
{
    return !isReader() || !m_hasReadStore || !m_hooks.localState.provenAt() || isStale(now);
}

// Queries a suspected daemon in addition to the one that responds, so that no confirmation
// is missed if it doesn't respond. Only one at a time, because a daemon that is cut off
// suspects the whole fleet.
void StateExchange::querySuspectedPeer(Instant now)
{
    auto const next = std::min_element(m_suspectRetryAt.begin(), m_suspectRetryAt.end(), isRetriedEarlier);
    if (next == m_suspectRetryAt.end() || now < next->second)
        return;
    next->second = now + m_bounds.suspectQueryInterval;
    sendQuery(next->first, now);
}

void StateExchange::sendQuery(VMId to, Instant now)
{
    m_summaryAtQuery = m_hooks.localState.summary();
    StateMessage const message { StateMessage::Kind::Query, static_cast<uint64_t>(toTimestamp(now).count()), m_process, m_summaryAtQuery, {}, {}, {}, {} };
    m_hooks.send(to, message.encode());
}

void StateExchange::queryPeer(Instant now)
{
    auto const peer = selectPeerToQuery(now);
    if (!peer)
        return;
    if (m_queriedPeer != peer) {
        if (m_queriedPeer && m_suspectRetryAt.contains(*m_queriedPeer))
            m_nextOwnLoadsAt = now + relayChangePause;
        m_unansweredSince.reset();
    }
    m_queriedPeer = peer;
    if (!m_unansweredSince)
        m_unansweredSince = now;
    sendQuery(*peer, now);
}

void StateExchange::tick(Instant now)
{
    if (!m_startedAt)
        m_startedAt = now;
    auto const interval = m_isRelay ? m_bounds.relayQueryInterval : m_bounds.queryInterval;
    if (now - m_lastQueryAt >= interval) {
        m_lastQueryAt = now;
        if (needsConfirmation(now))
            queryPeer(now);
        querySuspectedPeer(now);
    }
    std::erase_if(m_pendingQueries, [now](auto const& query) { return now - query.arrivedAt > pendingQueryTimeout; });
    std::erase_if(m_requesters, [now](auto const& requester) { return now - requester.second > pendingQueryTimeout; });
    // Other relays send about as rarely as this one. The timeout allows for a sum that comes
    // only from a backup counterpart, plus one round.
    m_loads.expire(now, groupLoadsTimeout, std::max<Microseconds>(m_bounds.responseTimeout, (backupRoundInterval + 1) * m_relayLoadsPeriod));
    leavePreviousRelay();
    if (m_isRelay) {
        sendLoadsToRelays(now);
        sendLoadsToGroup(now);
    } else {
        sendOwnLoads(now);
    }
}

AgedTotals StateExchange::withOwnLoads(AgedTotals totals) const
{
    totals.add(m_hooks.localState.ownInFlight(), {});
    return totals;
}

std::string StateExchange::packForList(InFlightTotals const& totals, uint64_t upstreamsHash) const
{
    auto const list = m_hooks.localState.upstreamListForHash(upstreamsHash);
    return list ? packCounts(*list, totals) : std::string();
}

std::string StateExchange::encodeLoads(StateMessage::Kind kind, AgedTotals const& totals) const
{
    auto const summary = m_hooks.localState.summary();
    StateMessage const message { kind, 0, 0, summary, packForList(totals.counts(), summary.upstreamsHash), totals.age(), {}, {} };
    return message.encode();
}

// Counts that a relay keeps would be counted twice once they are sent to another one. If the relay is
// paused, it finds this message when it resumes.
void StateExchange::leavePreviousRelay()
{
    if (!m_loadsRelay || (!m_isRelay && m_loadsRelay == m_queriedPeer))
        return;
    StateMessage const message { StateMessage::Kind::OwnLoads, 0, 0, m_hooks.localState.summary(), {}, {}, {}, {} };
    m_hooks.send(*m_loadsRelay, message.encode());
    m_loadsRelay.reset();
}

// Sends to the relay that is queried, because that one responds.
void StateExchange::sendOwnLoads(Instant now)
{
    if (now < m_nextOwnLoadsAt || !m_queriedPeer)
        return;
    m_loadsRelay = m_queriedPeer;
    m_nextOwnLoadsAt = now + m_bounds.minLoadsInterval;
    m_hooks.send(*m_queriedPeer, encodeLoads(StateMessage::Kind::OwnLoads, withOwnLoads({})));
}

void StateExchange::sendLoadsToRelays(Instant now)
{
    if (now < m_nextRelayLoadsAt)
        return;
    auto const all = m_loads.allTotals(now);
    m_hooks.localState.setOthersInFlight(toList(all.counts()), all.age());
    auto const group = encodeLoads(StateMessage::Kind::GroupLoads, withOwnLoads(m_loads.groupTotals(now)));
    for (auto const relay : m_hallRelays)
        m_hooks.send(relay, group);
    bool const isBackupRound = ++m_relayLoadsRound % backupRoundInterval == 0;
    auto const& counterparts = isBackupRound ? m_backupCounterparts : m_counterparts;
    auto const hall = encodeLoads(StateMessage::Kind::HallLoads, withOwnLoads(m_loads.hallTotals(now)));
    for (auto const relay : counterparts)
        m_hooks.send(relay, hall);
    auto const period = sendDuration(group.size(), m_hallRelays.size(), m_bounds.maxLoadsBytesPerSecond) + sendDuration(hall.size(), m_counterparts.size(), m_bounds.maxLoadsBytesPerSecond);
    m_relayLoadsPeriod = std::max(m_bounds.minLoadsInterval, period);
    m_nextRelayLoadsAt = now + m_relayLoadsPeriod;
}

// The counts for each daemon are packed with the list of upstreams that it uses itself. It
// couldn't decode those of another list before it has received the changes to that list.
void StateExchange::sendLoadsToGroup(Instant now)
{
    auto const group = m_loads.group();
    if (now < m_nextGroupLoadsAt || group.empty())
        return;
    auto const all = withOwnLoads(m_loads.allTotals(now));
    size_t largest = 0;
    for (auto const member : group) {
        auto others = all.counts();
        subtract(others, m_loads.countsFrom(member));
        auto const list = m_groupListHashes[member];
        StateMessage const message { StateMessage::Kind::OthersLoads, 0, 0, { m_hooks.localState.summary().settingsVersion, list, 0 }, packForList(others, list), all.age(), {}, {} };
        auto const encoded = message.encode();
        largest = std::max(largest, encoded.size());
        m_hooks.send(member, encoded);
    }
    std::erase_if(m_groupListHashes, [&](auto const& entry) { return std::find(group.begin(), group.end(), entry.first) == group.end(); });
    m_nextGroupLoadsAt = now + std::max(m_bounds.minLoadsInterval, sendDuration(largest, group.size(), m_bounds.maxLoadsBytesPerSecond));
}

Result<void> StateExchange::receive(VMId from, std::string_view bytes, Instant now)
{
    auto message = TRY(StateMessage::decode(bytes));
    switch (message.kind) {
    case StateMessage::Kind::Query:
        handleQuery(from, message, now);
        break;
    case StateMessage::Kind::Response:
        handleResponse(from, message, now);
        break;
    case StateMessage::Kind::Notification:
        handleNotification(from, message);
        break;
    case StateMessage::Kind::OwnLoads:
    case StateMessage::Kind::GroupLoads:
    case StateMessage::Kind::HallLoads:
        handleLoads(from, std::move(message), now);
        break;
    case StateMessage::Kind::OthersLoads:
        handleOthersLoads(message);
        break;
    case StateMessage::Kind::Unavailable:
        handleUnavailable(from, now);
        break;
    }
    return {};
}

// The sum of a hall from an unknown daemon is ignored, because its hall is unknown.
void StateExchange::handleLoads(VMId from, StateMessage&& message, Instant now)
{
    PackedCounts counts { message.summary.upstreamsHash, std::move(message.inFlight), message.inFlightAge };
    if (message.kind == StateMessage::Kind::OwnLoads && counts.bytes.empty()) {
        m_loads.removeFromGroup(from);
    } else if (message.kind == StateMessage::Kind::OwnLoads) {
        m_groupListHashes[from] = counts.listHash;
        m_loads.setFromGroup(from, std::move(counts), now);
    } else if (message.kind == StateMessage::Kind::GroupLoads) {
        m_loads.setFromRelay(from, std::move(counts), now);
    } else {
        auto const sender = std::find_if(m_peers.begin(), m_peers.end(), [from](auto const& peer) { return peer.id == from; });
        if (sender != m_peers.end())
            m_loads.setFromHall(sender->hall, std::move(counts), now);
    }
}

void StateExchange::handleQuery(VMId from, StateMessage const& message, Instant now)
{
    m_requesters[from] = now;
    m_pendingQueries.push_back({ from, message.querySentAt, message.requesterProcess, message.summary, now });
    if (m_failedReads >= readsUntilUnavailable)
        sendUnavailable();
}

// Otherwise each daemon would wait for the response timeout, which is half of the bound on updates.
void StateExchange::storeReadFailed()
{
    m_hasReadStore = false;
    if (++m_failedReads >= readsUntilUnavailable)
        sendUnavailable();
}

void StateExchange::storeReadSucceeded()
{
    m_hasReadStore = true;
    m_failedReads = 0;
}

void StateExchange::sendUnavailable()
{
    if (!isReader())
        return;
    std::set<VMId> requesters;
    for (auto const& query : m_pendingQueries)
        requesters.insert(query.from);
    StateMessage const message { StateMessage::Kind::Unavailable, 0, 0, m_hooks.localState.summary(), {}, {}, {}, {} };
    auto const encoded = message.encode();
    for (auto const id : requesters)
        m_hooks.send(id, encoded);
    // A later response would make the requesters return to this daemon.
    m_pendingQueries.clear();
}

bool StateExchange::hasUnsuspectedRelay() const
{
    return std::any_of(m_relays.begin(), m_relays.end(), [this](auto id) { return id != m_self.id && !m_suspectRetryAt.contains(id); });
}

// The next relay is queried at once, unless all are suspected: in an outage of the store, daemons
// would query each other as fast as messages travel.
void StateExchange::handleUnavailable(VMId from, Instant now)
{
    if (m_queriedPeer != from)
        return;
    m_suspectRetryAt[from] = now + m_bounds.suspectQueryInterval;
    m_unansweredSince.reset();
    if (needsConfirmation(now) && hasUnsuspectedRelay())
        queryPeer(now);
}

std::vector<VMId> StateExchange::recentRequesters() const
{
    std::vector<VMId> result;
    result.reserve(m_requesters.size());
    for (auto const& [id, queriedAt] : m_requesters)
        result.push_back(id);
    return result;
}

void StateExchange::handleResponse(VMId from, StateMessage const& message, Instant now)
{
    if (m_queriedPeer == from)
        m_unansweredSince.reset();
    m_suspectRetryAt.erase(from);
    Instant const querySentAt { Microseconds(static_cast<int64_t>(message.querySentAt)) };
    auto const provenAt = m_hooks.localState.provenAt();
    bool const isOld = message.requesterProcess != m_process || querySentAt > now || (provenAt && querySentAt <= *provenAt);
    // The changes apply only to the list that the query's summary identified.
    if (!isOld && !message.upstreamChanges.empty() && m_hooks.localState.summary().upstreamsHash == m_summaryAtQuery.upstreamsHash)
        m_hooks.localState.applyUpstreamChanges(message.upstreamChanges, querySentAt);
    if (isOld)
        return;
    handleRegistryChanges(message);
    confirmRegistry(message, querySentAt);
    // A daemon whose version doesn't support orders to empty halls can't confirm them.
    if (!message.emptiedHalls)
        return;
    // The same holds for roll-outs, where this daemon follows them.
    if (!message.rollouts && m_hooks.localState.rollouts())
        return;
    m_hooks.localState.applyEmptiedHalls(*message.emptiedHalls, querySentAt);
    if (message.rollouts)
        m_hooks.localState.applyRollouts(*message.rollouts, querySentAt);
    m_hooks.localState.confirmParts(message.summary, querySentAt);
    auto const own = m_hooks.localState.summary();
    bool const isUpToDate = message.summary.settingsVersion <= own.settingsVersion && message.summary.upstreamsHash == own.upstreamsHash;
    if (isUpToDate)
        m_hooks.localState.confirm(querySentAt);
    else
        m_hooks.stateDiffers(from, message.summary, querySentAt);
}

// Changes since another version than the own one would leave gaps.
void StateExchange::handleRegistryChanges(StateMessage const& message)
{
    auto const own = m_hooks.localState.summary().registryVersion;
    auto const received = message.summary.registryVersion;
    if (received <= own)
        return;
    if (message.registryChanges && own == m_summaryAtQuery.registryVersion)
        m_hooks.localState.applyRegistryChanges(*message.registryChanges, received);
    else
        m_missedRegistryVersion = std::max(m_missedRegistryVersion, received);
}

// The response was sent after the query, so the registry was current at least as late as the query's
// time less the age.
void StateExchange::confirmRegistry(StateMessage const& message, Instant querySentAt)
{
    if (message.registryAge && message.summary.registryVersion <= m_hooks.localState.summary().registryVersion)
        m_hooks.localState.confirmRegistry(querySentAt - *message.registryAge);
}

bool StateExchange::needsRegistry(Instant now) const
{
    bool const hasMissedChanges = m_hooks.localState.summary().registryVersion < m_missedRegistryVersion;
    auto const provenAt = m_hooks.localState.registryProvenAt();
    bool const isOld = provenAt && now - *provenAt > m_bounds.registryFallbackAge;
    return isReader() || hasMissedChanges || isOld || stateAge(now) > m_bounds.registryFallbackAge;
}

// Relays ignore these totals, since they compute their own.
void StateExchange::handleOthersLoads(StateMessage const& message)
{
    if (m_isRelay || message.inFlight.empty())
        return;
    auto const list = m_hooks.localState.upstreamListForHash(message.summary.upstreamsHash);
    if (!list)
        return;
    if (auto const inFlight = unpackCounts(*list, message.inFlight))
        m_hooks.localState.setOthersInFlight(*inFlight, message.inFlightAge);
    else
        ++m_unreadableCounts;
}

void StateExchange::handleNotification(VMId from, StateMessage const& message)
{
    if (message.emptiedHalls)
        m_hooks.localState.applyEmptiedHalls(*message.emptiedHalls, {});
    if (message.rollouts)
        m_hooks.localState.applyRollouts(*message.rollouts, {});
    if (message.summary.settingsVersion > m_hooks.localState.summary().settingsVersion)
        m_hooks.stateDiffers(from, message.summary, {});
}

void StateExchange::localStateConfirmed(Instant now)
{
    auto const provenAt = m_hooks.localState.provenAt();
    if (!provenAt)
        return;
    // Of the queries of one daemon that can be answered now, only the newest gets a response.
    std::map<VMId, PendingQuery> answerable;
    std::erase_if(m_pendingQueries, [&](auto const& query) {
        if (query.arrivedAt > *provenAt)
            return false;
        answerable[query.from] = query;
        return true;
    });
    if (answerable.empty())
        return;
    auto const summary = m_hooks.localState.summary();
    auto const registryProvenAt = m_hooks.localState.registryProvenAt();
    auto const registryAge = registryProvenAt ? std::optional(now - *registryProvenAt) : std::nullopt;
    for (auto const& [to, query] : answerable) {
        StateMessage const message { StateMessage::Kind::Response, query.sentAt, query.requesterProcess, summary, {}, {}, m_hooks.localState.upstreamChangesSince(query.summary.upstreamsHash), m_hooks.localState.registryChangesSince(query.summary.registryVersion), m_hooks.localState.emptiedHalls(), m_hooks.localState.rollouts(), registryAge };
        m_hooks.send(to, message.encode());
    }
}

void StateExchange::localStateChanged(Instant)
{
    StateMessage const message { StateMessage::Kind::Notification, 0, 0, m_hooks.localState.summary(), {}, {}, {}, {}, m_hooks.localState.emptiedHalls(), m_hooks.localState.rollouts() };
    auto const encoded = message.encode();
    for (auto const& [id, queriedAt] : m_requesters)
        m_hooks.send(id, encoded);
}

}

#include <LibMembership/StateExchange.h>

#include <LibBase/Hash.h>
#include <algorithm>

namespace Stagepost {

namespace {

    // What is older says nothing of now any more: whoever told it is gone, or tells
    // another relay.
    constexpr Microseconds groupMemory { 1500000 };
    constexpr Microseconds relayMemory { 3000000 };
    // Every so many rounds a hall's sum goes to the spare counterparts.
    constexpr size_t spareRounds { 4 };
    // An ask that has waited this long is not answered: its asker has asked again.
    constexpr Microseconds longestWait { 3000000 };
    // What the seal, UDP and IP add to a message.
    constexpr double headerBytes = 53;
    constexpr uint64_t relayKey = 0x72656c61795f6b65;

    // Of those who have not answered, who is to be asked again first.
    bool isSuspectedLess(std::pair<VMId const, Instant> const& one, std::pair<VMId const, Instant> const& other)
    {
        return one.second < other.second;
    }

    Microseconds stampOf(Instant instant)
    {
        return instant.time_since_epoch();
    }

    // How long that many messages of that size take at so many bytes a second.
    Microseconds affordable(size_t messageBytes, size_t messages, double bytesPerSecond)
    {
        auto const bytes = (headerBytes + static_cast<double>(messageBytes)) * static_cast<double>(messages);
        return Microseconds(static_cast<int64_t>(1e6 * bytes / bytesPerSecond));
    }

    // Sorts by a rank that all daemons agree on and that differs by the key.
    void sortByAffinity(std::vector<VMId>& ids, uint64_t key)
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
    std::erase_if(m_suspectedUntil, [this](auto const& suspected) {
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
    sortByAffinity(members, relayKey);
    auto const relays = (members.size() + m_bounds.groupSize - 1) / m_bounds.groupSize;
    members.resize(relays);
    return members;
}

// The relays of the own hall first, then those of other halls, then anybody: a
// daemon that is cut off may reach only a few.
void StateExchange::orderPeers()
{
    auto const own = relaysOf(m_self.hall);
    auto const rank = std::find(own.begin(), own.end(), m_self.id);
    m_isRelay = rank != own.end();
    m_relaysBefore.clear();
    if (m_isRelay)
        m_relaysBefore.assign(own.begin(), rank);
    std::vector<VMId> others;
    std::vector<HallId> halls;
    for (auto const& peer : m_peers) {
        if (peer.hall != m_self.hall && std::find(halls.begin(), halls.end(), peer.hall) == halls.end())
            halls.push_back(peer.hall);
    }
    m_counterparts.clear();
    m_spareCounterparts.clear();
    for (auto const hall : halls) {
        auto const relays = relaysOf(hall);
        others.insert(others.end(), relays.begin(), relays.end());
        if (m_isRelay)
            orderCounterparts(relays);
    }
    m_relays = own;
    m_relays.insert(m_relays.end(), others.begin(), others.end());
    std::vector<VMId> anybody;
    anybody.reserve(m_peers.size());
    for (auto const& peer : m_peers)
        anybody.push_back(peer.id);
    m_order.clear();
    auto const append = [this](std::vector<VMId> ids) {
        sortByAffinity(ids, m_self.id.value());
        for (auto const id : ids) {
            if (id != m_self.id && std::find(m_order.begin(), m_order.end(), id) == m_order.end())
                m_order.push_back(id);
        }
    };
    // Those before a relay read the store, or will.
    m_order = m_relaysBefore;
    append(own);
    m_hallRelays = m_order;
    append(others);
    append(anybody);
}

// Each relay of a hall is told by one of every other hall, whichever has its number
// there, and now and then by the one after it.
void StateExchange::orderCounterparts(std::vector<VMId> const& relays)
{
    auto const own = relaysOf(m_self.hall);
    auto const rank = static_cast<size_t>(std::find(own.begin(), own.end(), m_self.id) - own.begin());
    for (size_t number = 0; number < relays.size(); ++number) {
        if (number % own.size() == rank)
            m_counterparts.push_back(relays[number]);
        else if ((number + 1) % own.size() == rank)
            m_spareCounterparts.push_back(relays[number]);
    }
}

Microseconds StateExchange::ageOfProof(Instant now) const
{
    return now - m_hooks.beliefs.provenAt().value_or(m_startedAt.value_or(now));
}

bool StateExchange::isStale(Instant now) const
{
    return ageOfProof(now) > m_bounds.fallbackAge;
}

bool StateExchange::isReader() const
{
    return m_isRelay && std::all_of(m_relaysBefore.begin(), m_relaysBefore.end(), [this](auto id) { return m_suspectedUntil.contains(id); });
}

bool StateExchange::needsStore(Instant now) const
{
    return isReader() || isStale(now);
}

std::optional<VMId> StateExchange::whomToAsk(Instant now)
{
    if (m_asked && m_unansweredSince && now - *m_unansweredSince > m_bounds.answerPatience) {
        m_suspectedUntil[*m_asked] = now + m_bounds.suspicion;
        m_unansweredSince.reset();
    }
    auto const found = std::find_if(m_order.begin(), m_order.end(), [this](auto id) { return !m_suspectedUntil.contains(id); });
    if (found != m_order.end())
        return *found;
    // Nobody has answered: one after the other, in the order of their suspicions.
    auto const first = std::min_element(m_suspectedUntil.begin(), m_suspectedUntil.end(), isSuspectedLess);
    return first == m_suspectedUntil.end() ? std::nullopt : std::optional(first->first);
}

bool StateExchange::needsProof(Instant now) const
{
    return !isReader() || !m_hooks.beliefs.provenAt() || isStale(now);
}

// Beside the one that answers, so that no proof is missed for asking in vain. One
// at a time: a daemon that is cut off comes to suspect the whole fleet.
void StateExchange::askSuspected(Instant now)
{
    auto const next = std::min_element(m_suspectedUntil.begin(), m_suspectedUntil.end(), isSuspectedLess);
    if (next == m_suspectedUntil.end() || now < next->second)
        return;
    next->second = now + m_bounds.suspicion;
    sendAsk(next->first, now);
}

void StateExchange::sendAsk(VMId to, Instant now)
{
    m_askedWith = m_hooks.beliefs.summary();
    StateMessage const message { StateMessage::Kind::Ask, static_cast<uint64_t>(stampOf(now).count()), m_process, m_askedWith, {}, {}, {}, {} };
    m_hooks.send(to, message.encode());
}

void StateExchange::ask(Instant now)
{
    auto const whom = whomToAsk(now);
    if (!whom)
        return;
    if (m_asked != whom)
        m_unansweredSince.reset();
    m_asked = whom;
    if (!m_unansweredSince)
        m_unansweredSince = now;
    sendAsk(*whom, now);
}

void StateExchange::tick(Instant now)
{
    if (!m_startedAt)
        m_startedAt = now;
    auto const interval = m_isRelay ? m_bounds.relayAskInterval : m_bounds.askInterval;
    if (now - m_askedAt >= interval) {
        m_askedAt = now;
        if (needsProof(now))
            ask(now);
        askSuspected(now);
    }
    std::erase_if(m_waiting, [now](auto const& waiting) { return now - waiting.arrivedAt > longestWait; });
    std::erase_if(m_askers, [now](auto const& asker) { return now - asker.second > longestWait; });
    // Other relays send as rarely as this one, so a sum counts until the second
    // after it is due; where only the spare tells, that is so many rounds later.
    m_loads.expire(now, groupMemory, std::max<Microseconds>(relayMemory, (spareRounds + 1) * m_relayLoadsPeriod));
    if (m_isRelay) {
        tellRelays(now);
        tellGroup(now);
    } else {
        tellOwnLoads(now);
    }
}

AgedTotals StateExchange::withOwn(AgedTotals totals) const
{
    totals.add(m_hooks.beliefs.ownInFlight(), {});
    return totals;
}

std::string StateExchange::pack(InFlightTotals const& totals, uint64_t upstreamsHash) const
{
    auto const list = m_hooks.beliefs.upstreamsOf(upstreamsHash);
    return list ? packCounts(*list, totals) : std::string();
}

std::string StateExchange::loadsMessage(StateMessage::Kind kind, AgedTotals const& totals) const
{
    auto const summary = m_hooks.beliefs.summary();
    StateMessage const message { kind, 0, 0, summary, pack(totals.counts(), summary.upstreamsHash), totals.age(), {}, {} };
    return message.encode();
}

// To the relay that is asked for proofs: it is the one that answers.
void StateExchange::tellOwnLoads(Instant now)
{
    if (now < m_nextOwnLoadsAt || !m_asked)
        return;
    m_nextOwnLoadsAt = now + m_bounds.loadsInterval;
    m_hooks.send(*m_asked, loadsMessage(StateMessage::Kind::OwnLoads, withOwn({})));
}

void StateExchange::tellRelays(Instant now)
{
    if (now < m_nextRelayLoadsAt)
        return;
    auto const all = m_loads.allTotals(now);
    m_hooks.beliefs.othersInFlight(toList(all.counts()), all.age());
    auto const group = loadsMessage(StateMessage::Kind::GroupLoads, withOwn(m_loads.groupTotals(now)));
    for (auto const relay : m_hallRelays)
        m_hooks.send(relay, group);
    bool const isSpareRound = ++m_relayLoadsRound % spareRounds == 0;
    auto const& counterparts = isSpareRound ? m_spareCounterparts : m_counterparts;
    auto const hall = loadsMessage(StateMessage::Kind::HallLoads, withOwn(m_loads.hallTotals(now)));
    for (auto const relay : counterparts)
        m_hooks.send(relay, hall);
    auto const period = affordable(group.size(), m_hallRelays.size(), m_bounds.loadsBytesPerSecond) + affordable(hall.size(), m_counterparts.size(), m_bounds.loadsBytesPerSecond);
    m_relayLoadsPeriod = std::max(m_bounds.loadsInterval, period);
    m_nextRelayLoadsAt = now + m_relayLoadsPeriod;
}

// Each reads counts by the list that it knows: another one would be of no use to it
// until it has learnt of the changes that lead there.
void StateExchange::tellGroup(Instant now)
{
    auto const group = m_loads.group();
    if (now < m_nextGroupLoadsAt || group.empty())
        return;
    auto const all = withOwn(m_loads.allTotals(now));
    size_t largest = 0;
    for (auto const member : group) {
        auto others = all.counts();
        subtract(others, m_loads.countsFrom(member));
        auto const list = m_groupLists[member];
        StateMessage const message { StateMessage::Kind::OthersLoads, 0, 0, { m_hooks.beliefs.summary().settingsVersion, list, 0 }, pack(others, list), all.age(), {}, {} };
        auto const encoded = message.encode();
        largest = std::max(largest, encoded.size());
        m_hooks.send(member, encoded);
    }
    std::erase_if(m_groupLists, [&](auto const& entry) { return std::find(group.begin(), group.end(), entry.first) == group.end(); });
    m_nextGroupLoadsAt = now + std::max(m_bounds.loadsInterval, affordable(largest, group.size(), m_bounds.loadsBytesPerSecond));
}

Result<void> StateExchange::receive(VMId from, std::string_view bytes, Instant now)
{
    auto message = TRY(StateMessage::decode(bytes));
    switch (message.kind) {
    case StateMessage::Kind::Ask:
        takeAsk(from, message, now);
        break;
    case StateMessage::Kind::Answer:
        takeAnswer(from, message, now);
        break;
    case StateMessage::Kind::News:
        takeNews(from, message);
        break;
    case StateMessage::Kind::OwnLoads:
    case StateMessage::Kind::GroupLoads:
    case StateMessage::Kind::HallLoads:
        takeLoads(from, std::move(message), now);
        break;
    case StateMessage::Kind::OthersLoads:
        takeOthersInFlight(message);
        break;
    }
    return {};
}

// A hall's sum from a daemon that is not known yet could be of any hall.
void StateExchange::takeLoads(VMId from, StateMessage&& message, Instant now)
{
    PackedCounts counts { message.summary.upstreamsHash, std::move(message.inFlight), message.inFlightAge };
    if (message.kind == StateMessage::Kind::OwnLoads) {
        m_groupLists[from] = counts.listHash;
        m_loads.setFromGroup(from, std::move(counts), now);
    } else if (message.kind == StateMessage::Kind::GroupLoads) {
        m_loads.setFromRelay(from, std::move(counts), now);
    } else {
        auto const sender = std::find_if(m_peers.begin(), m_peers.end(), [from](auto const& peer) { return peer.id == from; });
        if (sender != m_peers.end())
            m_loads.setFromHall(sender->hall, std::move(counts), now);
    }
}

void StateExchange::takeAsk(VMId from, StateMessage const& message, Instant now)
{
    m_askers[from] = now;
    m_waiting.push_back({ from, message.stamp, message.askingProcess, message.summary, now });
}

std::vector<VMId> StateExchange::askers() const
{
    std::vector<VMId> result;
    result.reserve(m_askers.size());
    for (auto const& [id, askedAt] : m_askers)
        result.push_back(id);
    return result;
}

void StateExchange::takeAnswer(VMId from, StateMessage const& message, Instant now)
{
    if (m_asked == from)
        m_unansweredSince.reset();
    m_suspectedUntil.erase(from);
    Instant const stamp { Microseconds(static_cast<int64_t>(message.stamp)) };
    auto const provenAt = m_hooks.beliefs.provenAt();
    bool const isOld = message.askingProcess != m_process || stamp > now || (provenAt && stamp <= *provenAt);
    // Changes lead on from the list that was asked with, and from no other.
    if (!isOld && !message.changes.empty() && m_hooks.beliefs.summary().upstreamsHash == m_askedWith.upstreamsHash)
        m_hooks.beliefs.applyChanges(message.changes, stamp);
    if (isOld)
        return;
    takeRegistry(message);
    // A daemon of a version that does not know of such orders proves nothing of them.
    if (!message.emptiedHalls)
        return;
    m_hooks.beliefs.takeEmptiedHalls(*message.emptiedHalls, stamp);
    auto const own = m_hooks.beliefs.summary();
    bool const isUpToDate = message.summary.settingsVersion <= own.settingsVersion && message.summary.upstreamsHash == own.upstreamsHash;
    if (isUpToDate)
        m_hooks.beliefs.confirmed(stamp);
    else
        m_hooks.differs(from, message.summary, stamp);
}

// What leads on from another version than one's own would leave gaps.
void StateExchange::takeRegistry(StateMessage const& message)
{
    auto const own = m_hooks.beliefs.summary().registryVersion;
    auto const told = message.summary.registryVersion;
    if (told <= own)
        return;
    if (message.registryChanges && own == m_askedWith.registryVersion)
        m_hooks.beliefs.applyRegistry(*message.registryChanges, told);
    else
        m_missedRegistryVersion = std::max(m_missedRegistryVersion, told);
}

bool StateExchange::needsRegistry(Instant now) const
{
    bool const hasMissedSome = m_hooks.beliefs.summary().registryVersion < m_missedRegistryVersion;
    return isReader() || hasMissedSome || ageOfProof(now) > m_bounds.registryFallbackAge;
}

// A relay adds the sums up itself.
void StateExchange::takeOthersInFlight(StateMessage const& message)
{
    if (m_isRelay || message.inFlight.empty())
        return;
    auto const list = m_hooks.beliefs.upstreamsOf(message.summary.upstreamsHash);
    if (!list)
        return;
    if (auto const inFlight = unpackCounts(*list, message.inFlight))
        m_hooks.beliefs.othersInFlight(*inFlight, message.inFlightAge);
    else
        ++m_unreadableCounts;
}

void StateExchange::takeNews(VMId from, StateMessage const& message)
{
    if (message.emptiedHalls)
        m_hooks.beliefs.takeEmptiedHalls(*message.emptiedHalls, {});
    if (message.summary.settingsVersion > m_hooks.beliefs.summary().settingsVersion)
        m_hooks.differs(from, message.summary, {});
}

void StateExchange::proven(Instant)
{
    auto const provenAt = m_hooks.beliefs.provenAt();
    if (!provenAt)
        return;
    // Of a daemon's asks only the newest that can be answered is.
    std::map<VMId, WaitingAsk> answers;
    std::erase_if(m_waiting, [&](auto const& waiting) {
        if (waiting.arrivedAt > *provenAt)
            return false;
        answers[waiting.from] = waiting;
        return true;
    });
    if (answers.empty())
        return;
    auto const summary = m_hooks.beliefs.summary();
    for (auto const& [to, ask] : answers) {
        StateMessage const message { StateMessage::Kind::Answer, ask.stamp, ask.askingProcess, summary, {}, {}, m_hooks.beliefs.changesSince(ask.summary.upstreamsHash), m_hooks.beliefs.registrySince(ask.summary.registryVersion), m_hooks.beliefs.emptiedHalls() };
        m_hooks.send(to, message.encode());
    }
}

void StateExchange::changed(Instant)
{
    StateMessage const message { StateMessage::Kind::News, 0, 0, m_hooks.beliefs.summary(), {}, {}, {}, {}, m_hooks.beliefs.emptiedHalls() };
    auto const encoded = message.encode();
    for (auto const& [id, askedAt] : m_askers)
        m_hooks.send(id, encoded);
}

}

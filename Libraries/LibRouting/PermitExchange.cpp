#include <LibRouting/LedgerExchange.h>

#include <LibBase/Hash.h>
#include <algorithm>

namespace Stagepost {

namespace {

    // An answer to an older ask tells nothing of how the owner does now.
    constexpr size_t mostOverdueKept = 64;

}

void LedgerExchange::setPeers(std::vector<FleetPeer> peers, std::vector<VMId> const& relays, Instant now)
{
    m_relays = std::set(relays.begin(), relays.end());
    m_peers = std::move(peers);
    std::erase_if(m_peers, [this](auto const& peer) { return peer.id == m_self.id; });
    std::erase_if(m_suspectedUntil, [this](auto const& suspected) {
        return std::none_of(m_peers.begin(), m_peers.end(), [&](auto const& peer) { return peer.id == suspected.first; });
    });
    auto owners = hallsOwners();
    if (!m_startedAt)
        m_startedAt = now;
    if (owners == m_hallsOwners)
        return;
    m_hallsOwners = std::move(owners);
    m_ownersSince = now;
}

std::vector<std::pair<VMId, bool>> LedgerExchange::hallsOwners() const
{
    std::vector<std::pair<VMId, bool>> owners { { m_self.id, m_relays.contains(m_self.id) } };
    for (auto const& peer : m_peers) {
        if (peer.hall == m_self.hall)
            owners.emplace_back(peer.id, m_relays.contains(peer.id));
    }
    std::sort(owners.begin(), owners.end());
    return owners;
}

// Of the daemons of its hall, those that are asked before this one.
size_t LedgerExchange::ownersBefore(UpstreamId upstream) const
{
    auto const place = [&](std::pair<VMId, bool> const& owner) { return std::pair(!owner.second, mixHashes(upstream.value(), owner.first.value())); };
    auto const own = place({ m_self.id, m_relays.contains(m_self.id) });
    return static_cast<size_t>(std::count_if(m_hallsOwners.begin(), m_hallsOwners.end(), [&](auto const& owner) { return place(owner) > own; }));
}

// While daemons come and go, each asks whom it takes for the owner by then; whoever starts
// may know of itself alone.
OwnerStanding LedgerExchange::standingFor(UpstreamId upstream, Instant now) const
{
    auto const before = ownersBefore(upstream);
    bool const isFirst = before == 0;
    if (!m_startedAt || now - *m_startedAt < m_bounds.ownersSettle || before > 1)
        return { OwnerRank::Further, isFirst };
    bool const isSettled = now - m_ownersSince >= m_bounds.ownersSettle;
    return { isFirst && isSettled ? OwnerRank::First : OwnerRank::Next, isFirst };
}

LedgerVerdict LedgerExchange::judge(VMId from, LedgerAsk const& ask, Instant now)
{
    auto const verdict = m_ledger.ask(from, ask, standingFor(ask.upstream, now), now);
    m_exhaustedAsks += verdict.isExhausted ? 1 : 0;
    return verdict;
}

// The first daemon of the upstream's hall, by an order that all agree on, that is not
// suspected: if the hall is cut off, the upstream is cut off with it.
std::optional<VMId> LedgerExchange::ownerOf(UpstreamId upstream, HallId hall, Instant now) const
{
    std::optional<VMId> owner;
    std::pair<bool, uint64_t> highest;
    auto const offer = [&](FleetPeer const& peer) {
        if (peer.hall != hall)
            return;
        auto const suspected = m_suspectedUntil.find(peer.id);
        if (suspected != m_suspectedUntil.end() && now < suspected->second)
            return;
        std::pair const rank { !m_relays.contains(peer.id), mixHashes(upstream.value(), peer.id.value()) };
        if (owner && rank <= highest)
            return;
        owner = peer.id;
        highest = rank;
    };
    offer(m_self);
    for (auto const& peer : m_peers)
        offer(peer);
    return owner;
}

Microseconds LedgerExchange::patience() const
{
    auto const bound = m_roundTrip.bound();
    return bound == Microseconds(0) ? m_bounds.longestPatience : std::clamp(bound, m_bounds.shortestPatience, m_bounds.longestPatience);
}

size_t LedgerExchange::ownAt(UpstreamId upstream) const
{
    auto const found = m_own.find(upstream);
    return found == m_own.end() ? 0 : found->second.count;
}

// Asks on their way may be granted, each for one request.
size_t LedgerExchange::askedFor(UpstreamId upstream) const
{
    return static_cast<size_t>(std::count_if(m_pending.begin(), m_pending.end(), [&](auto const& entry) {
        auto const& pending = entry.second;
        return pending.index < pending.candidates.size() && pending.candidates[pending.index].upstream == upstream;
    }));
}

void LedgerExchange::choose(Wish wish, Callback callback, Instant now)
{
    auto const number = ++m_lastNumber;
    Pending pending;
    pending.context = wish.context;
    pending.candidates = std::move(wish.candidates);
    pending.callback = std::move(callback);
    m_pending.emplace(number, std::move(pending));
    ask(number, now);
}

void LedgerExchange::ask(uint64_t number, Instant now)
{
    auto& pending = m_pending.at(number);
    if (pending.index >= pending.candidates.size())
        return conclude(number, now);
    auto const& candidate = pending.candidates[pending.index];
    auto const owner = pending.ownersAsked < m_bounds.mostOwners ? ownerOf(candidate.upstream, candidate.hall, now) : std::nullopt;
    if (!owner)
        return conclude(number, now);
    pending.owner = *owner;
    pending.askedAt = now;
    pending.dueAt = now + patience();
    ++pending.asks;
    ++pending.ownersAsked;
    auto const own = ownAt(candidate.upstream) + askedFor(candidate.upstream) - 1;
    LedgerAsk const ask { number, candidate.upstream, own, candidate.limit, candidate.cold, pending.context };
    if (*owner == m_self.id)
        return takeAnswer(number, judge(m_self.id, ask, now), now);
    m_hooks.send(*owner, encodeLedgerMessage(ask));
}

void LedgerExchange::takeAnswer(uint64_t number, LedgerVerdict const& verdict, Instant now)
{
    auto& pending = m_pending.at(number);
    auto const candidate = pending.candidates[pending.index];
    if (verdict.isGranted) {
        count(candidate.upstream, candidate.hall, pending.owner, now);
        return finish(number, { candidate.upstream, true, pending.asks, pending.exhausted, false, verdict.count, candidate.limit, verdict.isNewThere });
    }
    bool const isLeast = !pending.least || verdict.count < pending.leastCount;
    if (verdict.isExhausted) {
        pending.exhausted.push_back(candidate.upstream);
    } else if (isLeast) {
        pending.least = pending.index;
        pending.leastCount = verdict.count;
        pending.isNewAtLeast = verdict.isNewThere;
    }
    goOn(number, now);
}

void LedgerExchange::goOn(uint64_t number, Instant now)
{
    auto& pending = m_pending.at(number);
    ++pending.index;
    pending.ownersAsked = 0;
    if (pending.index < pending.candidates.size() && m_furtherAsks.take(m_bounds.furtherAsksPerSecond, now))
        ask(number, now);
    else
        conclude(number, now);
}

// All have been asked that could be: the least loaded of those that are known takes it.
void LedgerExchange::conclude(uint64_t number, Instant now)
{
    auto& pending = m_pending.at(number);
    Outcome outcome { {}, false, pending.asks, pending.exhausted };
    if (pending.least) {
        auto const candidate = pending.candidates[*pending.least];
        if (candidate.most && !pending.isLastAsk && pending.leastCount < *candidate.most)
            return askForMost(number, candidate, now);
        outcome.isFull = candidate.most.has_value();
    }
    if (pending.least && !outcome.isFull) {
        auto const candidate = pending.candidates[*pending.least];
        outcome.upstream = candidate.upstream;
        outcome.counted = pending.leastCount;
        outcome.isNewThere = pending.isNewAtLeast;
        outcome.limit = candidate.limit;
        began(candidate.upstream, candidate.hall, now);
    }
    finish(number, outcome);
}

// Others may have sent there since it answered, so what is bounded is granted by its owner.
void LedgerExchange::askForMost(uint64_t number, Candidate candidate, Instant now)
{
    auto& pending = m_pending.at(number);
    pending.isLastAsk = true;
    pending.index = pending.candidates.size();
    pending.ownersAsked = 0;
    candidate.limit = *candidate.most;
    pending.candidates.push_back(candidate);
    ask(number, now);
}

void LedgerExchange::finish(uint64_t number, Outcome const& outcome)
{
    auto pending = m_pending.extract(number);
    pending.mapped().callback(outcome);
}

LedgerExchange::Own& LedgerExchange::count(UpstreamId upstream, HallId hall, VMId owner, Instant now)
{
    auto& own = m_own[upstream];
    ++own.count;
    own.hall = hall;
    own.toldTo = owner;
    own.toldAt = now;
    return own;
}

void LedgerExchange::began(UpstreamId upstream, HallId hall, Instant now)
{
    auto const owner = ownerOf(upstream, hall, now);
    auto& own = count(upstream, hall, owner.value_or(m_self.id), now);
    if (owner)
        report(upstream, own, now);
}

void LedgerExchange::ended(UpstreamId upstream, Instant now)
{
    auto const found = m_own.find(upstream);
    if (found == m_own.end())
        return;
    auto& own = found->second;
    --own.count;
    report(upstream, own, now);
    if (!own.count)
        m_own.erase(found);
}

void LedgerExchange::report(UpstreamId upstream, Own& own, Instant now)
{
    own.toldAt = now;
    if (own.toldTo == m_self.id)
        m_ledger.told(m_self.id, upstream, own.count, now);
    else
        m_hooks.send(own.toldTo, encodeLedgerMessage(LedgerReport { upstream, own.count }));
}

Result<void> LedgerExchange::receive(VMId from, std::string_view bytes, Instant now)
{
    auto const message = TRY(decodeLedgerMessage(bytes));
    if (auto const* ask = std::get_if<LedgerAsk>(&message)) {
        auto const verdict = judge(from, *ask, now);
        m_hooks.send(from, encodeLedgerMessage(LedgerAnswer { ask->number, verdict.isGranted, verdict.count, verdict.isExhausted, verdict.isNewThere }));
        return {};
    }
    if (auto const* told = std::get_if<LedgerReport>(&message)) {
        m_ledger.told(from, told->upstream, told->ownInFlight, now);
        return {};
    }
    auto const& answer = std::get<LedgerAnswer>(message);
    auto const found = m_pending.find(answer.number);
    if (found == m_pending.end() || found->second.owner != from) {
        takeLateAnswer(answer.number, from, now);
        return {};
    }
    m_suspectedUntil.erase(from);
    m_roundTrip.add(now - found->second.askedAt);
    takeAnswer(answer.number, { answer.isGranted, answer.count, answer.isExhausted, answer.isNewThere }, now);
    return {};
}

// What it may have granted was taken back at the time-out. The owner is there all the same, and
// slower than was thought: while some daemons ask another one in its place, neither has the
// whole count.
void LedgerExchange::takeLateAnswer(uint64_t number, VMId from, Instant now)
{
    auto const found = std::find_if(m_overdue.begin(), m_overdue.end(), [&](auto const& overdue) { return overdue.number == number && overdue.owner == from; });
    if (found == m_overdue.end())
        return;
    m_roundTrip.add(now - found->askedAt);
    m_suspectedUntil.erase(from);
    m_overdue.erase(found);
}

// The owner may have granted what its answer did not tell in time.
void LedgerExchange::noteTimeout(uint64_t number, Instant now)
{
    ++m_unansweredAsks;
    auto const& pending = m_pending.at(number);
    auto const upstream = pending.candidates[pending.index].upstream;
    m_suspectedUntil[pending.owner] = now + m_bounds.suspicion;
    m_overdue.push_back({ number, pending.owner, pending.askedAt });
    if (m_overdue.size() > mostOverdueKept)
        m_overdue.pop_front();
    if (m_hooks.unanswered)
        m_hooks.unanswered(pending.owner, upstream, now - pending.askedAt);
    m_hooks.send(pending.owner, encodeLedgerMessage(LedgerReport { upstream, ownAt(upstream) }));
    ask(number, now);
}

std::optional<Instant> LedgerExchange::nextTimeout() const
{
    std::optional<Instant> next;
    for (auto const& [number, pending] : m_pending)
        next = std::min(next.value_or(pending.dueAt), pending.dueAt);
    return next;
}

void LedgerExchange::tick(Instant now)
{
    std::vector<uint64_t> overdue;
    for (auto const& [number, pending] : m_pending) {
        if (now >= pending.dueAt)
            overdue.push_back(number);
    }
    for (auto const number : overdue) {
        if (m_pending.contains(number))
            noteTimeout(number, now);
    }
    if (now - m_repeatedAt < m_bounds.repeatInterval)
        return;
    m_repeatedAt = now;
    m_ledger.tick(now);
    for (auto& [upstream, own] : m_own) {
        if (now - own.toldAt <= ledgerRepeat(m_hooks.forecast(upstream).hold))
            continue;
        own.toldTo = ownerOf(upstream, own.hall, now).value_or(m_self.id);
        report(upstream, own, now);
    }
}

}

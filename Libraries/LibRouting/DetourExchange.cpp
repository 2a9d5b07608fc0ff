#include <LibRouting/DetourExchange.h>

#include <algorithm>

namespace Stagepost {

namespace {

    bool contains(std::vector<VMId> const& ids, VMId id)
    {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

    // Moves that many random elements to the front.
    void selectRandomly(std::vector<VMId>& ids, size_t count, RandomHook const& random)
    {
        for (size_t index = 0; index < std::min(count, ids.size()); ++index)
            std::swap(ids[index], ids[index + randomBelow(random, ids.size() - index)]);
        ids.resize(std::min(count, ids.size()));
    }

}

void DetourExchange::setPeers(std::vector<FleetPeer> const& peers)
{
    m_peers.clear();
    for (auto const& peer : peers) {
        if (peer.id != m_self.id)
            m_peers.push_back(peer.id);
    }
    std::erase_if(m_daemons, [&](auto const& daemon) { return !contains(m_peers, daemon.first) && !daemon.second.ownRequests; });
}

void DetourExchange::setSearching(bool isSearching, Instant now)
{
    if (isSearching == m_searchingSince.has_value())
        return;
    if (!isSearching) {
        m_searchingSince.reset();
        return;
    }
    m_searchingSince = now;
    sendQueries(now);
}

bool DetourExchange::isUsable(Daemon const& daemon, Instant now) const
{
    return daemon.isAvailable && now - daemon.heardAt <= m_bounds.knowledgeLifetime && now >= daemon.avoidUntil;
}

size_t DetourExchange::availableCount(Instant now) const
{
    return static_cast<size_t>(std::count_if(m_daemons.begin(), m_daemons.end(), [&](auto const& daemon) { return isUsable(daemon.second, now); }));
}

std::optional<VMId> DetourExchange::pick(std::vector<VMId> const& excluded, Instant now) const
{
    std::vector<VMId> usable;
    for (auto const& [id, daemon] : m_daemons) {
        if (isUsable(daemon, now) && !contains(excluded, id))
            usable.push_back(id);
    }
    constexpr size_t choices = 2;
    selectRandomly(usable, choices, m_hooks.random);
    auto const least = std::min_element(usable.begin(), usable.end(), [this](VMId one, VMId other) {
        auto const loadOf = [this](VMId id) { return m_daemons.at(id).load + m_daemons.at(id).ownRequests; };
        return loadOf(one) < loadOf(other);
    });
    return least == usable.end() ? std::nullopt : std::optional(*least);
}

void DetourExchange::choose(std::vector<VMId> const& excluded, Callback callback, Instant now)
{
    auto const chosen = pick(excluded, now);
    bool const mayWait = m_searchingSince && now - *m_searchingSince < m_bounds.searchTime && excluded.empty();
    if (chosen || !mayWait) {
        callback(chosen);
        return;
    }
    m_pending.push_back({ excluded, std::move(callback), *m_searchingSince + m_bounds.searchTime });
}

void DetourExchange::started(VMId id)
{
    ++m_daemons[id].ownRequests;
}

void DetourExchange::ended(VMId id, bool hasFailed, Instant now)
{
    auto& daemon = m_daemons[id];
    daemon.ownRequests -= daemon.ownRequests ? 1 : 0;
    if (hasFailed)
        daemon.avoidUntil = now + m_bounds.avoidTime;
}

void DetourExchange::learn(VMId id, Instant heardAt, size_t load)
{
    auto& daemon = m_daemons[id];
    if (heardAt <= daemon.heardAt)
        return;
    daemon.isAvailable = true;
    daemon.heardAt = heardAt;
    daemon.load = load;
}

void DetourExchange::sendQueries(Instant now)
{
    bool const knowsEnough = availableCount(now) >= m_bounds.wantedDaemons;
    m_nextRoundAt = now + (knowsEnough ? m_bounds.refreshInterval : m_bounds.searchInterval);
    auto asked = m_peers;
    selectRandomly(asked, knowsEnough ? 1 : m_bounds.queriesPerRound, m_hooks.random);
    // Known ones are asked again, so that what is known of them stays recent.
    std::vector<VMId> known;
    for (auto const& [id, daemon] : m_daemons) {
        if (isUsable(daemon, now) && !contains(asked, id))
            known.push_back(id);
    }
    selectRandomly(known, m_bounds.wantedDaemons, m_hooks.random);
    asked.insert(asked.end(), known.begin(), known.end());
    forgetOldQueries(now);
    for (auto const id : asked) {
        m_queries.push_back({ m_queryNumbers.next(), id, now });
        m_hooks.send(id, encodeDetourMessage(DetourQuery { m_queries.back().id }));
    }
}

// A daemon that was suspended finds answers in its socket that are as old as the queries.
void DetourExchange::forgetOldQueries(Instant now)
{
    while (!m_queries.empty() && now - m_queries.front().sentAt > m_bounds.knowledgeLifetime)
        m_queries.pop_front();
}

bool DetourExchange::takeQuery(uint64_t id, VMId to, Instant now)
{
    forgetOldQueries(now);
    return std::erase_if(m_queries, [&](Query const& query) { return query.id == id && query.to == to; }) != 0;
}

DetourResponse DetourExchange::respond(DetourQuery const& query, VMId to, Instant now) const
{
    DetourResponse response { query.queryId, m_hooks.isAvailable(), m_hooks.load(), {} };
    std::vector<VMId> usable;
    for (auto const& [id, daemon] : m_daemons) {
        if (isUsable(daemon, now) && id != to)
            usable.push_back(id);
    }
    selectRandomly(usable, m_bounds.hintsPerResponse, m_hooks.random);
    for (auto const id : usable)
        response.others.push_back({ id, now - m_daemons.at(id).heardAt, m_daemons.at(id).load });
    return response;
}

Result<void> DetourExchange::receive(VMId from, std::string_view bytes, Instant now)
{
    auto const message = TRY(decodeDetourMessage(bytes));
    if (auto const* query = std::get_if<DetourQuery>(&message)) {
        // Only a daemon without links asks.
        auto& daemon = m_daemons[from];
        daemon.isAvailable = false;
        daemon.heardAt = now;
        m_hooks.send(from, encodeDetourMessage(respond(*query, from, now)));
        return {};
    }
    auto const& response = std::get<DetourResponse>(message);
    if (!takeQuery(response.queryId, from, now))
        return {};
    auto& daemon = m_daemons[from];
    daemon.isAvailable = response.isAvailable;
    daemon.heardAt = now;
    daemon.load = response.load;
    daemon.avoidUntil = {};
    for (auto const& hint : response.others) {
        if (hint.daemon != m_self.id && contains(m_peers, hint.daemon))
            learn(hint.daemon, now - hint.age, hint.load);
    }
    answerPending(now);
    return {};
}

void DetourExchange::answerPending(Instant now)
{
    auto waiting = std::exchange(m_pending, {});
    for (auto& pending : waiting) {
        auto const chosen = pick(pending.excluded, now);
        if (chosen || now >= pending.deadline || !m_searchingSince)
            pending.callback(chosen);
        else
            m_pending.push_back(std::move(pending));
    }
}

void DetourExchange::tick(Instant now)
{
    if (m_searchingSince && now >= m_nextRoundAt)
        sendQueries(now);
    answerPending(now);
}

std::optional<Instant> DetourExchange::nextTimeout() const
{
    if (m_pending.empty())
        return {};
    return m_pending.front().deadline;
}

}

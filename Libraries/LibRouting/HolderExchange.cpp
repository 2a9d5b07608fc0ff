#include <LibRouting/HolderExchange.h>

#include <LibBase/Hash.h>
#include <algorithm>

namespace Stagepost {

void HolderExchange::setPeers(std::vector<FleetPeer> const& peers, std::vector<VMId> const& relays)
{
    std::vector<VMId> all { m_self.id };
    for (auto const& peer : peers) {
        if (peer.id != m_self.id)
            all.push_back(peer.id);
    }
    m_homes = all;
    std::erase_if(m_homes, [&](VMId id) { return std::find(relays.begin(), relays.end(), id) != relays.end(); });
    if (m_homes.empty())
        m_homes = std::move(all);
}

VMId HolderExchange::homeOf(uint64_t context) const
{
    if (m_homes.empty())
        return m_self.id;
    return *std::max_element(m_homes.begin(), m_homes.end(), [context](VMId one, VMId other) {
        return mixHashes(context, one.value()) < mixHashes(context, other.value());
    });
}

void HolderExchange::recordPlacement(uint64_t context, UpstreamId upstream, Callback callback, Instant now)
{
    auto const home = homeOf(context);
    if (home == m_self.id)
        return callback(m_holders.recordPlacement(context, upstream));
    auto const queryId = m_queryNumbers.next();
    auto const suspected = m_suspectedUntil.find(home);
    bool const isSuspected = suspected != m_suspectedUntil.end() && now < suspected->second;
    auto const query = encodeHolderMessage(HolderQuery { queryId, context, upstream });
    if (isSuspected) {
        m_hooks.send(home, query);
        return callback({});
    }
    m_pending.emplace(queryId, Pending { home, now + m_bounds.responseTimeout, std::move(callback) });
    m_hooks.send(home, query);
}

void HolderExchange::complete(uint64_t queryId, std::vector<UpstreamId> const& holders)
{
    auto pending = m_pending.extract(queryId);
    pending.mapped().callback(holders);
}

Result<void> HolderExchange::receive(VMId from, std::string_view bytes, Instant)
{
    auto const message = TRY(decodeHolderMessage(bytes));
    if (auto const* query = std::get_if<HolderQuery>(&message)) {
        m_hooks.send(from, encodeHolderMessage(HolderResponse { query->queryId, m_holders.recordPlacement(query->context, query->upstream) }));
        return {};
    }
    auto const& response = std::get<HolderResponse>(message);
    m_suspectedUntil.erase(from);
    auto const found = m_pending.find(response.queryId);
    if (found != m_pending.end() && found->second.home == from)
        complete(response.queryId, response.holders);
    return {};
}

std::optional<Instant> HolderExchange::nextTimeout() const
{
    std::optional<Instant> next;
    for (auto const& [queryId, pending] : m_pending)
        next = std::min(next.value_or(pending.deadline), pending.deadline);
    return next;
}

void HolderExchange::tick(Instant now)
{
    std::vector<uint64_t> overdue;
    for (auto const& [queryId, pending] : m_pending) {
        if (now >= pending.deadline)
            overdue.push_back(queryId);
    }
    for (auto const queryId : overdue) {
        auto const pending = m_pending.find(queryId);
        if (pending == m_pending.end())
            continue;
        m_suspectedUntil[pending->second.home] = now + m_bounds.suspectDuration;
        complete(queryId, {});
    }
}

}

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

void HolderExchange::placed(uint64_t context, UpstreamId upstream, Callback callback, Instant now)
{
    auto const home = homeOf(context);
    if (home == m_self.id)
        return callback(m_holders.placed(context, upstream));
    auto const number = ++m_lastNumber;
    auto const suspected = m_suspectedUntil.find(home);
    bool const isSuspected = suspected != m_suspectedUntil.end() && now < suspected->second;
    auto const ask = encodeHolderMessage(HolderAsk { number, context, upstream });
    if (isSuspected) {
        m_hooks.send(home, ask);
        return callback({});
    }
    m_pending.emplace(number, Pending { home, now + m_bounds.patience, std::move(callback) });
    m_hooks.send(home, ask);
}

void HolderExchange::finish(uint64_t number, std::vector<UpstreamId> const& holders)
{
    auto pending = m_pending.extract(number);
    pending.mapped().callback(holders);
}

Result<void> HolderExchange::receive(VMId from, std::string_view bytes, Instant)
{
    auto const message = TRY(decodeHolderMessage(bytes));
    if (auto const* ask = std::get_if<HolderAsk>(&message)) {
        m_hooks.send(from, encodeHolderMessage(HolderAnswer { ask->number, m_holders.placed(ask->context, ask->upstream) }));
        return {};
    }
    auto const& answer = std::get<HolderAnswer>(message);
    m_suspectedUntil.erase(from);
    auto const found = m_pending.find(answer.number);
    if (found != m_pending.end() && found->second.home == from)
        finish(answer.number, answer.holders);
    return {};
}

std::optional<Instant> HolderExchange::nextTimeout() const
{
    std::optional<Instant> next;
    for (auto const& [number, pending] : m_pending)
        next = std::min(next.value_or(pending.dueAt), pending.dueAt);
    return next;
}

void HolderExchange::tick(Instant now)
{
    std::vector<uint64_t> overdue;
    for (auto const& [number, pending] : m_pending) {
        if (now >= pending.dueAt)
            overdue.push_back(number);
    }
    for (auto const number : overdue) {
        auto const pending = m_pending.find(number);
        if (pending == m_pending.end())
            continue;
        m_suspectedUntil[pending->second.home] = now + m_bounds.suspicion;
        finish(number, {});
    }
}

}

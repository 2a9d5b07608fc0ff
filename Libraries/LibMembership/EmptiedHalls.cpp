#include <LibMembership/EmptiedHalls.h>

#include <utility>

namespace Stagepost {

namespace {

    std::set<std::string> applyOrders(std::set<std::string> halls, std::vector<HallOrder> const& orders)
    {
        for (auto const& order : orders) {
            if (order.isEmptied)
                halls.insert(order.hall);
            else
                halls.erase(order.hall);
        }
        return halls;
    }

}

// Returns false if another daemon has sent a newer state while the read was under way.
bool EmptiedHalls::advancePosition(uint64_t position, Instant readSentAt)
{
    m_age.confirm(readSentAt);
    if (position < m_state.position)
        return false;
    m_state.position = position;
    return true;
}

void EmptiedHalls::setHalls(std::set<std::string> halls)
{
    auto const before = std::exchange(m_state.halls, std::move(halls));
    for (auto const& hall : before) {
        if (!m_state.halls.contains(hall))
            m_changed({ hall, false });
    }
    for (auto const& hall : m_state.halls) {
        if (!before.contains(hall))
            m_changed({ hall, true });
    }
}

void EmptiedHalls::apply(std::vector<HallOrder> const& orders, uint64_t position, Instant readSentAt)
{
    if (!advancePosition(position, readSentAt))
        return;
    for (auto const& order : orders)
        m_missing.erase(order.hall);
    setHalls(applyOrders(m_state.halls, orders));
}

void EmptiedHalls::replace(std::vector<HallOrder> const& orders, uint64_t position, Instant readSentAt)
{
    if (!advancePosition(position, readSentAt))
        return;
    auto halls = applyOrders({}, orders);
    for (auto const& hall : halls)
        m_missing.erase(hall);
    for (auto const& [hall, until] : m_missing)
        halls.insert(hall);
    setHalls(std::move(halls));
}

void EmptiedHalls::replaceAfterRestore(std::vector<HallOrder> const& orders, uint64_t position, Instant readSentAt)
{
    m_missingUntil = readSentAt + m_bounds.returnGrace;
    for (auto const& hall : m_state.halls)
        m_missing.try_emplace(hall, m_missingUntil);
    replace(orders, position, readSentAt);
}

// At the same position, two daemons differ only while one of them still keeps orders that
// are missing from the store.
void EmptiedHalls::applyPeerState(EmptiedHallsState const& peer, std::optional<Instant> provenAt)
{
    bool const isSamePosition = peer.position == m_state.position;
    bool const isNewer = provenAt && (!m_age.isKnown() || *provenAt > *m_age.confirmedAt());
    if (provenAt)
        m_age.confirm(*provenAt);
    if (peer.position < m_state.position || (isSamePosition && !isNewer))
        return;
    m_state.position = peer.position;
    // The peer may keep orders that the store lacks as well, and this daemon may be the next to read the store.
    std::map<std::string, Instant> missing;
    for (auto const& hall : peer.halls) {
        bool const isUnconfirmed = m_missing.contains(hall) || !m_state.halls.contains(hall);
        if (isSamePosition && isUnconfirmed && *provenAt < m_missingUntil)
            missing.emplace(hall, m_missingUntil);
    }
    m_missing = std::move(missing);
    setHalls(peer.halls);
}

void EmptiedHalls::tick(Instant now)
{
    auto halls = m_state.halls;
    std::erase_if(m_missing, [&](auto const& missing) {
        if (now < missing.second)
            return false;
        halls.erase(missing.first);
        return true;
    });
    if (halls != m_state.halls)
        setHalls(std::move(halls));
}

}

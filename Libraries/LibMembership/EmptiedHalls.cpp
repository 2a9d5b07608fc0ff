#include <LibMembership/EmptiedHalls.h>

#include <utility>

namespace Stagepost {

namespace {

    std::set<std::string> applied(std::set<std::string> halls, std::vector<HallOrder> const& orders)
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

// What was told meanwhile is newer than a read that was long on its way.
bool EmptiedHalls::isOutdated(uint64_t position, Instant readSentAt)
{
    m_age.confirm(readSentAt);
    if (position < m_state.position)
        return true;
    m_state.position = position;
    return false;
}

void EmptiedHalls::become(std::set<std::string> halls)
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
    if (isOutdated(position, readSentAt))
        return;
    for (auto const& order : orders)
        m_lost.erase(order.hall);
    become(applied(m_state.halls, orders));
}

void EmptiedHalls::replace(std::vector<HallOrder> const& orders, uint64_t position, Instant readSentAt)
{
    if (isOutdated(position, readSentAt))
        return;
    auto halls = applied({}, orders);
    for (auto const& hall : halls)
        m_lost.erase(hall);
    for (auto const& [hall, until] : m_lost)
        halls.insert(hall);
    become(std::move(halls));
}

void EmptiedHalls::replaceAfterReturn(std::vector<HallOrder> const& orders, uint64_t position, Instant readSentAt)
{
    for (auto const& hall : m_state.halls)
        m_lost.try_emplace(hall, readSentAt + m_bounds.returnGrace);
    replace(orders, position, readSentAt);
}

// At one position two daemons differ only while one of them holds what the store has lost.
void EmptiedHalls::takeTold(EmptiedHallsState const& told, std::optional<Instant> provenAt)
{
    bool const isSamePlace = told.position == m_state.position;
    bool const isNewerProof = provenAt && (!m_age.isKnown() || *provenAt > *m_age.provenAt());
    if (provenAt)
        m_age.confirm(*provenAt);
    if (told.position < m_state.position || (isSamePlace && !isNewerProof))
        return;
    m_state.position = told.position;
    m_lost.clear();
    become(told.halls);
}

void EmptiedHalls::tick(Instant now)
{
    auto halls = m_state.halls;
    std::erase_if(m_lost, [&](auto const& lost) {
        if (now < lost.second)
            return false;
        halls.erase(lost.first);
        return true;
    });
    if (halls != m_state.halls)
        become(std::move(halls));
}

}

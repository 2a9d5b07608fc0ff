#include <LibMembership/HallReachability.h>

#include <algorithm>

namespace Stagepost {

void HallReachability::add(HallId hall, Instant now)
{
    if (hall != m_own && m_lastContact.try_emplace(hall, now).second)
        m_wasReachable[hall] = true;
}

void HallReachability::recordContact(HallId hall, Instant at)
{
    if (auto const found = m_lastContact.find(hall); found != m_lastContact.end())
        found->second = std::max(found->second, at);
}

bool HallReachability::isReachable(HallId hall, Instant now) const
{
    auto const found = m_lastContact.find(hall);
    return hall == m_own || (found != m_lastContact.end() && now - found->second <= timeout);
}

std::vector<std::pair<HallId, Microseconds>> HallReachability::ages(Instant now) const
{
    std::vector<std::pair<HallId, Microseconds>> result;
    for (auto const& [hall, at] : m_lastContact) {
        if (now - at <= timeout)
            result.emplace_back(hall, now - at);
    }
    return result;
}

std::vector<HallId> HallReachability::takeChanges(Instant now)
{
    std::vector<HallId> result;
    for (auto& [hall, wasReachable] : m_wasReachable) {
        bool const isNow = isReachable(hall, now);
        if (isNow != wasReachable)
            result.push_back(hall);
        wasReachable = isNow;
    }
    return result;
}

}

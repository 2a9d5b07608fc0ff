#include <LibMembership/FleetShare.h>

#include <algorithm>

namespace Stagepost {

void FleetShare::setOthers(std::vector<VMId> const& others, Instant now)
{
    std::set<VMId> const listed(others.begin(), others.end());
    for (auto const id : m_others) {
        if (!listed.contains(id))
            m_departedAt[id] = now;
    }
    std::erase_if(m_departedAt, [&](auto const& departed) { return listed.contains(departed.first) || now - departed.second > settlingTime(); });
    m_others = listed;
}

void FleetShare::confirm(Instant provenAt, bool isListed, Instant now)
{
    if (!isListed) {
        m_listedSince.reset();
        return;
    }
    bool const isFirst = !m_listedSince || !m_provenAt;
    if (isFirst || provenAt - *m_provenAt > settlingTime())
        m_listedSince = now;
    m_provenAt = std::max(m_provenAt.value_or(provenAt), provenAt);
}

double FleetShare::usable(Instant now) const
{
    if (m_isLeaving || !m_listedSince || now - *m_listedSince < settlingTime() || now - *m_provenAt > m_bounds.maxProofAge)
        return 0;
    return equal(now);
}

double FleetShare::equal(Instant now) const
{
    return 1.0 / static_cast<double>(countOthers(now) + 1);
}

size_t FleetShare::countOthers(Instant now) const
{
    auto const remembered = std::count_if(m_departedAt.begin(), m_departedAt.end(), [&](auto const& departed) { return now - departed.second <= settlingTime(); });
    return m_others.size() + static_cast<size_t>(remembered);
}

}

#include <LibMembership/FleetShare.h>

#include <algorithm>

namespace Stagepost {

namespace {

    // The daemons of a fleet that starts for the first time start within this time.
    constexpr Microseconds maxStartSpread { 500000 };
    // Daemons that take longer to register wait as if the fleet had been there before.
    constexpr Microseconds maxRegistrationTime { 2500000 };

}

void FleetShare::registered(Instant now)
{
    if (m_isRegistered || (m_firstStartAt && now - *m_firstStartAt > maxRegistrationTime))
        m_firstStartAt.reset();
    m_isRegistered = true;
}

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
        if (m_provenAt)
            m_firstStartAt.reset();
        m_listedSince.reset();
        return;
    }
    bool const isAfterGap = m_provenAt && provenAt - *m_provenAt > settlingTime();
    if (isAfterGap)
        m_firstStartAt.reset();
    if (isAfterGap || !m_listedSince)
        m_listedSince = now;
    m_provenAt = std::max(m_provenAt.value_or(provenAt), provenAt);
}

double FleetShare::usable(Instant now) const
{
    bool const isProven = m_listedSince && now - *m_provenAt <= m_bounds.maxProofAge;
    return isProven && isSettled(now) && !m_isLeaving ? equal(now) : 0;
}

bool FleetShare::isSettled(Instant now) const
{
    bool const isOfFirstFleet = m_firstStartAt && m_isRegistered && *m_provenAt >= *m_firstStartAt + maxStartSpread + maxRegistrationTime;
    return isOfFirstFleet || now - *m_listedSince >= settlingTime();
}

double FleetShare::equal(Instant now) const
{
    return 1.0 / static_cast<double>(counted(now).size() + 1);
}

std::vector<VMId> FleetShare::counted(Instant now) const
{
    std::vector<VMId> result(m_others.begin(), m_others.end());
    for (auto const& [id, departedAt] : m_departedAt) {
        if (now - departedAt <= settlingTime())
            result.push_back(id);
    }
    return result;
}

}

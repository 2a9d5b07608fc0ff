#include <stagepostd/SettingsPolicies.h>

namespace Stagepost {

PoolPolicy SettingsPolicies::pool(PoolId id) const
{
    PoolPolicy policy;
    auto const settings = m_settings.settings();
    if (!settings)
        return policy;
    auto const found = settings->pools.find(id);
    if (found == settings->pools.end())
        return policy;
    auto const& pool = found->second;
    policy.loadMultiple = pool.loadMultiple;
    policy.admissionMargin = pool.admissionMargin;
    policy.newChatReserve = pool.newChatReserve;
    policy.recomputePerToken = pool.recomputePerToken;
    policy.minCap = pool.leastCap;
    policy.maxInFlight = pool.mostInFlight;
    policy.candidates = pool.candidates;
    policy.queueLength = pool.queueLength;
    policy.bulkShare = pool.bulkShare;
    policy.returnRamp = pool.returnRamp;
    policy.breakerFailures = pool.breakerFailures;
    policy.breakerPause = pool.breakerPause;
    return policy;
}

OrganisationLimits SettingsPolicies::limits(OrganisationId id, double shareOfFleet) const
{
    auto const found = organisation(id);
    if (!found)
        return {};
    return { found->requestsPerSecond * shareOfFleet, static_cast<double>(found->inFlight) * shareOfFleet };
}

double SettingsPolicies::weight(OrganisationId id) const
{
    auto const found = organisation(id);
    return found ? found->weight : 1;
}

std::shared_ptr<OrganisationSettings const> SettingsPolicies::organisation(OrganisationId id) const
{
    auto const settings = m_settings.settings();
    if (!settings)
        return {};
    auto const found = settings->organisations.find(id);
    if (found == settings->organisations.end())
        return {};
    // Shares ownership of the settings that contain the organisation.
    return { settings, &found->second };
}

}

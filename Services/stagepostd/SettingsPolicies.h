#pragma once

#include <LibRouting/OrganisationLimiter.h>
#include <LibRouting/PoolPolicy.h>
#include <stagepostd/SettingsFollower.h>

namespace Stagepost {

// Converts the settings in force into the policies and limits of LibRouting. Pools and
// organisations that the settings do not name get defaults.
class SettingsPolicies {
public:
    explicit SettingsPolicies(SettingsFollower const& settings)
        : m_settings(settings)
    {
    }

    // The settings in force, or null until the first are applied.
    std::shared_ptr<FleetSettings const> settings() const { return m_settings.settings(); }

    PoolPolicy pool(PoolId) const;
    // This daemon's part of the limits that an organisation has for the whole fleet.
    OrganisationLimits limits(OrganisationId, double shareOfFleet) const;
    double weight(OrganisationId) const;

private:
    // Null if the settings do not name the organisation.
    std::shared_ptr<OrganisationSettings const> organisation(OrganisationId) const;

    SettingsFollower const& m_settings;
};

}

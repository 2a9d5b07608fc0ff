#include <stagepostd/VersionSightings.h>

namespace Stagepost {

void VersionSightings::update(std::string const& service, std::set<std::string> const& versions, Instant now)
{
    auto& known = m_services[service];
    bool const isInitial = known.empty();
    std::erase_if(known, [&](auto const& sighting) { return !versions.contains(sighting.first); });
    for (auto const& version : versions)
        known.try_emplace(version, Sighting { now, isInitial });
    if (known.empty())
        m_services.erase(service);
}

std::set<std::string> VersionSightings::unprovenVersions(std::string const& service, std::optional<Instant> ordersProvenAt) const
{
    std::set<std::string> result;
    auto const found = m_services.find(service);
    if (found == m_services.end() || found->second.size() < 2)
        return result;
    for (auto const& [version, sighting] : found->second) {
        if (!ordersProvenAt || *ordersProvenAt <= sighting.since)
            result.insert(version);
    }
    return result;
}

std::set<std::string> VersionSightings::versionsAddedSince(std::string const& service, Instant since) const
{
    std::set<std::string> result;
    auto const found = m_services.find(service);
    if (found == m_services.end())
        return result;
    for (auto const& [version, sighting] : found->second) {
        if (!sighting.isInitial && sighting.since > since)
            result.insert(version);
    }
    return result;
}

}

#include <LibMembership/FleetRoster.h>

namespace Stagepost {

void FleetRoster::setRegistered(std::vector<FleetPeer> const& registered)
{
    m_registered.clear();
    for (auto const& peer : registered) {
        m_registered[peer.id] = peer.hall;
        // From now on, the registry knows of the arrival, and of a later removal.
        m_arrivals.erase(peer.id);
    }
}

void FleetRoster::arrived(FleetPeer peer, Instant now)
{
    m_departures.erase(peer.id);
    m_arrivals[peer.id] = { peer.hall, now };
}

void FleetRoster::left(VMId id, Instant now)
{
    m_arrivals.erase(id);
    m_departures[id] = now;
}

bool FleetRoster::expire(Instant now)
{
    auto const expiredArrivals = std::erase_if(m_arrivals, [now](auto const& entry) { return now - entry.second.at > announcementLifetime; });
    auto const expiredDepartures = std::erase_if(m_departures, [now](auto const& entry) { return now - entry.second > announcementLifetime; });
    return expiredArrivals + expiredDepartures > 0;
}

std::vector<FleetPeer> FleetRoster::peers() const
{
    auto halls = m_registered;
    for (auto const& [id, arrival] : m_arrivals)
        halls[id] = arrival.hall;
    std::vector<FleetPeer> result;
    result.reserve(halls.size());
    for (auto const& [id, hall] : halls) {
        if (!m_departures.contains(id))
            result.push_back({ id, hall });
    }
    return result;
}

}

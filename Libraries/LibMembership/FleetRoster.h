#pragma once

#include <LibBase/FleetPeer.h>
#include <LibBase/Time.h>
#include <map>
#include <vector>

namespace Stagepost {

// The other daemons of the fleet: those that the registry lists, corrected by what daemons announce
// themselves. Daemons read the registry at different times, seconds after a change, and would
// disagree meanwhile on who owns an upstream.
class FleetRoster {
public:
    // By then, every daemon has read the registry.
    static constexpr Microseconds announcementLifetime { 15000000 };

    void setRegistered(std::vector<FleetPeer> const&);
    // The daemon has announced that it has started, or that it is about to stop.
    void arrived(FleetPeer, Instant now);
    void left(VMId, Instant now);
    // Drops expired announcements. Returns whether there were any.
    bool expire(Instant now);

    // In the order of their ids.
    std::vector<FleetPeer> peers() const;

private:
    struct Arrival {
        HallId hall;
        Instant at;
    };

    std::map<VMId, HallId> m_registered;
    std::map<VMId, Arrival> m_arrivals;
    std::map<VMId, Instant> m_departures;
};

}

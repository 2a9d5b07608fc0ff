#include <LibRouting/AdmissionGate.h>

#include <algorithm>

namespace Stagepost {

namespace {

    // Upstreams are not equally full: with so many requests for each place on average,
    // some already have a queue.
    constexpr double firstRefusalsAt = 0.85;
    // How much earlier the less urgent are turned away: a twentieth of the
    // places for each step is left to the more urgent.
    constexpr double stepOfPriority = 0.05;
    constexpr unsigned leastUrgent = 2;
    // From the first refusals on, everybody is turned away with so many more requests
    // for each place. What is a second old may be off by as many as come in that time,
    // which is about as many as there are places; a steeper rise would swing.
    constexpr double refusalsOfAllAfter = 1;
    // Whoever is turned away never comes back later than this: a surge may be over.
    constexpr Milliseconds longestPause { 4000 };
    constexpr Milliseconds leastPause { 20 };

}

double AdmissionGate::refusedShare(ServiceOccupancy const& occupancy, unsigned priority)
{
    if (!occupancy.isCurrent)
        return 0;
    auto const first = firstRefusalsAt - stepOfPriority * std::min(priority, leastUrgent);
    return std::clamp((occupancy.perPlace - first) / refusalsOfAllAfter, 0.0, 1.0);
}

bool AdmissionGate::admits(ServiceOccupancy const& occupancy, unsigned priority) const
{
    auto const share = refusedShare(occupancy, priority);
    return share == 0 || randomShare(m_random) >= share;
}

Milliseconds AdmissionGate::timeToComeBack(ServiceOccupancy const& occupancy) const
{
    auto const hold = std::clamp(std::chrono::duration_cast<Milliseconds>(occupancy.hold), leastPause, longestPause / 2);
    return hold + Milliseconds(randomBelow(m_random, static_cast<uint64_t>(hold.count())));
}

}

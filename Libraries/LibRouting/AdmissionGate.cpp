#include <LibRouting/AdmissionGate.h>

#include <algorithm>

namespace Stagepost {

namespace {

    // Load per slot above which some requests of priority 0 are refused. It is below 1, since
    // the load is uneven and some upstreams already queue at this mean.
    constexpr double refusalThreshold = 0.85;
    // Each priority step is refused at a load per slot that is lower by this, which reserves a
    // twentieth of the slots for more urgent requests.
    constexpr double thresholdStepPerPriority = 0.05;
    constexpr unsigned lowestPriority = 2;
    // The refused share rises from 0 to 1 over this range above the threshold. Counts that are a
    // second old may be off by a second of arrivals, which is about one per slot; over a
    // narrower range the load would oscillate.
    constexpr double refusalRange = 1;
    // A client never waits longer than this to retry, since the surge may be over by then.
    constexpr Milliseconds maxRetryDelay { 4000 };
    constexpr Milliseconds minHold { 20 };

}

double AdmissionGate::refusedShare(ServiceOccupancy const& occupancy, unsigned priority)
{
    if (!occupancy.isCurrent)
        return 0;
    auto const threshold = refusalThreshold - thresholdStepPerPriority * std::min(priority, lowestPriority);
    return std::clamp((occupancy.perSlot - threshold) / refusalRange, 0.0, 1.0);
}

bool AdmissionGate::admits(ServiceOccupancy const& occupancy, unsigned priority) const
{
    auto const share = refusedShare(occupancy, priority);
    return share == 0 || randomFraction(m_random) >= share;
}

Milliseconds AdmissionGate::retryDelay(ServiceOccupancy const& occupancy) const
{
    auto const hold = std::clamp(std::chrono::duration_cast<Milliseconds>(occupancy.hold), minHold, maxRetryDelay / 2);
    return hold + Milliseconds(randomBelow(m_random, static_cast<uint64_t>(hold.count())));
}

}

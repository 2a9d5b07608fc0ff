#pragma once

#include <LibBase/Time.h>
#include <cstddef>

namespace Stagepost {

// The share of requests that an upstream accepts out of those whose context's rendezvous
// order it leads; the rest are sent to other upstreams. If counts are older than the hold
// time, sending all or none by the latest count makes the load oscillate, as all daemons
// leave and return to an upstream at the same time. The share controls the load instead: the
// observed load divided by the recent share estimates the load at a share of 1.
class AcceptedShare {
public:
    // Updates the share from the observed load, so that the load approaches the target.
    void adjust(double load, double target, Microseconds averagingPeriod, Instant now);

    double value() const { return m_share; }
    // Estimated load of the upstream if it accepted all of its requests.
    double demand() const { return m_demand; }

private:
    double m_share { 1 };
    // Moving mean of the share over the averaging period, in which the current load arrived.
    double m_meanShare { 1 };
    double m_demand { 0 };
    Instant m_adjustedAt;
};

}

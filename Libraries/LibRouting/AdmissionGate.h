#pragma once

#include <LibBase/Hooks.h>
#include <LibBase/Time.h>

namespace Stagepost {

// Utilisation of a service's upstreams.
struct ServiceOccupancy {
    // Requests at the upstreams, running and waiting, per slot; 1 is full.
    double perSlot { 0 };
    // Mean time for which an upstream holds a request.
    Microseconds hold { 0 };
    // Whether the counts are recent enough, compared to the hold time, to show queues.
    // Otherwise queues build up and drain between two counts.
    bool isCurrent { false };
};

// Load shedding: refuses a share of the requests while a service is overloaded, so that the
// admitted ones are still answered in time. Without it the queue grows for as long as the
// surge lasts, until no request is answered in time. The refused share rises gradually with
// the load: if every daemon refused all or none by counts that are a second old, the load
// would oscillate between empty and overfull.
class AdmissionGate {
public:
    explicit AdmissionGate(RandomHook random)
        : m_random(std::move(random))
    {
    }

    // Priority 0 is the most urgent.
    bool admits(ServiceOccupancy const&, unsigned priority) const;

    // The time after which a refused client is told to retry: one to two hold times within
    // fixed bounds, randomised so that clients don't all retry at once.
    Milliseconds retryDelay(ServiceOccupancy const&) const;

    // The share of requests that is refused, from 0 to 1.
    static double refusedShare(ServiceOccupancy const&, unsigned priority);

private:
    RandomHook m_random;
};

}

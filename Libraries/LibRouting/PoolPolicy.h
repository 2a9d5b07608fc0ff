#pragma once

#include <LibBase/Time.h>
#include <cstddef>

namespace Stagepost {

// The routing settings of one pool of upstreams.
struct PoolPolicy {
    // Upper bound on one upstream's load, as a multiple of the pool's mean load.
    double loadMultiple { 1.25 };
    // Fraction by which admission stays below loadMultiple, because the mean can fall
    // while admitted requests are still running.
    double admissionMargin { 0.05 };
    // Lower bound on the cap whatever the mean load is, so that an idle pool can start.
    size_t minCap { 8 };
    size_t maxInFlight { 256 };
    // Slots below the cap that are reserved for chats whose context the upstream holds,
    // in units of sqrt(mean load), the standard deviation of randomly distributed loads.
    double newChatReserve { 0.5 };
    // Number of upstreams that a request tries, in the chat's rendezvous order.
    size_t candidates { 6 };
    size_t queueLength { 512 };
    // Minimum share of freed slots that goes to queued bulk requests.
    double bulkShare { 0.1 };
    // Slow-start time of an upstream after its return, until it gets its full cap.
    Microseconds returnRamp { 10000000 };
    size_t breakerFailures { 5 };
    Microseconds breakerPause { 1000000 };
    // Time to recompute one token of lost context. A request queues at the upstream
    // that holds its context for at most the time that recomputing it would take.
    Microseconds recomputePerToken { 200 };
};

}

#pragma once

#include <LibRouting/PlacementRequest.h>
#include <cstdint>
#include <vector>

namespace Stagepost::Measure {

// The size of the simulated fleet: one user's current fleet, or one region's share of the target fleet.
struct FleetSize {
    char const* name { "today" };
    size_t halls { 3 };
    size_t daemons { 6 };
    size_t engines { 10 };
    double requestsPerSecond { 8 };
    size_t organisations { 10 };
    double seconds { 600 };
    size_t maxInFlight { 24 };
    double margin { 0.1 };
};

// One request of the trace. Every policy is given the same trace.
struct TracedRequest {
    double at { 0 };
    uint64_t chat { 0 };
    size_t organisation { 0 };
    Priority priority { Priority::Bulk };
    size_t entry { 0 };
    uint32_t contextTokens { 0 };
    uint32_t newTokens { 0 };
    uint32_t answerTokens { 0 };
};

struct WorkloadOptions {
    uint64_t seed { 1 };
    // Factor by which the first organisation exceeds its usual rate of new chats from surgeFrom to surgeTo.
    double surge { 1 };
    double surgeFrom { 0 };
    double surgeTo { 0 };
};

// Generates chats of several turns with pauses in between. A few organisations send most of them, and one
// chat in ten is urgent and has short answers.
std::vector<TracedRequest> makeWorkload(FleetSize const&, WorkloadOptions const&);

// The duration of a request per answer token and per prompt token that the engine has not cached.
inline constexpr double secondsPerToken = 0.052;
inline constexpr double prefillSecondsPerToken = 0.0001;

}

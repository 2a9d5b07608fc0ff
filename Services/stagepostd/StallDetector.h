#pragma once

#include <LibBase/Metrics.h>
#include <LibBase/Time.h>
#include <optional>

namespace Stagepost {

// Detects that this process did not run for a while, because its VM was suspended or because it was
// stopped or got no CPU time. Such stalls explain many errors that callers see, and no other
// process can detect them.
class StallDetector {
public:
    struct Bounds {
        // Expected time between two checks.
        Microseconds interval { 100000 };
        // State that is older may list upstreams that have left. After a longer stall the state is
        // confirmed again before it is used.
        Microseconds revalidateAfter { 2000000 };
    };

    StallDetector(Metrics& metrics, Bounds bounds)
        : m_metrics(metrics)
        , m_bounds(bounds)
    {
    }

    void start(Instant now);
    // Called before any event is handled. Returns the length of the stall since the last check, or
    // zero if it was too short for callers to notice. The number of open requests is only logged.
    Microseconds check(Instant now, size_t openRequests);
    // The periodic check.
    Microseconds tick(Instant now, size_t openRequests);
    // Whether there was a long stall and the state has not been confirmed since. Gives up after
    // a timeout: if nothing confirms the state, the daemon is cut off and continues with the state
    // that it has.
    bool needsRevalidation(std::optional<Instant> provenAt, Instant now) const;

private:
    Metrics& m_metrics;
    Bounds m_bounds;
    Instant m_lastCheckAt;
    // Total time for which the VM had been suspended at the last stall, or at the start.
    Microseconds m_suspendedTime { 0 };
    // End of the last stall that requires the state to be confirmed again.
    std::optional<Instant> m_resumedAt;
};

}

#pragma once

#include <LibBase/Metrics.h>
#include <LibBase/Time.h>
#include <optional>

namespace Stagepost {

// Notices that this process stood still: its VM was suspended, or it was frozen or starved of its
// processor. That explains much of what its callers saw, and it alone can tell.
class StallDetector {
public:
    struct Bounds {
        // From one check to the next.
        Microseconds interval { 100000 };
        // Beliefs that are older may name who has left: after standing still for longer they are
        // proven anew before they are acted on.
        Microseconds revalidateAfter { 2000000 };
    };

    StallDetector(Metrics& metrics, Bounds bounds)
        : m_metrics(metrics)
        , m_bounds(bounds)
    {
    }

    void start(Instant now);
    // Before anything is handled. The result is how long it has stood still since it was looked
    // last; zero where nobody noticed. The number of open requests is for the log.
    Microseconds check(Instant now, size_t openRequests);
    // A check that came at its interval.
    Microseconds tick(Instant now, size_t openRequests);
    // Whether it has stood still for long, and nothing it believes is proven since. Not for
    // ever: where nobody proves anything the daemon is cut off, and goes on with what it has.
    bool needsRevalidation(std::optional<Instant> provenAt, Instant now) const;

private:
    Metrics& m_metrics;
    Bounds m_bounds;
    Instant m_lastCheckAt;
    // Of the VM, until the last check.
    Microseconds m_suspendedTime { 0 };
    // After it stood still for long.
    std::optional<Instant> m_resumedAt;
};

}

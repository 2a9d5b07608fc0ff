#pragma once

#include <LibBase/Time.h>
#include <array>
#include <cstdint>

namespace Stagepost {

// Keeps the retries of a whole fleet to a share of its requests, without any
// daemon asking another: where each spends no more than that share of its own
// requests, the fleet's sum is within it as well. What the fleet may spend on top
// is left to the daemons by equal shares; the share of one that is away is lost.
class RetryBudget {
public:
    struct Bounds {
        // Retries for each request.
        double ratio { 0.2 };
        // Retries in a window that the fleet may spend whatever its requests are.
        double slack { 0 };
        Microseconds window { 10000000 };
    };

    explicit RetryBudget(Bounds bounds)
        : m_bounds(bounds)
    {
    }

    // This daemon's part of the fleet's slack, from 0 to 1.
    void setShare(double share) { m_share = share; }

    void requested(Instant now) { slotAt(now).requests += 1; }
    bool mayRetry(Instant now) const;
    void retried(Instant now) { slotAt(now).retries += 1; }

private:
    // The window slides in steps of an eighth, and one step is kept on top so
    // that no full window is ever missed.
    static constexpr size_t slotCount = 9;
    // Left unspent, since the retries of a request may be counted in a window
    // that its own arrival has left.
    static constexpr double usableShare = 0.85;

    struct Slot {
        int64_t number { -1 };
        uint32_t requests { 0 };
        uint32_t retries { 0 };
    };

    int64_t numberAt(Instant now) const { return now.time_since_epoch() / (m_bounds.window / int64_t { slotCount - 1 }); }
    Slot& slotAt(Instant now);

    Bounds m_bounds;
    double m_share { 0 };
    std::array<Slot, slotCount> m_slots {};
};

}

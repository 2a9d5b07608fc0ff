#pragma once

#include <LibBase/Time.h>
#include <array>
#include <cstdint>
#include <functional>

namespace Stagepost {

// Limits the fleet's retries to a ratio of its requests without communication between
// daemons: if every daemon limits its retries to that ratio of its own requests, the sum
// over the fleet stays within the ratio too. Of the fleet-wide slack, every daemon uses a
// part. The part of a daemon that is down goes unused.
class RetryBudget {
public:
    struct Bounds {
        // Allowed retries per request.
        double ratio { 0.2 };
        // Retries per window that the whole fleet may make in addition, regardless of the
        // number of requests.
        double slack { 0 };
        Microseconds window { 10000000 };
    };

    // What has been spent in the current window, and what it allows.
    struct Usage {
        double requests { 0 };
        double retries { 0 };
        // This daemon's part of the slack.
        double slack { 0 };
    };

    // Returns this daemon's part of the slack at the given time, from 0 to 1. The parts that all daemons
    // use within a window must add up to at most 1.
    using ShareHook = std::function<double(Instant)>;

    RetryBudget(Bounds bounds, ShareHook slackShare)
        : m_bounds(bounds)
        , m_slackShare(std::move(slackShare))
    {
    }

    void recordRequest(Instant now) { slotAt(now).requests += 1; }
    bool mayRetry(Instant now) const;
    Usage usage(Instant now) const;
    void recordRetry(Instant now) { slotAt(now).retries += 1; }

private:
    // The window slides in steps of one eighth. The ninth slot keeps the retries of the
    // partly expired step, so that they are never undercounted.
    static constexpr size_t slotCount = 9;
    // The rest of the budget stays unused as a margin, because a retry may fall into a
    // later window than the request that it belongs to.
    static constexpr double usableShare = 0.85;

    struct Slot {
        int64_t number { -1 };
        uint32_t requests { 0 };
        uint32_t retries { 0 };
    };

    int64_t numberAt(Instant now) const { return now.time_since_epoch() / (m_bounds.window / int64_t { slotCount - 1 }); }
    Slot& slotAt(Instant now);

    Bounds m_bounds;
    ShareHook m_slackShare;
    std::array<Slot, slotCount> m_slots {};
};

}

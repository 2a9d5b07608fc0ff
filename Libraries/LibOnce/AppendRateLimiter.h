#pragma once

#include <LibBase/Time.h>
#include <algorithm>
#include <cstddef>

namespace Stagepost {

// Limits the rate of appends to the log, so that the whole fleet stays within the
// log's capacity, and backs off exponentially while appends fail. Half of each
// backoff is jitter, so that daemons don't retry at the same time.
class AppendRateLimiter {
public:
    static constexpr Microseconds initialBackoff { 100000 };
    static constexpr Microseconds maxBackoff { 5000000 };

    explicit AppendRateLimiter(double appendsPerSecond)
        : m_interval(static_cast<int64_t>(1e6 / appendsPerSecond))
    {
    }

    void setRate(double appendsPerSecond) { m_interval = Microseconds(static_cast<int64_t>(1e6 / appendsPerSecond)); }

    // Returns whether an append is allowed now, and counts it if so.
    bool tryAcquire(Instant now);
    // The earliest time of the next append.
    Instant nextAllowedAt() const { return std::max(m_nextAt, m_backoffUntil); }

    void recordSuccess() { m_failures = 0; }
    // Starts or doubles the backoff. The random number selects the jitter.
    void recordFailure(Instant now, uint64_t random);

private:
    Microseconds m_interval;
    Instant m_nextAt;
    Instant m_backoffUntil;
    unsigned m_failures { 0 };
};

}

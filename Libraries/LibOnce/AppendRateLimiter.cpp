#include <LibOnce/AppendRateLimiter.h>

namespace Stagepost {

bool AppendRateLimiter::tryAcquire(Instant now)
{
    if (now < nextAllowedAt())
        return false;
    m_nextAt = now + m_interval;
    return true;
}

void AppendRateLimiter::recordFailure(Instant now, uint64_t random)
{
    constexpr unsigned maxDoublings = 6;
    auto const backoff = std::min(maxBackoff, initialBackoff * (1u << std::min(m_failures, maxDoublings)));
    ++m_failures;
    auto const half = backoff / 2;
    m_backoffUntil = now + half + Microseconds(static_cast<int64_t>(random % static_cast<uint64_t>(half.count())));
}

}

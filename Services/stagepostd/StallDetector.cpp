#include <stagepostd/StallDetector.h>

#include <LibBase/Log.h>
#include <utility>

namespace Stagepost {

namespace {

    // Shorter stalls are not noticed by callers that read a stream.
    constexpr Milliseconds stallThreshold { 50 };
    // The state is confirmed by a read of the store, or for most daemons by asking another one. At
    // two reads a second this takes half a second.
    constexpr Milliseconds revalidationTimeout { 1000 };

}

void StallDetector::start(Instant now)
{
    m_lastCheckAt = now;
    m_suspendedTime = MonotonicClock::suspendedTime();
}

Microseconds StallDetector::check(Instant now, size_t openRequests)
{
    auto const stall = now - m_lastCheckAt - m_bounds.interval;
    if (stall <= stallThreshold)
        return {};
    m_lastCheckAt = now;
    m_metrics.observe("stagepost_stall_seconds", stall);
    logEvent(LogLevel::Warning, "stalled", { { "late_ms", stall.count() / 1000 }, { "open", openRequests } });
    auto const suspendedTime = MonotonicClock::suspendedTime();
    auto const suspended = suspendedTime - std::exchange(m_suspendedTime, suspendedTime);
    if (suspended > stallThreshold) {
        m_metrics.observe("stagepost_suspended_seconds", suspended);
        logEvent(LogLevel::Warning, "resumed", { { "suspended_ms", suspended.count() / 1000 }, { "open", openRequests } });
    }
    if (stall > m_bounds.revalidateAfter)
        m_resumedAt = now;
    return stall;
}

Microseconds StallDetector::tick(Instant now, size_t openRequests)
{
    auto const stall = check(now, openRequests);
    m_lastCheckAt = now;
    return stall;
}

bool StallDetector::needsRevalidation(std::optional<Instant> provenAt, Instant now) const
{
    if (!m_resumedAt || now - *m_resumedAt > revalidationTimeout)
        return false;
    return !provenAt || *provenAt < *m_resumedAt;
}

}

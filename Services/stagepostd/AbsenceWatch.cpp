#include <stagepostd/AbsenceWatch.h>

#include <LibBase/Log.h>
#include <utility>

namespace Stagepost {

namespace {

    // A stall that callers of a stream may notice.
    constexpr Milliseconds longestUnnoticed { 50 };
    // A proof takes a read of the store, and an ask for most, within half a second at the pace of
    // two reads a second.
    constexpr Milliseconds proofPatience { 1000 };

}

void AbsenceWatch::start(Instant now)
{
    m_lookedAt = now;
    m_suspendedTime = MonotonicClock::suspendedTime();
}

Microseconds AbsenceWatch::look(Instant now, size_t openRequests)
{
    auto const late = now - m_lookedAt - m_bounds.interval;
    if (late <= longestUnnoticed)
        return {};
    m_lookedAt = now;
    m_metrics.observe("stagepost_stall_seconds", late);
    logEvent(LogLevel::Warning, "stalled", { { "late_ms", late.count() / 1000 }, { "open", openRequests } });
    auto const suspendedTime = MonotonicClock::suspendedTime();
    auto const suspended = suspendedTime - std::exchange(m_suspendedTime, suspendedTime);
    if (suspended > longestUnnoticed) {
        m_metrics.observe("stagepost_suspended_seconds", suspended);
        logEvent(LogLevel::Warning, "resumed", { { "suspended_ms", suspended.count() / 1000 }, { "open", openRequests } });
    }
    if (late > m_bounds.oldestBelief)
        m_resumedAt = now;
    return late;
}

Microseconds AbsenceWatch::tick(Instant now, size_t openRequests)
{
    auto const late = look(now, openRequests);
    m_lookedAt = now;
    return late;
}

bool AbsenceWatch::awaitsProof(std::optional<Instant> provenAt, Instant now) const
{
    if (!m_resumedAt || now - *m_resumedAt > proofPatience)
        return false;
    return !provenAt || *provenAt < *m_resumedAt;
}

}

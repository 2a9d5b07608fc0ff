#include <LibRouting/BrittleLimit.h>

#include <algorithm>

namespace Stagepost {

namespace {

    // An upstream says so in all its answers, so silence for longer means that nothing is sent there.
    constexpr Microseconds announcementLifetime { 10000000 };
    // Older reports do not show what waits now.
    constexpr Microseconds reportLifetime { 500000 };
    // Between the header of an answer and its end.
    constexpr Microseconds maxAnswerTime { 50000 };
    // The time in which the limit rises by one after a rejection. Each step that is too high costs a
    // rejection, of which an upstream tolerates some in a second.
    constexpr Microseconds stepDuration { 2000000 };
    // An upstream falls over by its rejections within that time.
    constexpr Microseconds rejectionWindow { 1000000 };

}

bool BrittleLimit::isActive(Instant now) const
{
    return m_announcedAt && now - *m_announcedAt <= announcementLifetime;
}

void BrittleLimit::reported(UpstreamLoadReport const& report, Instant now)
{
    m_report = report;
    m_reportedAt = now;
}

// Without a report the load at the rejection is not known: daemons' counts are too old.
void BrittleLimit::rejected(Instant now)
{
    m_lastRejectionAt = now;
    if (!m_report || now - m_reportedAt > maxAnswerTime)
        return;
    m_rejectedLoad = m_report->running + m_report->waiting;
    m_rejectedAt = now;
}

bool BrittleLimit::mayHaveRejected(Instant now) const
{
    auto const isRecent = [&](std::optional<Instant> time) { return time && now - *time <= rejectionWindow; };
    return isRecent(m_lastRejectionAt) || isRecent(m_filledAt);
}

size_t BrittleLimit::limit(size_t slots, Instant now) const
{
    auto result = slots;
    if (m_rejectedLoad) {
        auto const steps = static_cast<size_t>((now - m_rejectedAt) / stepDuration);
        result = std::min(result, *m_rejectedLoad - std::min<size_t>(*m_rejectedLoad, 1) + steps);
    }
    if (m_report && m_report->waiting && now - m_reportedAt <= reportLifetime)
        result = std::min(result, m_report->running + m_report->waiting);
    return std::max<size_t>(1, result);
}

}

#include <LibRouting/UpstreamBackoff.h>

#include <algorithm>

namespace Stagepost {

namespace {

    // A trial is allowed after this fraction of the back-off: one half.
    constexpr int trialDivisor = 2;

}

void UpstreamBackoff::requested(Microseconds duration, Instant now)
{
    // A back-off that overlaps an active one extends it without scheduling a trial of its own.
    if (!isActive(now))
        m_nextTrialAt = now + duration / trialDivisor;
    m_until = std::max(m_until, now + duration);
}

Microseconds UpstreamBackoff::remaining(Instant now) const
{
    return std::max(Microseconds(0), m_until - now);
}

}

#include <LibRouting/UpstreamRest.h>

#include <algorithm>

namespace Stagepost {

namespace {

    // Of a rest, what goes by before a request may be tried.
    constexpr int shareBeforeTrial = 2;

}

void UpstreamRest::asked(Microseconds duration, Instant now)
{
    // A rest within another one brings no further trial.
    if (!isResting(now))
        m_nextTrialAt = now + duration / shareBeforeTrial;
    m_until = std::max(m_until, now + duration);
}

Microseconds UpstreamRest::left(Instant now) const
{
    return std::max(Microseconds(0), m_until - now);
}

}

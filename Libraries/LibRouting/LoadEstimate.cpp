#include <LibRouting/LoadEstimate.h>

#include <algorithm>
#include <cmath>

namespace Stagepost {

namespace {

    // The time in which a report loses two thirds of its weight: about as long as
    // a streamed answer takes, after which other requests run there.
    constexpr double trustSeconds = 3;

}

void LoadEstimate::reported(UpstreamLoadReport const& report, Instant now)
{
    auto const all = static_cast<double>(report.running + report.waiting);
    m_others = std::max(0.0, all - static_cast<double>(m_own));
    m_reportedAt = now;
}

void LoadEstimate::othersCounted(size_t count, Instant now)
{
    m_others = static_cast<double>(count);
    m_reportedAt = now;
}

double LoadEstimate::others(Instant now) const
{
    return m_others * std::exp(-asSeconds(now - m_reportedAt) / trustSeconds);
}

}

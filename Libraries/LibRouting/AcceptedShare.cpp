#include <LibRouting/AcceptedShare.h>

#include <algorithm>
#include <cmath>

namespace Stagepost {

namespace {

    // The share never reaches 0, since the demand can't be estimated from the load of an
    // upstream that accepts nothing.
    constexpr double minShare = 0.05;

}

void AcceptedShare::adjust(double load, double target, Microseconds averagingPeriod, Instant now)
{
    auto const kept = std::exp(-asSeconds(now - m_adjustedAt) / asSeconds(averagingPeriod));
    m_meanShare = std::lerp(m_share, m_meanShare, kept);
    m_adjustedAt = now;
    m_demand = load / m_meanShare;
    m_share = m_demand <= target ? 1 : std::max(minShare, target / m_demand);
}

}

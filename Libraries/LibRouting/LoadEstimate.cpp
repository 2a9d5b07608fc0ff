#include <LibRouting/LoadEstimate.h>

#include <algorithm>
#include <cmath>

namespace Stagepost {

namespace {

    // Averaging period in hold times. Counts one hold time apart are roughly independent; the
    // mean of four deviates half as much as a single one, and a longer period would follow
    // changes too slowly.
    constexpr int holdsInPeriod = 4;
    // Limits of the averaging period. With short hold times, counts arrive less often than they
    // change; with long ones, the load itself changes within a few seconds.
    constexpr Microseconds minPeriod { 1000000 };
    constexpr Microseconds maxPeriod { 5000000 };
    // Time constant of the decay of other daemons' counts while no new ones arrive, since those
    // daemons may have stopped or be partitioned from this one.
    constexpr double decayTimeSeconds = 20;

}

double remainingFraction(Microseconds age, Microseconds hold)
{
    return std::exp(-asSeconds(std::max(age, Microseconds(0))) / asSeconds(std::max(hold, Microseconds(1))));
}

Microseconds LoadEstimate::averagingPeriod(Microseconds hold)
{
    return std::clamp(holdsInPeriod * hold, minPeriod, maxPeriod);
}

void LoadEstimate::observe(double others, Instant countedAt, Microseconds hold, Instant now)
{
    m_meanOthers = m_observedAt ? std::lerp(others, m_meanOthers, remainingFraction(now - *m_observedAt, averagingPeriod(hold))) : others;
    m_observedAt = now;
    if (countedAt < m_countedAt)
        return;
    m_others = others;
    m_countedAt = countedAt;
}

void LoadEstimate::reported(UpstreamLoadReport const& report, Microseconds hold, Instant now)
{
    auto const all = static_cast<double>(report.running + report.waiting);
    observe(std::max(0.0, all - static_cast<double>(m_own)), now, hold, now);
}

void LoadEstimate::othersCounted(size_t count, Instant countedAt, Microseconds hold, Instant now)
{
    observe(static_cast<double>(count), countedAt, hold, now);
}

double LoadEstimate::othersWeight(Instant now) const
{
    return m_observedAt ? std::exp(-asSeconds(now - *m_observedAt) / decayTimeSeconds) : 0;
}

double LoadEstimate::mean(Instant now) const
{
    return static_cast<double>(m_own) + m_meanOthers * othersWeight(now);
}

double LoadEstimate::expected(Microseconds hold, Instant now) const
{
    auto const others = std::lerp(m_meanOthers, m_others, remainingFraction(now - m_countedAt, hold));
    return static_cast<double>(m_own) + others * othersWeight(now);
}

}

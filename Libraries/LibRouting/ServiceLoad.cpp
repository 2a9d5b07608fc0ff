#include <LibRouting/ServiceLoad.h>

#include <LibRouting/LoadEstimate.h>
#include <algorithm>
#include <cmath>

namespace Stagepost {

namespace {

    // Weight of the latest request in the mean hold time.
    constexpr double latestHoldWeight = 0.05;
    // Used until the first request has ended.
    constexpr Microseconds assumedHold { 1000000 };
    // Weight of the latest counts in the means of their age and of the dispersion, which thus
    // cover about five seconds.
    constexpr double latestCountsWeight = 0.2;
    // A randomly fluctuating load that lies this many standard deviations below a limit exceeds
    // it 1/400 of the time. The rest of the tolerance is left to the first seconds, in which no
    // counts have arrived and the first prompts of all daemons are read.
    constexpr double marginDeviations = 2.8;
    // A randomly fluctuating load is this many standard deviations above its mean 1/1000 of the
    // time; a higher load is a surge.
    constexpr double surgeDeviations = 3;
    // If the mean is this many standard deviations below the previous one, loads are falling.
    constexpr double fallDeviations = 2;
    // Mean absolute value of a standard normal variable.
    constexpr double meanAbsoluteNormalDeviation = 0.8;
    // The deviation from a lower mean is not normal, as the load is zero most of the time.
    constexpr double minMean = 1;
    // The mean load that upstreams reach, as a fraction of a maximum imposed on each of them.
    constexpr double achievedFillFraction = 0.85;
    // Where loads are to be even: the requests by which an upstream may exceed the mean, and those by which
    // it stays below the users' limit. With 2 and 1, up to 2.5 % of the arrivals in a burst were beyond it.
    constexpr double evenLoadSlack = 1;
    constexpr double evenLoadMargin = 2;
    // Limits of the dispersion: 1 is that of independent requests; a value above the upper limit
    // is caused by a surge.
    constexpr double minDispersion = 1;
    constexpr double maxDispersion = 4;

    Microseconds interpolated(Microseconds mean, Microseconds newest, double weight)
    {
        auto const moved = std::lerp(static_cast<double>(mean.count()), static_cast<double>(newest.count()), weight);
        return Microseconds(std::llround(moved));
    }

    // Reduces a limit to the number of slots, or to the mean load if that is higher. Queueing for
    // the upstream that holds the context doesn't pay while others have free slots, where the
    // prompt would be read in the meantime.
    double limitedToSlots(double bound, double mean, size_t slots)
    {
        return std::min(bound, std::max(static_cast<double>(slots), mean));
    }

    CountedLoad sumOf(std::vector<CountedLoad> const& loads)
    {
        CountedLoad sum;
        for (auto const& load : loads) {
            sum.counted += load.counted;
            sum.mean += load.mean;
        }
        return sum;
    }

}

// The n-th request has a weight of at least 1/(n + 1), so that the first ones replace the
// assumed hold time quickly. With the fixed weight, a daemon that sees two short calls a second
// would rely on the assumption for twenty seconds, take requests that have long ended for ones
// still in flight, and refuse others because of them.
void ServiceLoad::requestEnded(Microseconds held)
{
    ++m_endedRequests;
    auto const weight = m_bounds.learnsHoldAtOnce ? std::max(latestHoldWeight, 1 / static_cast<double>(m_endedRequests + 1)) : latestHoldWeight;
    m_hold = std::max(Microseconds(1), interpolated(hold(), held, weight));
}

// Counts are used until the next ones arrive, so their mean age in use is higher by half of the
// interval.
void ServiceLoad::countsReceived(Microseconds age, Instant now)
{
    auto const inUse = m_countedAt ? age + (now - *m_countedAt) / 2 : age;
    m_countsAge = m_countedAt ? interpolated(m_countsAge, inUse, latestCountsWeight) : inUse;
    m_countedAt = now;
}

// For all upstreams together the latest counts suffice, since fluctuations average out.
void ServiceLoad::updateLoads(std::vector<CountedLoad> const& staying, std::vector<CountedLoad> const& leaving, OtherVersionLoads const& otherVersions)
{
    if (staying.empty())
        return;
    auto const sum = sumOf(staying);
    auto const& [candidates, excluded] = otherVersions;
    auto const taking = sum.counted + sumOf(candidates).counted;
    auto const all = taking + sumOf(leaving).counted + sumOf(excluded).counted;
    auto const takingCount = static_cast<double>(staying.size() + candidates.size());
    auto const count = takingCount + static_cast<double>(leaving.size() + excluded.size());
    updateDispersion(staying);
    m_mean = sum.counted / static_cast<double>(staying.size());
    // While a hall is drained, its upstreams soon hold nothing. The users' limit refers to the mean
    // over all upstreams, and one derived from the mean of those that stay would exceed it. The load
    // of candidates remains, so it counts on both sides.
    auto const limitMean = std::min(taking / takingCount, all / count);
    m_predictedMean = predictedMean(limitMean, all);
    m_limitMean = limitMean;
    m_stayingShare = static_cast<double>(staying.size()) / count;
    m_hasOtherVersions = !candidates.empty() || !excluded.empty();
    m_updatedAt = m_countedAt;
    m_growth = sum.mean > 0 ? sum.counted / sum.mean : 1;
    m_target = targetWithMargin();
}

// When a surge ends, the mean falls as requests end, and an admission limit derived from the mean
// of a second ago would exceed the users' limit. So a falling mean is extrapolated by the age of
// the counts, unless random fluctuation explains the fall.
double ServiceLoad::predictedMean(double mean, double counted) const
{
    if (!m_bounds.foreseesFall || !m_updatedAt || !m_countedAt || *m_countedAt <= *m_updatedAt || mean <= 0)
        return mean;
    auto const randomFall = fallDeviations / std::sqrt(std::max(1.0, counted));
    auto const fall = std::log(m_limitMean / mean);
    if (!(fall > randomFall))
        return mean;
    auto const perSecond = std::min(fall / asSeconds(*m_countedAt - *m_updatedAt), 1 / asSeconds(hold()));
    return mean * std::exp(-perSecond * asSeconds(m_countsAge));
}

// Requests of one context arrive in bursts, and an upstream that reads a long prompt delays its
// other requests, so loads vary more than with independent requests. The dispersion is derived
// from the mean absolute deviation, since a single surge would dominate the variance.
void ServiceLoad::updateDispersion(std::vector<CountedLoad> const& loads)
{
    double deviations = 0;
    double independent = 0;
    for (auto const& load : loads) {
        if (load.mean < minMean)
            continue;
        deviations += std::abs(load.counted - load.mean);
        independent += meanAbsoluteNormalDeviation * std::sqrt(load.mean);
    }
    if (independent == 0)
        return;
    auto const ratio = deviations / independent;
    m_dispersion = std::lerp(m_dispersion, std::clamp(ratio * ratio, minDispersion, maxDispersion), latestCountsWeight);
}

Microseconds ServiceLoad::hold() const
{
    return m_hold.count() ? m_hold : assumedHold;
}

bool ServiceLoad::areCountsFresh() const
{
    return remainingFraction(m_countsAge, hold()) >= m_bounds.minRemainingForCounts;
}

bool ServiceLoad::areQueuesKnown() const
{
    return remainingFraction(m_countsAge, hold()) >= m_bounds.minRemainingForQueues;
}

// The ratio of the mean that the users' limit refers to, and the mean of staying upstreams.
double ServiceLoad::limitMeanRatio() const
{
    return m_mean > 0 ? m_limitMean / m_mean : 1;
}

double ServiceLoad::contextLoadLimit(double mean) const
{
    return (1 + m_bounds.usableExcess * (m_bounds.loadMultiple - 1)) * limitMeanRatio() * mean + m_bounds.usableSlack;
}

double ServiceLoad::contextLoadLimit(double mean, size_t slots) const
{
    return limitedToSlots(contextLoadLimit(mean), mean, slots);
}

size_t ServiceLoad::ownerGrantLimit(size_t slots) const
{
    auto const bound = (1 + m_bounds.usableExcess * (m_bounds.loadMultiple - 1)) * m_predictedMean + m_bounds.loadSlack;
    return static_cast<size_t>(limitedToSlots(std::max(bound, evenLoadLimit()), m_predictedMean, slots));
}

// Beside an idle version, the usable part of the excess over the mean of all upstreams may lie below the
// mean of the serving ones. Owners would then grant almost nothing, and requests would be placed without
// grants, unevenly. So owners grant up to the even distribution within the users' limit.
double ServiceLoad::evenLoadLimit() const
{
    if (!m_hasOtherVersions)
        return 0;
    return std::min(m_mean + evenLoadSlack, m_bounds.loadMultiple * m_predictedMean + m_bounds.loadSlack - evenLoadMargin);
}

// The maximum n for which the users' limit is n - 1 when every staying upstream is filled up to
// n, as evenly as can be expected. A maximum derived from the counted mean would lower that mean
// and thereby itself, again and again.
std::optional<size_t> ServiceLoad::maxLoad() const
{
    auto const raised = m_bounds.loadMultiple * achievedFillFraction * m_stayingShare;
    if (raised >= 1)
        return {};
    return static_cast<size_t>((m_bounds.loadSlack + 1) / (1 - raised));
}

double ServiceLoad::target(size_t slots) const
{
    return limitedToSlots(m_target, m_mean, slots);
}

// The mean load at which an upstream hardly ever exceeds the users' limit. The part of the load
// that has changed since the last count fluctuates randomly; its variance is the number of those
// requests times the dispersion. The load x solves x + c * sqrt(x) = limit.
double ServiceLoad::targetWithMargin() const
{
    auto const allowed = m_bounds.loadMultiple * m_limitMean + m_bounds.loadSlack;
    auto const margin = marginDeviations * std::sqrt(m_dispersion * (1 - remainingFraction(m_countsAge, hold())));
    auto const root = (std::sqrt(margin * margin + 4 * allowed) - margin) / 2;
    return std::min(contextLoadLimit(m_mean), root * root);
}

// A count too far above the mean for random fluctuation shows that a surge to this upstream has
// begun, which its moving mean would show only seconds later.
double ServiceLoad::adjustedLoad(CountedLoad const& load) const
{
    auto const mean = m_growth * load.mean;
    auto const surgeThreshold = mean + surgeDeviations * std::sqrt(m_dispersion * std::max(minMean, mean));
    return load.counted > surgeThreshold ? load.counted : mean;
}

}

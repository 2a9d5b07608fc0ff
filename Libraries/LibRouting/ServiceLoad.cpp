#include <LibRouting/ServiceLoad.h>

#include <LibRouting/LoadEstimate.h>
#include <algorithm>
#include <cmath>

namespace Stagepost {

namespace {

    // The weight of the newest request in the mean of how long requests stay.
    constexpr double newestHoldWeight = 0.05;
    // Until the first request has ended.
    constexpr Microseconds assumedHold { 1000000 };
    // The weight of the newest counts in the means of how old counts are and of how far
    // loads scatter: some five seconds' worth.
    constexpr double newestCountsWeight = 0.2;
    // So many standard deviations below a bound, a load that comes and goes by
    // chance exceeds it in 1 of 400 moments. What is left is for the seconds before
    // counts come, while all daemons read their first prompts.
    constexpr double deviationsBelowBound = 2.8;
    // So many above the mean a load by chance is in 1 of a thousand moments.
    constexpr double deviationsOfRush = 3;
    // So many below the mean before, loads have begun to fall.
    constexpr double deviationsOfFall = 2;
    // The mean of the absolute value of a normal deviate.
    constexpr double meanOfNormalDeviation = 0.8;
    // A load of less is mostly none at all, which is no normal deviation.
    constexpr double leastUsual = 1;
    // Where upstreams may not hold more than so many each, what they hold in the mean of that.
    constexpr double evenness = 0.85;
    // No steadier than independent requests; beyond the other a rush is under way.
    constexpr double leastSpread = 1;
    constexpr double mostSpread = 4;

    Microseconds movedTowards(Microseconds mean, Microseconds newest, double weight)
    {
        auto const moved = std::lerp(static_cast<double>(mean.count()), static_cast<double>(newest.count()), weight);
        return Microseconds(std::llround(moved));
    }

    // No upstream queues a request for its context's sake while others have places
    // free: what waits there would be read elsewhere meanwhile.
    double withoutQueue(double bound, double mean, size_t places)
    {
        return std::min(bound, std::max(static_cast<double>(places), mean));
    }

    CountedLoad sumOf(std::vector<CountedLoad> const& loads)
    {
        CountedLoad sum;
        for (auto const& load : loads) {
            sum.counted += load.counted;
            sum.usual += load.usual;
        }
        return sum;
    }

}

// The first ones count as much as all before them and the assumption: else a daemon that sees
// two short calls a second would go by the assumption for twenty seconds, take counts that are
// long over for requests that are still there, and refuse others for them.
void ServiceLoad::ended(Microseconds held)
{
    ++m_ended;
    auto const weight = m_bounds.learnsHoldAtOnce ? std::max(newestHoldWeight, 1 / static_cast<double>(m_ended + 1)) : newestHoldWeight;
    m_hold = std::max(Microseconds(1), movedTowards(hold(), held, weight));
}

// Counts are used until the next ones come, so on average for half of the time
// between two.
void ServiceLoad::counted(Microseconds age, Instant now)
{
    auto const inUse = m_countedAt ? age + (now - *m_countedAt) / 2 : age;
    m_countsAge = m_countedAt ? movedTowards(m_countsAge, inUse, newestCountsWeight) : inUse;
    m_countedAt = now;
}

// Of all upstreams together the newest counts tell enough: chance levels out.
void ServiceLoad::found(std::vector<CountedLoad> const& staying, std::vector<CountedLoad> const& others)
{
    if (staying.empty())
        return;
    auto const sum = sumOf(staying);
    auto const all = sum.counted + sumOf(others).counted;
    noteSpread(staying);
    m_mean = sum.counted / static_cast<double>(staying.size());
    // Where operators empty a hall, its upstreams soon hold nothing, and a bound by the mean of
    // those that carry their load would be beyond the users'.
    auto const judged = std::min(m_mean, all / static_cast<double>(staying.size() + others.size()));
    m_meanInUse = foreseen(judged, all);
    m_judgedMean = judged;
    m_stayingShare = static_cast<double>(staying.size()) / static_cast<double>(staying.size() + others.size());
    m_foundAt = m_countedAt;
    m_growth = sum.usual > 0 ? sum.counted / sum.usual : 1;
    m_target = targetOfChance();
}

// When a rush ends, the mean falls as requests end, and what is let in by the mean of a second
// ago is beyond the bound. A fall that chance explains is none.
double ServiceLoad::foreseen(double mean, double counted) const
{
    if (!m_bounds.foreseesFall || !m_foundAt || !m_countedAt || *m_countedAt <= *m_foundAt || mean <= 0)
        return mean;
    auto const chance = deviationsOfFall / std::sqrt(std::max(1.0, counted));
    auto const fall = std::log(m_judgedMean / mean);
    if (!(fall > chance))
        return mean;
    auto const perSecond = std::min(fall / asSeconds(*m_countedAt - *m_foundAt), 1 / asSeconds(hold()));
    return mean * std::exp(-perSecond * asSeconds(m_countsAge));
}

// Requests of one context come in clumps, and an upstream that reads a long prompt
// keeps all others waiting, so loads scatter more than independent requests would.
// By the mean deviation, which one rush does not decide, as the variance would.
void ServiceLoad::noteSpread(std::vector<CountedLoad> const& loads)
{
    double deviations = 0;
    double independent = 0;
    for (auto const& load : loads) {
        if (load.usual < leastUsual)
            continue;
        deviations += std::abs(load.counted - load.usual);
        independent += meanOfNormalDeviation * std::sqrt(load.usual);
    }
    if (independent == 0)
        return;
    auto const ratio = deviations / independent;
    m_spread = std::lerp(m_spread, std::clamp(ratio * ratio, leastSpread, mostSpread), newestCountsWeight);
}

Microseconds ServiceLoad::hold() const
{
    return m_hold.count() ? m_hold : assumedHold;
}

bool ServiceLoad::areCountsFresh() const
{
    return shareStillThere(m_countsAge, hold()) >= m_bounds.leastFreshness;
}

bool ServiceLoad::areQueuesKnown() const
{
    return shareStillThere(m_countsAge, hold()) >= m_bounds.leastFreshnessOfQueues;
}

// Of the mean of those that stay, the part by which the users judge.
double ServiceLoad::judgedShare() const
{
    return m_mean > 0 ? m_judgedMean / m_mean : 1;
}

double ServiceLoad::usable(double mean) const
{
    return (1 + m_bounds.usableExcess * (m_bounds.loadMultiple - 1)) * judgedShare() * mean + m_bounds.usableSlack;
}

double ServiceLoad::usable(double mean, size_t places) const
{
    return withoutQueue(usable(mean), mean, places);
}

size_t ServiceLoad::grantable(size_t places) const
{
    auto const bound = (1 + m_bounds.usableExcess * (m_bounds.loadMultiple - 1)) * m_meanInUse + m_bounds.loadSlack;
    return static_cast<size_t>(withoutQueue(bound, m_meanInUse, places));
}

// With so many at each that stays, filled as evenly as can be expected, the mean of all is just
// what allows one more. A bound by counts of the mean instead would follow its own effect down.
std::optional<size_t> ServiceLoad::most() const
{
    auto const raised = m_bounds.loadMultiple * evenness * m_stayingShare;
    if (raised >= 1)
        return {};
    return static_cast<size_t>((m_bounds.loadSlack + 1) / (1 - raised));
}

double ServiceLoad::target(size_t places) const
{
    return withoutQueue(m_target, m_mean, places);
}

// The load, in the mean, with which an upstream hardly ever exceeds what the users
// allow: what has come since it was counted comes and goes by chance, with a
// variance of as many requests.
double ServiceLoad::targetOfChance() const
{
    auto const allowed = m_bounds.loadMultiple * m_judgedMean + m_bounds.loadSlack;
    auto const chance = deviationsBelowBound * std::sqrt(m_spread * (1 - shareStillThere(m_countsAge, hold())));
    auto const root = (std::sqrt(chance * chance + 4 * allowed) - chance) / 2;
    return std::min(usable(m_mean), root * root);
}

// A count that is so far above the mean is no chance: a rush to this upstream has
// begun, which its mean would show only seconds later.
double ServiceLoad::standing(CountedLoad const& load) const
{
    auto const usual = m_growth * load.usual;
    auto const rush = usual + deviationsOfRush * std::sqrt(m_spread * std::max(leastUsual, usual));
    return load.counted > rush ? load.counted : usual;
}

}

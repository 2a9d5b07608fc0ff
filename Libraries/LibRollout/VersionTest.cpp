#include <LibRollout/VersionTest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <vector>

namespace Stagepost {

namespace {

    constexpr size_t groupCount = RolloutEvidence::groupCount;

    // The factors by which the new version's odds of a bad answer may exceed the old version's. A
    // version that fails 1 of 10 answers beside an old one that fails 1 of 25 has about the first,
    // one that fails all answers has the last.
    constexpr std::array<double, 5> oddsRatios { 2.5, 6, 16, 60, 400 };
    // A version up to this odds ratio is good. With 1.25, 4 of 10 failures beside an old version with 14 %
    // were found within 50 bad answers for 93 of 100 seeds at 600 requests a second, now for 96.
    constexpr double toleratedOddsRatio = 1.1;
    // This part of the old version's answers counts as bad in addition, so that rare bad answers of the new
    // version have no weight beside an old version that has none.
    constexpr double toleratedExcess = 0.01;

    // The length of the slices of time within which answers are compared.
    constexpr Microseconds sliceLength { 500000 };
    // A slice with fewer answers than this may take up to the maximum, since few answers can be compared in it.
    constexpr uint64_t minAnswersOfSlice = 80;
    constexpr Microseconds maxSliceLength { 1500000 };
    // A slice with this many bad answers of either version ends after the minimum, to condemn early.
    constexpr uint64_t badAnswersOfShortSlice = 8;
    constexpr Microseconds minSliceLength { 100000 };
    // Larger counts of a route and slice are scaled down to bound the time that a slice takes.
    constexpr uint64_t maxAnswersOfSlice = 2000;

    // A service whose old version has less than a tenth of the answers of a slice is compared with the old
    // version's history instead.
    constexpr uint64_t maxNewPerOld = 9;
    // The answers that make up an entry of the history.
    constexpr uint64_t answersOfHistoryEntry = 100;
    // Once most answers are of the new version, the old version's are of slightly earlier times, or there are
    // none. A short fault that affects both versions then looks like a bad version. The evidence of
    // half a second increases at most by this factor, so that only bad answers over about 2 s, and 3 s late
    // in the order, condemn the version. With the limit for comparisons with the history only, 6 of 1,440 good
    // versions were condemned instead of 2.
    constexpr double maxFactorOfMajority = 5;
    // Added to the history's rate of bad answers, which is only an estimate.
    constexpr double historyMargin = 0.02;

    // If all answers are of one group of upstreams, so many are needed before a verdict, since the
    // other groups may just not have answered yet.
    constexpr uint64_t minAnswersOfSingleGroup = 30;

    // The slices with bad answers over which half of the prior probability is spread evenly.
    constexpr uint64_t slicesOfLatePrior = 200;
    // Far above any threshold, and far below the range of a double.
    constexpr double maxEvidence = 1e100;

    // By omitted group of upstreams, the last for none omitted, and by odds ratio: the logarithm of the
    // likelihood ratio.
    constexpr size_t omissionCount = groupCount + 1;
    using RatioRow = std::array<double, oddsRatios.size()>;
    using RatioTable = std::array<RatioRow, omissionCount>;

    // The likelihood ratios of odds ratios, given that so many of both versions' answers are bad. The
    // number of the new version's among them then has Fisher's noncentral hypergeometric
    // distribution, whatever the rate of bad answers in this slice is.
    RatioRow compareWithOldVersion(AnswerCounts const& newVersion, AnswerCounts const& oldVersion, std::vector<double>& scratch)
    {
        auto const bad = newVersion.bad + oldVersion.bad;
        auto const least = bad - std::min(bad, oldVersion.answers);
        auto const most = std::min(bad, newVersion.answers);
        RatioRow result {};
        if (least == most)
            return result;

        // The ratios of the weights of successive counts.
        scratch.clear();
        for (auto count = least; count < most; ++count) {
            auto const numerator = static_cast<double>(newVersion.answers - count) * static_cast<double>(bad - count);
            auto const denominator = static_cast<double>(count + 1) * static_cast<double>(oldVersion.answers + count + 1 - bad);
            scratch.push_back(numerator / denominator);
        }
        // Rescaled, since the sum can exceed the range of a double.
        auto const logOfSum = [&](double oddsRatio) {
            constexpr double scale = 1e200;
            double term = 1;
            double sum = 1;
            double logScale = 0;
            for (auto const ratio : scratch) {
                term *= ratio * oddsRatio;
                sum += term;
                if (sum > scale) {
                    sum /= scale;
                    term /= scale;
                    logScale += std::log(scale);
                }
            }
            return std::log(sum) + logScale;
        };
        auto const toleratedSum = logOfSum(toleratedOddsRatio);
        auto const excess = static_cast<double>(newVersion.bad - least);
        for (size_t index = 0; index < oddsRatios.size(); ++index)
            result[index] = excess * std::log(oddsRatios[index] / toleratedOddsRatio) + toleratedSum - logOfSum(oddsRatios[index]);
        return result;
    }

    // The likelihood ratios of odds ratios, given the rate of bad answers of a good version.
    RatioRow compareWithRate(AnswerCounts const& newVersion, double rate)
    {
        RatioRow result {};
        for (size_t index = 0; index < oddsRatios.size(); ++index) {
            result[index] = static_cast<double>(newVersion.bad) * std::log(oddsRatios[index])
                - static_cast<double>(newVersion.answers) * std::log(1 - rate + rate * oddsRatios[index]);
        }
        return result;
    }

    void addTo(RatioTable& sum, RatioTable const& table)
    {
        for (size_t omission = 0; omission < omissionCount; ++omission) {
            for (size_t index = 0; index < oddsRatios.size(); ++index)
                sum[omission][index] += table[omission][index];
        }
    }

    void limit(RatioTable& table, double maximum)
    {
        for (auto& row : table) {
            for (auto& ratio : row)
                ratio = std::min(ratio, maximum);
        }
    }

    AnswerCounts scaled(AnswerCounts const& counts, double factor)
    {
        AnswerCounts result;
        result.answers = static_cast<uint64_t>(static_cast<double>(counts.answers) * factor);
        result.bad = std::min(static_cast<uint64_t>(static_cast<double>(counts.bad) * factor), result.answers);
        return result;
    }

    // The counts of a route and slice. Those of other daemons are not trusted to be plausible.
    RolloutEvidence::RouteCounts boundedCounts(RolloutEvidence::RouteCounts counts)
    {
        auto total = static_cast<double>(counts.oldVersion.answers);
        counts.oldVersion.bad = std::min(counts.oldVersion.bad, counts.oldVersion.answers);
        for (auto& group : counts.newVersion) {
            total += static_cast<double>(group.answers);
            group.bad = std::min(group.bad, group.answers);
        }
        if (total <= static_cast<double>(maxAnswersOfSlice))
            return counts;
        auto const factor = static_cast<double>(maxAnswersOfSlice) / total;
        counts.oldVersion = scaled(counts.oldVersion, factor);
        for (auto& group : counts.newVersion)
            group = scaled(group, factor);
        return counts;
    }

    AnswerCounts sumOf(std::array<AnswerCounts, groupCount> const& groups)
    {
        AnswerCounts sum;
        for (auto const& group : groups)
            sum += group;
        return sum;
    }

    bool isComparable(RolloutEvidence::RouteCounts const& counts, bool withHistory)
    {
        return sumOf(counts.newVersion).answers && (counts.oldVersion.answers || withHistory);
    }

    bool hasComparableBadAnswers(RolloutEvidence::RouteCounts const& counts, bool withHistory)
    {
        return isComparable(counts, withHistory) && sumOf(counts.newVersion).bad + counts.oldVersion.bad;
    }

    // The highest rate of bad answers that the old version has had.
    class RateHistory {
    public:
        void add(AnswerCounts const& counts)
        {
            m_current += counts;
            if (m_current.answers < answersOfHistoryEntry)
                return;
            auto const rate = static_cast<double>(m_current.bad + 1) / static_cast<double>(m_current.answers + 2);
            m_highest = std::max(m_highest.value_or(0), rate);
            m_current = {};
        }

        std::optional<double> highest() const { return m_highest; }

    private:
        AnswerCounts m_current;
        std::optional<double> m_highest;
    };

}

// The evidence that one set of routes gives, for each omitted group of upstreams and each odds ratio.
class VersionTest::Process {
public:
    // The version may have turned bad in any slice. The slices with bad answers share a prior
    // probability of 1, which makes this an e-process.
    void add(RatioTable const& logRatios, bool hasBadAnswers)
    {
        double prior = 0;
        if (hasBadAnswers) {
            // One half favours versions that are bad from the start, the other those that turn bad later.
            auto const count = static_cast<double>(++m_slicesWithBadAnswers);
            prior = 0.5 / (count * (count + 1));
            if (m_slicesWithBadAnswers <= slicesOfLatePrior)
                prior += 0.5 / static_cast<double>(slicesOfLatePrior);
        }
        for (size_t omission = 0; omission < omissionCount; ++omission) {
            for (size_t index = 0; index < oddsRatios.size(); ++index) {
                auto& value = m_values[omission][index];
                value = std::min((value + prior) * std::exp(logRatios[omission][index]), maxEvidence);
            }
        }
    }

    double evidence(size_t omission) const
    {
        double sum = 0;
        for (auto const value : m_values[omission])
            sum += value;
        return sum / static_cast<double>(oddsRatios.size());
    }

private:
    RatioTable m_values {};
    uint64_t m_slicesWithBadAnswers { 0 };
};

struct VersionTest::State {
    struct Route {
        Process process;
        // Routes are weighted by the order in which the new version first answered them.
        std::optional<size_t> rank;
        double excessCredit { 0 };
        RateHistory history;
    };
    struct RecentAnswers {
        Instant at;
        AnswerCounts oldVersion;
    };

    explicit State(Bounds const& limits)
        : bounds(limits)
    {
    }

    void add(RolloutEvidence const& increment, Instant now);
    bool isSliceComplete(Instant now) const;
    void closeSlice(Instant now);
    void addToProcess(Route&, RatioTable, RolloutEvidence::RouteCounts const&, bool withHistory, std::optional<double> maxRatio);
    RatioTable compare(Route&, RolloutEvidence::RouteCounts const&, bool withHistory);
    double weightOf(Route const&) const;
    double evidence() const;
    void forgetOldAnswers(Instant now);

    Bounds bounds;
    RolloutEvidence slice;
    std::optional<Instant> sliceStart;
    uint64_t answersOfSlice { 0 };
    uint64_t badAnswersOfSlice { 0 };
    Process allRoutes;
    std::map<RouteId, Route> routes;
    // Answers of all routes, compared like those of a route.
    Route underLoad;
    size_t answeredRoutes { 0 };
    RateHistory history;
    std::array<AnswerCounts, groupCount> groups {};
    std::deque<RecentAnswers> recent;
    VersionVerdict verdict;
    std::vector<double> scratch;
};

void VersionTest::State::add(RolloutEvidence const& increment, Instant now)
{
    if (isSliceComplete(now))
        closeSlice(now);
    if (!increment.routes().empty() && !sliceStart)
        sliceStart = now;

    slice += increment;
    AnswerCounts oldVersion;
    for (auto const& [id, counts] : increment.routes()) {
        auto const newVersion = sumOf(counts.newVersion);
        answersOfSlice += counts.oldVersion.answers + newVersion.answers;
        badAnswersOfSlice += counts.oldVersion.bad + newVersion.bad;
        verdict.newVersion += newVersion;
        for (size_t group = 0; group < groupCount; ++group)
            groups[group] += counts.newVersion[group];
        auto& route = routes[id];
        if (newVersion.answers && !route.rank)
            route.rank = ++answeredRoutes;
        if (route.rank)
            oldVersion += counts.oldVersion;
    }
    if (sumOf(increment.underLoad().newVersion).answers && !underLoad.rank)
        underLoad.rank = ++answeredRoutes;
    if (oldVersion.answers) {
        recent.push_back({ now, oldVersion });
        verdict.oldVersion += oldVersion;
    }
    forgetOldAnswers(now);

    if (isSliceComplete(now))
        closeSlice(now);
}

// Depends on neither version's part of the bad answers, as otherwise the comparison within the slice
// would be biased.
bool VersionTest::State::isSliceComplete(Instant now) const
{
    if (!sliceStart)
        return false;
    auto const age = now - *sliceStart;
    if (badAnswersOfSlice >= badAnswersOfShortSlice)
        return age >= minSliceLength;
    return age >= (answersOfSlice < minAnswersOfSlice ? maxSliceLength : sliceLength);
}

void VersionTest::State::closeSlice(Instant now)
{
    AnswerCounts oldTotal;
    for (auto const& [id, counts] : slice.routes())
        oldTotal += counts.oldVersion;
    auto const newTotal = slice.newVersionTotal();
    auto const isMajority = newTotal.answers > oldTotal.answers;
    auto const withHistory = newTotal.answers > maxNewPerOld * oldTotal.answers;
    auto const length = std::min(asSeconds(now - *sliceStart), asSeconds(maxSliceLength));
    auto const maxRatio = isMajority ? std::optional(std::log(maxFactorOfMajority) * length / asSeconds(sliceLength)) : std::nullopt;

    RatioTable sum {};
    auto hasBadAnswers = false;
    for (auto const& [id, uncheckedCounts] : slice.routes()) {
        auto const counts = boundedCounts(uncheckedCounts);
        auto& route = routes[id];
        auto const ratios = compare(route, counts, withHistory);
        hasBadAnswers |= hasComparableBadAnswers(counts, withHistory);
        addTo(sum, ratios);
        addToProcess(route, ratios, counts, withHistory, maxRatio);
    }
    if (maxRatio)
        limit(sum, *maxRatio);
    allRoutes.add(sum, hasBadAnswers);
    auto const countsUnderLoad = boundedCounts(slice.underLoad());
    addToProcess(underLoad, compare(underLoad, countsUnderLoad, withHistory), countsUnderLoad, withHistory, maxRatio);
    history.add(oldTotal);

    verdict.evidence = std::max(verdict.isCondemned ? verdict.evidence : 0, evidence());
    verdict.isCondemned = verdict.isCondemned || verdict.evidence > 1 / bounds.maxFalseAlarm;
    slice = {};
    sliceStart.reset();
    answersOfSlice = 0;
    badAnswersOfSlice = 0;
}

void VersionTest::State::addToProcess(Route& route, RatioTable ratios, RolloutEvidence::RouteCounts const& counts, bool withHistory, std::optional<double> maxRatio)
{
    if (maxRatio)
        limit(ratios, *maxRatio);
    if (isComparable(counts, withHistory))
        route.process.add(ratios, hasComparableBadAnswers(counts, withHistory));
    route.history.add(counts.oldVersion);
}

RatioTable VersionTest::State::compare(Route& route, RolloutEvidence::RouteCounts const& counts, bool withHistory)
{
    auto oldVersion = counts.oldVersion;
    // Whole answers are counted as bad, and the remainder is kept for the next slice.
    route.excessCredit += toleratedExcess * static_cast<double>(oldVersion.answers);
    auto const excess = std::floor(route.excessCredit);
    route.excessCredit -= excess;
    oldVersion.bad = std::min(oldVersion.bad + static_cast<uint64_t>(excess), oldVersion.answers);

    RatioTable table {};
    auto const newVersion = sumOf(counts.newVersion);
    auto const highestRate = route.history.highest() ? route.history.highest() : history.highest();
    if (!newVersion.answers || (withHistory && !highestRate))
        return table;
    auto const rate = std::min(highestRate.value_or(0) * toleratedOddsRatio + historyMargin, 1.0);
    auto const ratiosOf = [&](AnswerCounts const& part) {
        return withHistory ? compareWithRate(part, rate) : compareWithOldVersion(part, oldVersion, scratch);
    };
    table[groupCount] = ratiosOf(newVersion);
    for (size_t group = 0; group < groupCount; ++group) {
        auto const& omitted = counts.newVersion[group];
        table[group] = omitted.answers ? ratiosOf(newVersion.since(omitted)) : table[groupCount];
    }
    return table;
}

double VersionTest::State::weightOf(Route const& route) const
{
    if (!route.rank)
        return 0;
    auto const rank = static_cast<double>(*route.rank);
    return 0.5 / (rank * (rank + 1));
}

// One bad upstream does not make a bad version, so there must be some evidence without any one group of
// upstreams. It may be less than the whole, since few groups bear most of the load and then give most of it.
double VersionTest::State::evidence() const
{
    auto const evidenceWithout = [&](size_t omission) {
        auto sum = 0.5 * allRoutes.evidence(omission);
        for (auto const& [id, route] : routes)
            sum += weightOf(route) * route.process.evidence(omission);
        sum += weightOf(underLoad) * underLoad.process.evidence(omission);
        return sum;
    };
    size_t answeredGroups = 0;
    auto least = std::numeric_limits<double>::max();
    for (size_t group = 0; group < groupCount; ++group) {
        if (!groups[group].answers)
            continue;
        ++answeredGroups;
        least = std::min(least, evidenceWithout(group));
    }
    if (answeredGroups >= 2)
        return std::min(evidenceWithout(groupCount), least * bounds.maxFalseAlarmOfGroup / bounds.maxFalseAlarm);
    return verdict.newVersion.answers >= minAnswersOfSingleGroup ? evidenceWithout(groupCount) : 0;
}

void VersionTest::State::forgetOldAnswers(Instant now)
{
    while (!recent.empty() && now - recent.front().at > bounds.window) {
        verdict.oldVersion = verdict.oldVersion.since(recent.front().oldVersion);
        recent.pop_front();
    }
}

VersionTest::VersionTest(Bounds bounds)
    : m_state(std::make_unique<State>(bounds))
{
}

VersionTest::~VersionTest() = default;
VersionTest::VersionTest(VersionTest&&) noexcept = default;
VersionTest& VersionTest::operator=(VersionTest&&) noexcept = default;

void VersionTest::add(RolloutEvidence const& increment, Instant now)
{
    m_state->add(increment, now);
}

VersionVerdict VersionTest::verdict() const
{
    return m_state->verdict;
}

}

#include <LibRollout/VersionAcceptance.h>

#include <algorithm>
#include <cmath>

namespace Stagepost {

namespace {

    // The part of the answers that a bad version fails in addition: on a single route, and under load.
    constexpr double failurePartOfRoute = 0.4;
    constexpr double failurePartUnderLoad = 0.25;
    // A bad version passes the test of a route with at most this probability.
    constexpr double maxFalseAcceptance = 0.06;
    // With one group of upstreams left out there are several chances to pass, so each has to be smaller.
    constexpr double maxFalseAcceptanceOfOmission = 0.02;
    // Evidence beyond these limits is dropped, so that a version that turns good or bad later is noticed.
    constexpr double maxEvidenceForBad = 1.5;
    constexpr double maxEvidenceForGood = 4.5;
    constexpr double evidenceOfDoubt = 1;
    // All routes together give more answers than a single one, so that the error of a step can be smaller.
    constexpr double maxFalseAcceptanceOfStep = 0.04;
    // Steps with fewer answers than this can't be proven.
    constexpr uint64_t minAnswersOfStep = 10;
    // Of a route with few requests, this part must have been answered by the new version.
    constexpr double leastPartOfRoute = 0.1;

    constexpr Microseconds sliceLength { 500000 };
    // The weight of the old version's earlier answers in its rate of bad answers, in number of answers.
    constexpr double weightOfHistory = 5;
    // A good version may fail this part in addition.
    constexpr double toleratedExcess = 0.05;
    // While the old version fails so much more than usual, both versions have the same fault, which hides
    // whether the new one is good.
    constexpr double maxFailureExcess = 0.15;

    double evidenceNeeded(size_t omission)
    {
        return -std::log(omission == RolloutEvidence::groupCount ? maxFalseAcceptance : maxFalseAcceptanceOfOmission);
    }

    // The log likelihood ratio of a version that fails this part in addition to the rate.
    double logRatio(AnswerCounts const& counts, double rate, double failurePart)
    {
        auto const ofBad = std::log((rate + failurePart * (1 - rate)) / rate);
        auto const ofGood = std::log(1 - failurePart);
        return static_cast<double>(counts.bad) * ofBad + static_cast<double>(counts.answers - counts.bad) * ofGood;
    }

}

void VersionAcceptance::Test::add(LogRatios const& logRatios)
{
    for (size_t omission = 0; omission < omissionCount; ++omission) {
        auto& run = m_runs[omission];
        run.logRatio = std::clamp(run.logRatio + logRatios[omission], -maxEvidenceForGood, maxEvidenceForBad);
        if (run.logRatio <= -evidenceNeeded(omission))
            run.isPassed = true;
        else if (run.logRatio > 0)
            run.isPassed = false;
    }
}

bool VersionAcceptance::Test::isPassed(size_t omission, double leastEvidence) const
{
    return m_runs[omission].isPassed || -logRatio(omission) >= std::min(leastEvidence, evidenceNeeded(omission));
}

// The old version's rate of bad answers in a slice of time. None during a fault of both versions.
std::optional<double> VersionAcceptance::Route::failureRate(AnswerCounts const& recent) const
{
    auto const usual = static_cast<double>(oldVersion.bad) / (static_cast<double>(oldVersion.answers) + weightOfHistory);
    auto const rate = (static_cast<double>(recent.bad) + weightOfHistory * usual) / (static_cast<double>(recent.answers) + weightOfHistory);
    return rate > usual + maxFailureExcess ? std::nullopt : std::optional(rate + toleratedExcess);
}

VersionAcceptance::LogRatios VersionAcceptance::Route::judge(RolloutEvidence::RouteCounts const& counts)
{
    AnswerCounts newVersion;
    for (auto const& group : counts.newVersion)
        newVersion += group;
    oldVersion += counts.oldVersion;
    answers += counts.oldVersion.answers + newVersion.answers;
    LogRatios result {};
    auto const rate = failureRate(counts.oldVersion);
    if (!newVersion.answers || !rate)
        return result;
    for (size_t omission = 0; omission < omissionCount; ++omission) {
        auto const judged = omission == RolloutEvidence::groupCount ? newVersion : newVersion.since(counts.newVersion[omission]);
        result[omission] = logRatio(judged, *rate, failurePart);
    }
    test.add(result);
    return result;
}

// Of few answers, the new version only needs to have given a part, none of which is bad.
bool VersionAcceptance::Route::isPassed(size_t omission, double extrapolation) const
{
    auto const leastEvidence = -std::log(1 - failurePart) * std::floor(leastPartOfRoute * static_cast<double>(answers) * extrapolation);
    return test.isPassed(omission, leastEvidence);
}

VersionAcceptance::VersionAcceptance(Microseconds trial)
    : m_trial(trial)
{
    m_underLoad.failurePart = failurePartUnderLoad;
}

void VersionAcceptance::add(RolloutEvidence const& increment, Instant now)
{
    addTo(m_slice, increment, now);
}

void VersionAcceptance::addEarlier(RolloutEvidence const& evidence, Instant now)
{
    addTo(m_earlierAnswers, evidence, now);
}

void VersionAcceptance::addTo(RolloutEvidence& unjudged, RolloutEvidence const& added, Instant now)
{
    if (!m_judgingSince)
        m_judgingSince = now;
    m_judgedAt = now;
    if (m_sliceStart && now - *m_sliceStart >= sliceLength)
        closeSlice();
    if (!added.routes().empty() && !m_sliceStart)
        m_sliceStart = now;
    unjudged += added;
}

void VersionAcceptance::closeSlice()
{
    auto const judge = [this](RouteId id, RolloutEvidence::RouteCounts const& counts) {
        auto& route = m_routes[id];
        route.failurePart = failurePartOfRoute;
        return route.judge(counts);
    };
    for (auto const& [id, counts] : m_earlierAnswers.routes())
        (void)judge(id, counts);
    for (auto const& [id, counts] : m_slice.routes()) {
        m_step.add(judge(id, counts));
        for (auto const& group : counts.newVersion)
            m_stepAnswers += group.answers;
    }
    (void)m_underLoad.judge(m_earlierAnswers.underLoad());
    (void)m_underLoad.judge(m_slice.underLoad());
    m_earlierAnswers = {};
    m_slice = {};
    m_sliceStart.reset();
}

bool VersionAcceptance::isAccepted() const
{
    for (size_t omission = 0; omission < omissionCount; ++omission) {
        if (isAcceptedWithout(omission))
            return true;
    }
    return false;
}

bool VersionAcceptance::isDoubted() const
{
    for (size_t omission = 0; omission < omissionCount; ++omission) {
        bool const isRouteDoubted = std::any_of(m_routes.begin(), m_routes.end(), [&](auto const& entry) { return entry.second.test.logRatio(omission) >= evidenceOfDoubt; });
        if (!isRouteDoubted && m_underLoad.test.logRatio(omission) < evidenceOfDoubt)
            return false;
    }
    return true;
}

void VersionAcceptance::startStep()
{
    closeSlice();
    m_step = {};
    m_stepAnswers = 0;
}

bool VersionAcceptance::isStepProven() const
{
    for (size_t omission = 0; omission < omissionCount; ++omission) {
        if (-m_step.logRatio(omission) >= -std::log(maxFalseAcceptanceOfStep))
            return true;
    }
    return false;
}

bool VersionAcceptance::isStepUnopposed() const
{
    for (size_t omission = 0; omission < omissionCount; ++omission) {
        if (m_step.logRatio(omission) <= 0)
            return m_stepAnswers < minAnswersOfStep;
    }
    return false;
}

// A judge that has just taken over would take a route for one with few requests otherwise.
double VersionAcceptance::extrapolation() const
{
    auto const judgedFor = m_judgingSince ? m_judgedAt - *m_judgingSince : Microseconds(0);
    return std::max(1.0, asSeconds(m_trial) / std::max(asSeconds(judgedFor), asSeconds(sliceLength)));
}

bool VersionAcceptance::isAcceptedWithout(size_t omission) const
{
    return m_underLoad.isPassed(omission, extrapolation()) && std::all_of(m_routes.begin(), m_routes.end(), [&](auto const& entry) {
        return entry.second.isPassed(omission, extrapolation());
    });
}

size_t VersionAcceptance::unprovenRoutes() const
{
    return static_cast<size_t>(std::count_if(m_routes.begin(), m_routes.end(), [&](auto const& entry) {
        return !entry.second.isPassed(RolloutEvidence::groupCount, extrapolation());
    }));
}

}

#pragma once

#include <LibBase/Time.h>
#include <LibRollout/RolloutEvidence.h>
#include <array>
#include <map>
#include <optional>

namespace Stagepost {

// A sequential test whether a version is proven: whether its answers on every route exclude that it fails a
// notable part of them in addition to what the old version fails. Wald's test of that alternative runs for each
// route, and with a smaller part for all answers under the load of the old version's upstreams. See
// docs/design/rollouts.md for the formula and its error probabilities.
class VersionAcceptance {
public:
    // Takes how long the trial lasts, by which a judge that has taken over knows how many answers to expect.
    explicit VersionAcceptance(Microseconds trial);

    // Adds the answers since the last call, of any number of daemons.
    void add(RolloutEvidence const& increment, Instant now);
    // Adds answers that an earlier judge may have judged. The current step is not tested by them.
    void addEarlier(RolloutEvidence const&, Instant now);
    // Whether the version is proven. One group of its upstreams may be left out, since a single bad upstream
    // does not make a bad version. A service without answers has nothing to prove.
    bool isAccepted() const;
    // Whether the answers speak for a bad version, also with any group of its upstreams left out. Between this and
    // isAccepted(), there are too few.
    bool isDoubted() const;

    // Begins a further test, of the answers of all routes from now on: a version may turn bad after it was proven,
    // and the earlier answers hide that for a while.
    void startStep();
    // Whether the answers since then exclude a bad version. One group of upstreams may be left out.
    bool isStepProven() const;
    // Whether they are too few for that, and don't speak for a bad version.
    bool isStepUnopposed() const;

    // The routes that are not proven, with all groups of upstreams.
    size_t unprovenRoutes() const;
    // The same for the load.
    bool isProvenUnderLoad() const { return m_underLoad.isPassed(RolloutEvidence::groupCount, extrapolation()); }

private:
    // By omitted group of upstreams, the last for none omitted.
    static constexpr size_t omissionCount = RolloutEvidence::groupCount + 1;
    using LogRatios = std::array<double, omissionCount>;

    class Test {
    public:
        // Adds the logarithms of the likelihood ratio of a bad version to a good one.
        void add(LogRatios const&);
        // The least evidence is less for routes with few requests.
        bool isPassed(size_t omission, double leastEvidence) const;
        double logRatio(size_t omission) const { return m_runs[omission].logRatio; }

    private:
        struct Run {
            double logRatio { 0 };
            bool isPassed { false };
        };
        std::array<Run, omissionCount> m_runs {};
    };

    // The answers of a route, or of all routes under load.
    struct Route {
        // The part that a bad version fails in addition.
        double failurePart { 0 };
        AnswerCounts oldVersion;
        uint64_t answers { 0 };
        Test test;

        // Returns what the answers added to the test.
        LogRatios judge(RolloutEvidence::RouteCounts const&);
        // Takes by how much the number of answers that are expected exceeds those that were judged.
        bool isPassed(size_t omission, double extrapolation) const;

    private:
        std::optional<double> failureRate(AnswerCounts const& recent) const;
    };

    void addTo(RolloutEvidence& unjudged, RolloutEvidence const&, Instant now);
    void closeSlice();
    bool isAcceptedWithout(size_t omission) const;
    double extrapolation() const;

    Microseconds m_trial;
    std::optional<Instant> m_judgingSince;
    Instant m_judgedAt;
    // The answers that were not judged yet: those of both versions within a short time are compared.
    RolloutEvidence m_slice;
    RolloutEvidence m_earlierAnswers;
    std::optional<Instant> m_sliceStart;
    std::map<RouteId, Route> m_routes;
    Route m_underLoad;
    Test m_step;
    uint64_t m_stepAnswers { 0 };
};

}

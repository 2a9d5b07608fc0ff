#pragma once

#include <LibBase/Time.h>
#include <LibRollout/RolloutEvidence.h>
#include <deque>
#include <memory>

namespace Stagepost {

// The figures that a verdict is based on.
struct VersionVerdict {
    bool isCondemned { false };
    // The test's evidence against the version. It is condemned when this exceeds the threshold.
    double evidence { 0 };
    AnswerCounts newVersion;
    // The old version's answers on the same routes in the recent window.
    AnswerCounts oldVersion;
    // Whether the answers show that the version is good on all routes; see VersionAcceptance.
    bool isAccepted { false };
    size_t unprovenRoutes { 0 };
    bool isProvenUnderLoad { false };
};

// A sequential test whether a version's answers are worse than the old version's. See
// docs/design/rollouts.md for the formula and its error probabilities.
class VersionTest {
public:
    struct Bounds {
        // The probability of condemning a version that is as good as the old one.
        double maxFalseAlarm { 0.01 };
        // The same for a version that is good but for one group of its upstreams.
        double maxFalseAlarmOfGroup { 0.1 };
        // The time over which the verdict's figures of the old version are counted.
        Microseconds window { 3000000 };
    };

    explicit VersionTest(Bounds);
    ~VersionTest();
    VersionTest(VersionTest&&) noexcept;
    VersionTest& operator=(VersionTest&&) noexcept;

    // Adds the answers since the last call, of any number of daemons. Answers are judged when a slice of
    // time ends, up to 1.5 s later, so this must be called without new answers as well.
    void add(RolloutEvidence const& increment, Instant now);
    // Condemnation is final.
    VersionVerdict verdict() const;

private:
    class Process;
    struct State;
    std::unique_ptr<State> m_state;
};

}

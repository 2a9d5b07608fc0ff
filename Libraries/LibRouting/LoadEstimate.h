#pragma once

#include <LibBase/Time.h>
#include <cstddef>
#include <optional>

namespace Stagepost {

// The load that an upstream reports in its answers.
struct UpstreamLoadReport {
    size_t running { 0 };
    size_t waiting { 0 };
    size_t slots { 0 };
};

// One daemon's estimate of the number of requests at an upstream: its own, which it counts
// exactly, and those of all other daemons, whose counts arrive late from them and in the
// upstream's answers. An old count predicts the current load only as far as the counted
// requests are still in flight; for the rest the mean load is the better predictor. In a
// large fleet, counts are older than the hold time.
class LoadEstimate {
public:
    void started() { ++m_own; }
    void finished() { m_own -= m_own ? 1 : 0; }

    // The hold time, for which requests of the service stay at an upstream, determines how fast
    // counts lose their validity and over which period the mean is taken.
    void reported(UpstreamLoadReport const&, Microseconds hold, Instant now);
    // The number of requests that all other daemons reported in flight at that time.
    void othersCounted(size_t count, Instant countedAt, Microseconds hold, Instant now);

    size_t own() const { return m_own; }
    // This daemon's own requests and the others' last count.
    double counted() const { return static_cast<double>(m_own) + m_others; }
    // The moving mean of the load.
    double mean(Instant now) const;
    // The expected current load.
    double expected(Microseconds hold, Instant now) const;

    // The period over which the mean is taken.
    static Microseconds averagingPeriod(Microseconds hold);

private:
    void observe(double others, Instant countedAt, Microseconds hold, Instant now);
    double othersWeight(Instant now) const;

    size_t m_own { 0 };
    double m_others { 0 };
    Instant m_countedAt;
    double m_meanOthers { 0 };
    std::optional<Instant> m_observedAt;
};

// The expected fraction of counted requests that are still in flight after that time.
double remainingFraction(Microseconds age, Microseconds hold);

}

#pragma once

#include <LibBase/Time.h>
#include <cstddef>
#include <optional>

namespace Stagepost {

// What an upstream says of itself in its answers.
struct UpstreamLoadReport {
    size_t running { 0 };
    size_t waiting { 0 };
    size_t slots { 0 };
};

// How many requests an upstream holds, as one daemon can tell: its own, which it
// counts, and those of all other daemons, of which it hears late, from them and
// from the upstream's answers. A count tells of now only as far as the requests
// that were counted are still there; for the rest, what the upstream holds in the
// mean is the better forecast: a large fleet's counts are older than its requests last.
class LoadEstimate {
public:
    void started() { ++m_own; }
    void finished() { m_own -= m_own ? 1 : 0; }

    // How long requests stay at the service's upstreams decides how long a count
    // is good for, and over how long a time the mean is taken.
    void reported(UpstreamLoadReport const&, Microseconds hold, Instant now);
    // What all other daemons had in flight there then, as they say themselves.
    void othersCounted(size_t count, Instant countedAt, Microseconds hold, Instant now);

    size_t own() const { return m_own; }
    // What it held when the others were counted last.
    double counted() const { return static_cast<double>(m_own) + m_others; }
    // What it holds in the mean.
    double usual(Instant now) const;
    // What it is likely to hold now.
    double expected(Microseconds hold, Instant now) const;

    // The time over which the mean is taken.
    static Microseconds memory(Microseconds hold);

private:
    void observe(double others, Instant countedAt, Microseconds hold, Instant now);
    double trust(Instant now) const;

    size_t m_own { 0 };
    double m_others { 0 };
    Instant m_countedAt;
    double m_usualOthers { 0 };
    std::optional<Instant> m_heardAt;
};

// The share of counted requests that are still there after that time.
double shareStillThere(Microseconds age, Microseconds hold);

}

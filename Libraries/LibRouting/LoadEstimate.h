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
// counts, and those of all other daemons, which it knows from the upstream's last
// report and trusts less the older that report is.
class LoadEstimate {
public:
    void started() { ++m_own; }
    void finished() { m_own -= m_own ? 1 : 0; }
    void reported(UpstreamLoadReport const&, Instant now);

    // What all other daemons have in flight there, as they say themselves.
    void othersCounted(size_t count, Instant now);

    size_t own() const { return m_own; }
    double total(Instant now) const { return static_cast<double>(m_own) + others(now); }

private:
    double others(Instant now) const;

    size_t m_own { 0 };
    double m_others { 0 };
    Instant m_reportedAt;
};

}

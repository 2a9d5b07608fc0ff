#pragma once

#include <LibBase/Time.h>

namespace Stagepost {

// The back-off that an upstream has requested from this daemon. If no other upstream is
// available, single trial requests are allowed during it: otherwise a service whose upstreams
// all refuse some of their requests would serve none at all.
class UpstreamBackoff {
public:
    // The upstream has refused a request and asked for no more within the duration.
    void requested(Microseconds duration, Instant now);

    bool isActive(Instant now) const { return now < m_until; }
    Microseconds remaining(Instant now) const;
    // Returns whether a trial request is allowed; at most one per requested back-off.
    bool isTrialDue(Instant now) const { return isActive(now) && now >= m_nextTrialAt; }
    Instant nextTrialAt() const { return m_nextTrialAt; }
    void trialStarted() { m_nextTrialAt = m_until; }

private:
    Instant m_until;
    Instant m_nextTrialAt;
};

}

#pragma once

#include <LibBase/Time.h>

namespace Stagepost {

// How long an upstream wants no requests of this daemon, by its own word. Where no other
// upstream is left, single requests may be tried there meanwhile: a service of which all
// upstreams turn a part of their requests away would else serve nobody.
class UpstreamRest {
public:
    // It has turned a request away and wants nothing for so long.
    void asked(Microseconds duration, Instant now);

    bool isResting(Instant now) const { return now < m_until; }
    Microseconds left(Instant now) const;
    // Whether a request may be tried there, at most one in each rest that was asked for.
    bool isTrialDue(Instant now) const { return isResting(now) && now >= m_nextTrialAt; }
    Instant nextTrialAt() const { return m_nextTrialAt; }
    void tried() { m_nextTrialAt = m_until; }

private:
    Instant m_until;
    Instant m_nextTrialAt;
};

}

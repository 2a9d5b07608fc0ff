#pragma once

#include <LibBase/Time.h>
#include <LibRouting/CircuitBreaker.h>

namespace Stagepost {

// What one daemon has seen of an upstream's answers: how many of them failed of
// late, and whether it answers at all.
class UpstreamHealth {
public:
    UpstreamHealth();

    void succeeded(Instant now);
    // It answered, but with a failure of its own.
    void answeredWithFailure(Instant now);
    // It did not answer, or with something that is no answer.
    void broke(Instant now);
    // No connection to it came up, so no request was harmed.
    void unreachable(Instant now);

    // Whether it answers at all; a true answer may take the one trial. A request
    // that cannot be sent again is a trial only after a longer pause, so that
    // those that can be go first, unless connections alone have failed.
    bool allows(Instant now, bool isRepeatable);
    // Whether it does not answer, and one request may try it now.
    bool isTrialDue(Instant now, bool isRepeatable) const;
    void trialReturned() { m_breaker.trialReturned(); }
    bool isClosed() const { return m_breaker.isClosed(); }

    // The share of failures among its latest answers, from 0 to 1, which fades
    // while nothing is heard of it.
    double failureShare(Instant now) const;

private:
    void observe(double failure, Instant now);

    CircuitBreaker m_breaker;
    // The breaker has opened for connections that did not come up.
    bool m_isTrialSafe { false };
    double m_failures { 0 };
    double m_answers { 0 };
    Instant m_observedAt;
};

}

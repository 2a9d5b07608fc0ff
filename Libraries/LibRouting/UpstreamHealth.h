#pragma once

#include <LibBase/Time.h>
#include <LibRouting/CircuitBreaker.h>

namespace Stagepost {

// Health of an upstream as observed by one daemon: the recent share of failed answers, and a
// circuit breaker for requests that get no answer.
class UpstreamHealth {
public:
    UpstreamHealth();

    void succeeded(Instant now);
    // The upstream answered with an error. This closes the breaker, since it does answer.
    void answeredWithFailure(Instant now);
    // The upstream didn't answer, or its answer was unusable.
    void failedToAnswer(Instant now);
    // No connection could be established, so no request was sent.
    void failedToConnect(Instant now);

    // Returns whether a request may be sent now; it may be the breaker's trial. A request
    // that can't be repeated becomes the trial only after a longer pause, so that a repeatable
    // one goes first, unless the last failure was a failed connection.
    bool allows(Instant now, bool isRepeatable);
    // Returns whether the breaker isn't closed and such a request may be its trial now.
    bool isTrialDue(Instant now, bool isRepeatable) const;
    void cancelTrial() { m_breaker.cancelTrial(); }
    bool isClosed() const { return m_breaker.isClosed(); }

    // The share of failures among recent requests, from 0 to 1. It decays without new
    // observations.
    double failureShare(Instant now) const;

private:
    void observe(double failure, Instant now);

    CircuitBreaker m_breaker;
    // Whether the last breaker failure was a failed connection. A trial that fails in the same
    // way sends no request, so any request may be the trial.
    bool m_didConnectFailLast { false };
    double m_failures { 0 };
    double m_answers { 0 };
    Instant m_observedAt;
};

}

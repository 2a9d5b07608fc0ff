#pragma once

#include <LibBase/Time.h>
#include <cstddef>

namespace Stagepost {

// Keeps work away from an upstream that fails. After a row of failures it opens
// for a pause, lets one request through to try, and opens for twice as long when
// that fails as well.
class CircuitBreaker {
public:
    CircuitBreaker(size_t failures, Microseconds pause)
        : m_failureLimit(failures)
        , m_pause(pause)
    {
    }

    // Whether a request may go now; a true answer in the half-open state takes the
    // one trial.
    bool allows(Instant now);
    // Whether the one trial may be taken now.
    bool isTrialDue(Instant now) const { return m_state != State::Closed && now >= m_openUntil; }
    // Until when it is open, from now; zero when it is not.
    Microseconds remaining(Instant now) const;

    // Returns true when this success closes the circuit again.
    bool succeeded();
    void failed(Instant now);
    // The trial was given back unused.
    void trialReturned();

    bool isClosed() const { return m_state == State::Closed; }

private:
    enum class State {
        Closed,
        Open,
        Trial,
    };

    size_t m_failureLimit;
    Microseconds m_pause;
    State m_state { State::Closed };
    size_t m_failures { 0 };
    unsigned m_opened { 0 };
    Instant m_openUntil;
};

}

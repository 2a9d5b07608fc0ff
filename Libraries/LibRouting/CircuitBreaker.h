#pragma once

#include <LibBase/Time.h>
#include <cstddef>

namespace Stagepost {

// Circuit breaker of one upstream. It opens for a pause after a number of consecutive
// failures and then lets one trial request through. Each failed trial doubles the pause,
// up to a limit.
class CircuitBreaker {
public:
    CircuitBreaker(size_t failures, Microseconds pause)
        : m_failureLimit(failures)
        , m_pause(pause)
    {
    }

    // Returns whether a request may be sent now. If the breaker isn't closed and this returns
    // true, the request is the trial and the breaker becomes half-open.
    bool allows(Instant now);
    // Returns whether the breaker isn't closed and allows() would start a trial now.
    bool isTrialDue(Instant now) const { return m_state != State::Closed && now >= m_openUntil; }
    // The time until the next trial is allowed; zero if the breaker is closed.
    Microseconds remaining(Instant now) const;

    // Returns whether this success has closed a half-open breaker.
    bool succeeded();
    void failed(Instant now);
    // Ends the trial without an outcome; another one may start at once.
    void cancelTrial();

    bool isClosed() const { return m_state == State::Closed; }

private:
    enum class State {
        Closed,
        Open,
        HalfOpen,
    };

    size_t m_failureLimit;
    Microseconds m_pause;
    State m_state { State::Closed };
    size_t m_failures { 0 };
    unsigned m_consecutiveOpenings { 0 };
    Instant m_openUntil;
};

}

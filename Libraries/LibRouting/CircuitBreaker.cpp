#include <LibRouting/CircuitBreaker.h>

#include <algorithm>

namespace Stagepost {

namespace {

    constexpr unsigned maxPauseDoublings = 5;
    // Limits how long a trial whose outcome is never reported keeps the breaker half-open.
    constexpr Microseconds maxTrialDuration { 60000000 };

}

bool CircuitBreaker::allows(Instant now)
{
    if (m_state == State::Closed)
        return true;
    if (now < m_openUntil)
        return false;
    m_state = State::HalfOpen;
    m_openUntil = now + maxTrialDuration;
    return true;
}

Microseconds CircuitBreaker::remaining(Instant now) const
{
    if (m_state == State::Closed)
        return {};
    return std::max(Microseconds {}, m_openUntil - now);
}

bool CircuitBreaker::succeeded()
{
    m_failures = 0;
    bool const closes = m_state == State::HalfOpen;
    if (closes) {
        m_state = State::Closed;
        m_consecutiveOpenings = 0;
    }
    return closes;
}

void CircuitBreaker::failed(Instant now)
{
    ++m_failures;
    // Requests that were in flight when the breaker opened do not extend its pause.
    if (m_state == State::Open || (m_state == State::Closed && m_failures < m_failureLimit))
        return;
    m_state = State::Open;
    m_openUntil = now + m_pause * (1u << std::min(m_consecutiveOpenings, maxPauseDoublings));
    ++m_consecutiveOpenings;
    m_failures = 0;
}

void CircuitBreaker::cancelTrial()
{
    if (m_state == State::HalfOpen) {
        m_state = State::Open;
        m_openUntil = {};
    }
}

}

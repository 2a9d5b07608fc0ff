#include <LibRouting/UpstreamHealth.h>

#include <cmath>

namespace Stagepost {

namespace {

    // Two failures in a row are rare on a healthy upstream; waiting for a third would fail
    // another request.
    constexpr size_t consecutiveFailureLimit = 2;
    // Long enough for a restarting upstream not to receive several trials in a row, and short
    // compared to an outage, which lasts seconds.
    constexpr Microseconds initialPause { 400000 };
    // The time since the last observation after which a request that can't be repeated may
    // be the trial.
    constexpr Microseconds nonRepeatableTrialDelay { 3000000 };
    // Time constant of the exponential decay of observations.
    constexpr double decayTimeSeconds = 4;
    // Successes added to the observed answers, so that the first failure of an upstream with
    // few observations doesn't make its failure share 1.
    constexpr double assumedSuccesses = 2;

    double decayed(double value, Microseconds elapsed)
    {
        return value * std::exp(-asSeconds(elapsed) / decayTimeSeconds);
    }

}

UpstreamHealth::UpstreamHealth()
    : m_breaker(consecutiveFailureLimit, initialPause)
{
}

void UpstreamHealth::observe(double failure, Instant now)
{
    m_failures = decayed(m_failures, now - m_observedAt) + failure;
    m_answers = decayed(m_answers, now - m_observedAt) + 1;
    m_observedAt = now;
}

bool UpstreamHealth::allows(Instant now, bool isRepeatable)
{
    return m_breaker.isClosed() || (isTrialDue(now, isRepeatable) && m_breaker.allows(now));
}

bool UpstreamHealth::isTrialDue(Instant now, bool isRepeatable) const
{
    bool const mayTry = isRepeatable || m_didConnectFailLast || now - m_observedAt >= nonRepeatableTrialDelay;
    return mayTry && m_breaker.isTrialDue(now);
}

void UpstreamHealth::succeeded(Instant now)
{
    m_breaker.succeeded();
    observe(0, now);
}

void UpstreamHealth::answeredWithFailure(Instant now)
{
    m_breaker.succeeded();
    observe(1, now);
}

void UpstreamHealth::failedToAnswer(Instant now)
{
    m_breaker.failed(now);
    m_didConnectFailLast = false;
    observe(1, now);
}

void UpstreamHealth::failedToConnect(Instant now)
{
    m_breaker.failed(now);
    m_didConnectFailLast = true;
    observe(1, now);
}

double UpstreamHealth::failureShare(Instant now) const
{
    auto const elapsed = now - m_observedAt;
    return decayed(m_failures, elapsed) / (decayed(m_answers, elapsed) + assumedSuccesses);
}

}

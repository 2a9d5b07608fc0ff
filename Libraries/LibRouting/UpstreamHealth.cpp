#include <LibRouting/UpstreamHealth.h>

#include <cmath>

namespace Stagepost {

namespace {

    // Two in a row are rare on a sound upstream, and a row of three costs callers.
    constexpr size_t breakerFailures = 2;
    // Long enough that a restart is not met by a row of trials, short against the
    // seconds that an outage takes.
    constexpr Microseconds breakerPause { 400000 };
    // How long an upstream of a service without repeatable requests stays out.
    constexpr Microseconds pauseForOthers { 3000000 };
    // The time in which an observation fades to a third.
    constexpr double memorySeconds = 4;
    // Doubt in favour of an upstream of which little was seen.
    constexpr double assumedSuccesses = 2;

    double faded(double value, Microseconds elapsed)
    {
        return value * std::exp(-asSeconds(elapsed) / memorySeconds);
    }

}

UpstreamHealth::UpstreamHealth()
    : m_breaker(breakerFailures, breakerPause)
{
}

void UpstreamHealth::observe(double failure, Instant now)
{
    m_failures = faded(m_failures, now - m_observedAt) + failure;
    m_answers = faded(m_answers, now - m_observedAt) + 1;
    m_observedAt = now;
}

bool UpstreamHealth::allows(Instant now, bool isRepeatable)
{
    return m_breaker.isClosed() || (isTrialDue(now, isRepeatable) && m_breaker.allows(now));
}

bool UpstreamHealth::isTrialDue(Instant now, bool isRepeatable) const
{
    bool const mayTry = isRepeatable || m_isTrialSafe || now - m_observedAt >= pauseForOthers;
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

void UpstreamHealth::broke(Instant now)
{
    m_breaker.failed(now);
    m_isTrialSafe = false;
    observe(1, now);
}

void UpstreamHealth::unreachable(Instant now)
{
    m_breaker.failed(now);
    m_isTrialSafe = true;
    observe(1, now);
}

double UpstreamHealth::failureShare(Instant now) const
{
    auto const elapsed = now - m_observedAt;
    return faded(m_failures, elapsed) / (faded(m_answers, elapsed) + assumedSuccesses);
}

}

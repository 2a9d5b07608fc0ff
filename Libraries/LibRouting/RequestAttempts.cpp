#include <LibRouting/RequestAttempts.h>

#include <algorithm>

namespace Stagepost {

namespace {

    // Upstreams tried while no connection can be established. Each adds latency for the
    // caller.
    constexpr size_t maxConnectFailures = 5;
    // A single rejection may be specific to the upstream, such as an address that was
    // reassigned to another service. Two indicate that the service is at capacity, where
    // further attempts would only add load.
    constexpr size_t maxRejections = 2;
    // Connections are usually established within a few milliseconds or not at all. A lost
    // SYN is retransmitted only after a second, so waiting longer than a few round trips
    // between regions is useless.
    constexpr Milliseconds minConnectTimeout { 40 };
    constexpr Milliseconds maxConnectTimeout { 100 };
    constexpr int connectTimeoutDivisor = 8;
    // No upstream can respond in less time than this.
    constexpr Milliseconds minResponseTime { 5 };
    // A repeatable request moves to another upstream after objective / this divisor. That is
    // late enough for healthy upstreams to have responded, and early enough for the second
    // response to meet the objective.
    constexpr int firstAttemptTimeoutDivisor = 2;
    // A gap of this many times the tolerable one justifies moving the stream, although the
    // new upstream has to process the whole context again.
    constexpr int gapTimeoutFactor = 3;
    constexpr Milliseconds defaultGapObjective { 1000 };
    // Callers are told to retry after objective / this divisor, so that the second response
    // can still meet the objective.
    constexpr int retryAfterDivisor = 10;
    constexpr Milliseconds minRetryAfter { 20 };
    constexpr Milliseconds maxRetryAfter { 500 };

}

Milliseconds RequestAttempts::timeLeft(Instant now) const
{
    return std::chrono::duration_cast<Milliseconds>(m_limits.deadline - now);
}

bool RequestAttempts::isOver(Instant now) const
{
    return now + minResponseTime >= m_limits.deadline;
}

bool RequestAttempts::couldSendAgain(size_t upstreams, Instant now) const
{
    return m_limits.isRepeatable && isSendLeft(now) && upstreams > m_failed.size() + 1 && m_budget.mayRetry(now);
}

std::optional<RetryBudget::Reservation> RequestAttempts::reserveMove(size_t upstreams, Instant now)
{
    return couldSendAgain(upstreams, now) ? m_budget.reserve(now) : std::nullopt;
}

bool RequestAttempts::spendMove(RetryBudget::Reservation& retry, Instant now)
{
    return isSendLeft(now) && m_budget.spend(retry, now);
}

void RequestAttempts::recordMove(UpstreamId silent)
{
    endSend(Verdict::mayHaveRun);
    m_failed.push_back(silent);
}

// Of those that the route allows, within the request's time.
bool RequestAttempts::isSendLeft(Instant now) const
{
    return m_sends < m_limits.maxSends && m_rejections < maxRejections && !isOver(now);
}

bool RequestAttempts::mayDetour(Instant now) const
{
    if (!hasArrived())
        return true;
    bool const isAllowed = verdict().isNotRun() || (m_limits.isRepeatable && m_sends < m_limits.maxSends);
    return isAllowed && m_budget.mayRetry(now);
}

void RequestAttempts::recordDetourSend(Instant now)
{
    if (hasArrived())
        m_budget.recordRetry(now);
}

Milliseconds RequestAttempts::connectTimeout() const
{
    return std::clamp<Milliseconds>(m_limits.objective / connectTimeoutDivisor, minConnectTimeout, maxConnectTimeout);
}

// The last attempt gets all the remaining time.
AttemptTimeouts RequestAttempts::timeouts(size_t upstreams, WaitBounds const& usual, Instant now) const
{
    AttemptTimeouts result;
    result.connect = connectTimeout();
    result.firstByte = timeLeft(now);
    result.betweenParts = timeLeft(now);
    if (!couldSendAgain(upstreams, now))
        return result;
    // Moving gives up the request's position in the upstream's queue for the end of another
    // queue, so the timeout grows with the usual wait of the service.
    auto const firstAttempt = std::max(m_limits.objective / firstAttemptTimeoutDivisor, std::chrono::duration_cast<Milliseconds>(usual.forAny));
    // Another upstream would have to process a long prompt from the start and would not
    // respond sooner. The objective bounds this: a longer wait misses it anyway.
    auto const promptTime = std::min(m_limits.objective, std::chrono::duration_cast<Milliseconds>(usual.forPrompt));
    result.firstByte = std::min(result.firstByte, std::max(firstAttempt, promptTime));
    result.betweenParts = m_limits.gapObjective.value_or(defaultGapObjective) * gapTimeoutFactor;
    return result;
}

bool RequestAttempts::needsFreshConnection(ServicePlacement::Choice const& choice) const
{
    bool const isOpenConnectionSafe = m_limits.isRepeatable || (m_limits.isStream && !m_rejections);
    return choice.needsNewConnection || !isOpenConnectionSafe;
}

void RequestAttempts::recordSend()
{
    ++m_sends;
    m_isSendOpen = true;
}

void RequestAttempts::endSend(Verdict verdict)
{
    m_verdict = combine(m_verdict, verdict);
    m_isSendOpen = false;
}

bool RequestAttempts::recordFailure(UpstreamId upstream, FailedAttempt const& attempt, Instant now)
{
    // An attempt that was not executed does not count against the route's maxSends.
    if (attempt.isUnconnected) {
        --m_sends;
        ++m_connectFailures;
    } else if (attempt.isRejected) {
        --m_sends;
        ++m_rejections;
    }
    endSend(attempt.verdict);
    m_failed.push_back(upstream);
    if (!maySendAgain(attempt, now))
        return false;
    if (!attempt.isUnconnected)
        m_budget.recordRetry(now);
    return true;
}

bool RequestAttempts::maySendAgain(FailedAttempt const& attempt, Instant now) const
{
    if (attempt.isCallerLost || attempt.deadlinePassed || attempt.cannotBeContinued || attempt.mayCrashUpstreams || isOver(now))
        return false;
    if (!attempt.verdict.isNotRun() && !m_limits.isRepeatable)
        return false;
    if (attempt.isUnconnected && m_sends == 0 && m_rejections == 0)
        return m_connectFailures < maxConnectFailures;
    return isSendLeft(now) && m_budget.mayRetry(now);
}

Milliseconds RequestAttempts::retryAfter() const
{
    return std::clamp<Milliseconds>(m_limits.objective / retryAfterDivisor, minRetryAfter, maxRetryAfter);
}

}

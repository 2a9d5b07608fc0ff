#include <LibRouting/RetryPolicy.h>

#include <algorithm>

namespace Stagepost {

std::string_view nameOf(RetryDecision decision)
{
    switch (decision) {
    case RetryDecision::Retry:
        return "retry";
    case RetryDecision::MayHaveRun:
        return "may-have-run";
    case RetryDecision::AnswerStarted:
        return "answer-started";
    case RetryDecision::CallerGone:
        return "caller-gone";
    case RetryDecision::DeadlineTooNear:
        return "deadline-too-near";
    case RetryDecision::TooManyTries:
        return "too-many-tries";
    case RetryDecision::BudgetSpent:
        return "budget-spent";
    }
    return "unknown";
}

void RetryPolicy::recordFirstAttempt()
{
    m_savedRetries = std::min(maxSavedRetries, m_savedRetries + m_share);
}

RetryDecision RetryPolicy::decide(RetryContext const& context, Instant now)
{
    if (context.reason == RefusalReason::CallerGone || context.reason == RefusalReason::SlowCaller)
        return RetryDecision::CallerGone;
    if (context.answerStarted)
        return RetryDecision::AnswerStarted;
    if (!context.verdict.isNotRun() && !context.isRepeatable)
        return RetryDecision::MayHaveRun;
    if (context.attempts >= context.maxAttempts)
        return RetryDecision::TooManyTries;
    if (now >= context.deadline)
        return RetryDecision::DeadlineTooNear;
    if (m_savedRetries < 1)
        return RetryDecision::BudgetSpent;
    m_savedRetries -= 1;
    return RetryDecision::Retry;
}

}

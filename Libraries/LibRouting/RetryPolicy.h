#pragma once

#include <LibBase/RefusalReason.h>
#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
#include <cstddef>
#include <string_view>

namespace Stagepost {

// The decision whether to retry a failed request. All values but Retry are reasons not to.
enum class RetryDecision {
    Retry,
    // The request may have been executed and is not safe to repeat.
    MayHaveRun,
    AnswerStarted,
    CallerGone,
    DeadlineTooNear,
    TooManyTries,
    BudgetSpent,
};

std::string_view nameOf(RetryDecision);

// The state of a request after a failed attempt.
struct RetryContext {
    Verdict verdict { Verdict::mayHaveRun };
    RefusalReason reason { RefusalReason::UpstreamBroken };
    bool isRepeatable { false };
    bool answerStarted { false };
    size_t attempts { 1 };
    size_t maxAttempts { 3 };
    Instant deadline;
};

// Decides on retries and limits their number to a share of the first attempts, so that
// retries don't multiply the load on a failing pool.
class RetryPolicy {
public:
    // Upper bound on the retries that can be saved up.
    static constexpr double maxSavedRetries = 20;

    explicit RetryPolicy(double share)
        : m_share(share)
    {
    }

    void setShare(double share) { m_share = share; }
    void recordFirstAttempt();
    RetryDecision decide(RetryContext const&, Instant now);

private:
    double m_share;
    // Starts above 0 so that a daemon can retry right after its start.
    double m_savedRetries { 2 };
};

}

#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
#include <LibRouting/RetryBudget.h>
#include <LibRouting/ServicePlacement.h>
#include <optional>
#include <vector>

namespace Stagepost {

// The limits that a request's route sets on its attempts.
struct AttemptLimits {
    // Whether the request may be executed more than once.
    bool isRepeatable { false };
    // Whether the response is an event stream.
    bool isStream { false };
    // Maximum number of times that the request may be sent for execution.
    size_t maxSends { 1 };
    // Target time to the first byte of the response.
    Milliseconds objective { 0 };
    // Longest gap between parts of a stream that the caller tolerates.
    std::optional<Milliseconds> gapObjective;
    // Time by which the caller must have the final response.
    Instant deadline;
};

// Timeouts for one attempt at an upstream.
struct AttemptTimeouts {
    Milliseconds connect { 0 };
    Milliseconds firstByte { 0 };
    Milliseconds betweenParts { 0 };
};

// How an attempt without a complete response ended.
struct FailedAttempt {
    Verdict verdict { Verdict::mayHaveRun };
    // No connection could be established.
    bool isUnconnected { false };
    // The upstream responded that it has not executed the request, because it is at
    // capacity or is not the instance that was expected at its address.
    bool isRejected { false };
    // The request's deadline has passed.
    bool deadlinePassed { false };
    // The caller has disconnected or does not read the response.
    bool isCallerLost { false };
    // The caller has got parts of the response that no other upstream can go on with.
    bool cannotBeContinued { false };
    // Upstreams have crashed under requests like this one, and no such request was answered since.
    bool mayCrashUpstreams { false };
};

// Decides for one request on the timeouts of each attempt, on sending it to another
// upstream after a failure, and on giving up. A request that may have been executed is
// sent again only if its route allows that, and within the fleet's retry budget.
class RequestAttempts {
public:
    RequestAttempts(AttemptLimits limits, RetryBudget& budget)
        : m_limits(limits)
        , m_budget(budget)
    {
    }

    // Whether too little time is left for any upstream to respond.
    bool isOver(Instant now) const;
    Milliseconds timeLeft(Instant now) const;
    // Records that the request is being sent to an upstream.
    void recordSend();
    // Whether the request could be sent to another one of the given number of upstreams if
    // the current attempt fails. Also used when a response is overdue: if there is no
    // alternative, waiting longer costs nothing.
    bool couldSendAgain(size_t upstreams, Instant now) const;
    // Keeps a retry for moving the request from a silent upstream to another one of the given number. None if
    // it could not be sent again.
    std::optional<RetryBudget::Reservation> reserveMove(size_t upstreams, Instant now);
    // Spends the retry. Returns false if there is no time left or the retry is not allowed any more.
    bool spendMove(RetryBudget::Reservation&, Instant now);
    // The request has left the silent upstream.
    void recordMove(UpstreamId silent);
    // Whether any upstream has got the request, and may have rejected it. Each further send counts as a
    // retry, whichever daemon it comes from.
    bool hasArrived() const { return m_sends + m_rejections > 0; }
    // Whether another daemon may send the request after all attempts of this one have ended.
    bool mayDetour(Instant now) const;
    // Records that another daemon is about to send it then.
    void recordDetourSend(Instant now);
    // Returns the timeouts of the current attempt.
    AttemptTimeouts timeouts(size_t upstreams, WaitBounds const&, Instant now) const;
    // Returns how long to wait for a connection.
    Milliseconds connectTimeout() const;
    // Whether the request must use a new connection. A reused one may already be closed or
    // broken, which would leave it unclear whether the request was executed. After a rejection, its upstream
    // may send the rejection once more, which would pass for the answer to the next send.
    bool needsFreshConnection(ServicePlacement::Choice const&) const;

    // Records a failed attempt. Returns true if the request is to be sent to another upstream.
    // That counts against the budget, unless no connection was established.
    bool recordFailure(UpstreamId, FailedAttempt const&, Instant now);
    void recordResponse() { endSend(Verdict::ran); }
    // The request is being passed on to another daemon, until endDetour() records how its attempts have ended.
    void beginDetour() { m_isSendOpen = true; }
    void endDetour(Verdict verdict) { endSend(verdict); }

    // Returns the delay after which the caller should retry. It is short enough for the
    // second response to still meet the objective.
    Milliseconds retryAfter() const;

    // A send that has not ended may have run the request.
    Verdict verdict() const { return m_isSendOpen ? combine(m_verdict, Verdict::mayHaveRun) : m_verdict; }
    // Number of times that the request was, or may have been, executed.
    size_t sends() const { return m_sends; }
    // Number of times that an upstream rejected the request without executing it.
    size_t rejections() const { return m_rejections; }
    // Number of times that no connection to an upstream could be established.
    size_t connectFailures() const { return m_connectFailures; }
    std::vector<UpstreamId> const& failedUpstreams() const { return m_failed; }
    Instant deadline() const { return m_limits.deadline; }

private:
    bool maySendAgain(FailedAttempt const&, Instant now) const;
    bool isSendLeft(Instant now) const;
    void endSend(Verdict);

    AttemptLimits m_limits;
    RetryBudget& m_budget;
    std::vector<UpstreamId> m_failed;
    size_t m_sends { 0 };
    size_t m_connectFailures { 0 };
    size_t m_rejections { 0 };
    // Of the sends that have ended, the proof of each included.
    Verdict m_verdict { NotRunProof::nothingSent() };
    bool m_isSendOpen { false };
};

}

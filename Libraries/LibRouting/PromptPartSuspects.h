#pragma once

#include <LibRouting/CrashSuspects.h>
#include <map>
#include <span>

namespace Stagepost {

// Finds the parts of prompts that crash each upstream that writes an answer on them, whatever else the
// requests contain. CrashSuspects alone does not find them if no two of these requests are alike.
//
// Each crash accuses all parts that requests in flight there share with others, and most of them are sound. A
// complete answer to a request clears its parts of all crashes before the request was sent. Parts that
// have ever been answered need more evidence, are judged later, and are not blamed for crashes that a
// part without any answer explains. So the verdict waits until answers to sound requests had time to arrive.
//
// A poison part is refused by all daemons, but for trials by one of them at a time.
class PromptPartSuspects {
public:
    struct Bounds {
        // Crashes of different upstreams that prove a part to be poison, and how old they must be. The
        // requirements allow five. In the delay, other daemons tell of answers that this one does not know.
        size_t poisonThreshold { 3 };
        Microseconds verdictDelay { 700000 };
        // The same for parts that have been answered. Most answers take less than the delay. Crashes that are
        // all within the span may have a common cause.
        size_t answeredPoisonThreshold { 4 };
        Microseconds answeredVerdictDelay { 1500000 };
        Microseconds commonCauseSpan { 250000 };
        // The answers that this daemon remembers; two tables of this many parts take 250 KB each.
        size_t maxRememberedAnswers { 4096 };
        // How long after the latest crash a poison part is tried: for the first time, since it may have been
        // in flight at upstreams that crashed together, and afterwards, since upstreams may have been fixed.
        Microseconds firstTrialInterval { 5000000 };
        Microseconds trialInterval { 300000000 };
        // The same for a part that was in the same crashed requests as another one, in a request without that one.
        Microseconds ambiguousTrialInterval { 1000000 };
    };

    PromptPartSuspects(VMId self, Bounds);

    // Records a crash while a request with the part was in flight. Returns whether it was new.
    bool recordCrash(Fingerprint part, UpstreamId, Instant now);
    // Records that a request that was sent at the given time has been answered completely. Returns the parts
    // whose evidence has changed.
    std::vector<Fingerprint> recordAnswer(std::span<Fingerprint const> parts, Instant sentAt);
    // Applies the answers that this daemon remembers to evidence that has come from another one. Returns
    // whether the evidence has changed.
    bool applyOwnAnswer(Fingerprint part);

    enum class Admission {
        Granted,
        // The request may be sent, to find out whether its parts still crash upstreams, by one daemon of the fleet.
        Trial,
        Denied,
    };

    // Decides whether a request may be sent to an upstream.
    Admission admit(std::span<Fingerprint const> parts, Instant now) const;
    // The subjects of the trial that a request is: the same one for all poison parts of the same crashes.
    std::vector<Fingerprint> trialSubjects(std::span<Fingerprint const> parts, Instant now) const;
    // A request has been sent as a trial. The crashes show whether it has failed, also to other daemons.
    void recordTrial(std::span<Fingerprint const> parts, Instant now);
    bool isPoison(Fingerprint part, Instant now) const;
    size_t poisonCount(Instant now) const;
    // Whether a request that was in flight at a crashed upstream may crash the next one as well. It is not to
    // be sent again then. Requests whose parts have been answered may be.
    bool mayCrashAgain(std::span<Fingerprint const> parts) const;
    // How long until the poison parts may have been tried again.
    Microseconds timeToTrial(std::span<Fingerprint const> parts, Instant now) const;

    // The evidence, which daemons exchange.
    CrashSuspects& evidence() { return m_evidence; }
    CrashSuspects const& evidence() const { return m_evidence; }

private:
    // When the crashes that count against the part were, in order.
    std::vector<Instant> countedCrashes(CrashSuspect const&, Instant now) const;
    // Whether a part without any answer is poison and was in flight at the upstream.
    bool isExplained(UpstreamId, Instant now) const;
    Microseconds trialIntervalFor(CrashSuspect const&) const;
    bool mayTry(CrashSuspect const&, std::span<Fingerprint const> parts, Instant now) const;
    // Whether another part, which the request does not have, was in flight at the same crashes.
    bool isAmbiguous(CrashSuspect const&, std::span<Fingerprint const> parts) const;
    std::vector<Fingerprint> poisonAmong(std::span<Fingerprint const> parts, Instant now) const;
    std::optional<Instant> lastAnswer(Fingerprint part) const;
    void rememberAnswer(Fingerprint part, Instant sentAt);

    Bounds m_bounds;
    CrashSuspects m_evidence;
    // When the latest answered request with a part was sent. Parts that are in the recent table only are
    // moved to the older one, in place of what is there, once the recent table is full.
    std::map<Fingerprint, Instant> m_recentAnswers;
    std::map<Fingerprint, Instant> m_olderAnswers;
    std::map<Fingerprint, Instant> m_lastTrials;
};

}

#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <array>
#include <map>
#include <optional>
#include <vector>

namespace Stagepost {

// A crash of an upstream process while a request was in flight there.
struct UpstreamCrash {
    // Identifies one process: a restarted upstream has another id.
    UpstreamId upstream;
    VMId observer;
    // When the answer to the request broke off.
    Instant observedAt;
    // How long the request had been there by then.
    Microseconds inFlight { 0 };

    Instant sentAt() const { return observedAt - inFlight; }
};

// A request that was in flight at upstreams when they crashed, or a part of the prompts of such requests.
struct CrashSuspect {
    Fingerprint subject;
    std::vector<UpstreamCrash> crashes;
    // When it was last answered in full. Crashes up to then were not caused by it.
    std::optional<Instant> clearedAt;
};

// Distinguishes poison requests, which crash each upstream that runs them, from requests that were
// in flight at a crashed upstream by coincidence. Each request in flight at an upstream that
// crashes becomes a suspect. A suspect with several crashes and no successful answer in between is
// poison and is not sent to any upstream. Without this, retries of a single poison request crashed
// nine upstreams 20 times in 16 s and cut off 163 answers to other requests.
//
// Upstreams that crash together for another reason make poison of a sound request that was in flight at all of
// them. Only an answer can show that it is sound, so poison is tried again: soon if its crashes may have had a
// common cause, and rarely if it was sent to each upstream after the crash of the one before.
class CrashSuspects {
public:
    struct Bounds {
        // The users' requirements allow a request three crashes. A coincidental suspect reaches
        // two only if its route allows two attempts and both upstreams crash.
        size_t poisonThreshold { 3 };
        // Crashes reported by a single other daemon count only up to this number, so that a
        // faulty daemon cannot make the whole fleet reject requests.
        size_t maxCrashesPerRemoteObserver { 2 };
        // Sufficient for crashes of a few upstreams with 64 requests each; an entry takes 160 bytes.
        size_t capacity { 1024 };
        // Enough for three crashes with two observers each. Further ones take the place of those that tell least.
        size_t maxCrashesPerSuspect { 6 };
        // Whether two observations of a crash are kept, which confirm each other. If not, only the first one is, and
        // the latest crashes replace the oldest.
        bool keepsTwoObservers { true };
        // Crashes of the same cause may be observed this far apart. A later one is separate from them if its
        // request was sent after them.
        Microseconds commonCauseSpan { 20000 };
        // How long after its latest crash a poison request is tried, by the number of its separate crashes: from
        // one on. A request with more of them is not tried. The users' requirements allow three trials that crash
        // upstreams later than 3 s after the third crash.
        std::array<Microseconds, 4> trialIntervals { Milliseconds(500), Milliseconds(1500), Seconds(30), Seconds(300) };
        // A poison request is admitted again after this, since the upstreams may have been fixed.
        Microseconds retention { 600000000 };
    };

    explicit CrashSuspects(VMId self)
        : CrashSuspects(self, Bounds {})
    {
    }
    CrashSuspects(VMId self, Bounds bounds)
        : m_self(self)
        , m_bounds(bounds)
    {
    }

    // Records a crash that this daemon observed after the request had been in flight at the upstream for the given
    // time. Returns whether the crash was new.
    bool recordCrash(Fingerprint, UpstreamId, Instant observedAt, Microseconds inFlight = {});
    // Records that this daemon saw the request answered in full, which clears its crashes. Returns
    // false if it had none.
    bool recordSuccess(Fingerprint, Instant now);
    // Records that crashes up to the given time were not caused by the suspect. Returns whether that is news:
    // it had such crashes, or had never been answered.
    bool clearUntil(Fingerprint, Instant);
    // Merges another daemon's record of a suspect. Returns whether its crashes changed.
    bool merge(CrashSuspect const&, Instant now);

    bool isPoison(Fingerprint) const;
    // The number of crashed upstreams that count against the request.
    size_t crashCount(Fingerprint) const;
    // The most crashes of which each came after the request was sent again since the one before. Crashes of
    // upstreams that the request was in flight at together count once.
    size_t separateCrashCount(Fingerprint) const;
    // Whether the request has crashed upstreams one after the other, which no common cause explains.
    bool isProven(Fingerprint request) const { return isPoison(request) && separateCrashCount(request) >= m_bounds.poisonThreshold; }
    // From when on a poison request may be tried; none if it is not tried any more.
    std::optional<Instant> nextTrialAt(Fingerprint) const;
    CrashSuspect const* find(Fingerprint) const;
    // If there are no suspects, requests need not be fingerprinted.
    bool isEmpty() const { return m_suspects.empty(); }
    std::map<Fingerprint, CrashSuspect> const& suspects() const { return m_suspects; }

    // Removes suspects without news for the retention time.
    void prune(Instant now);

private:
    bool add(CrashSuspect&, UpstreamCrash const&) const;
    bool makeRoom(CrashSuspect&, UpstreamCrash const&) const;
    void evictOne();

    VMId m_self;
    Bounds m_bounds;
    std::map<Fingerprint, CrashSuspect> m_suspects;
};

}

#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <map>
#include <optional>
#include <vector>

namespace Stagepost {

// An upstream's process ended while a request was with it.
struct UpstreamEnd {
    // One start of one upstream.
    UpstreamId upstream;
    VMId seenBy;
    Instant at;
};

// What is known of one request.
struct CrashSuspect {
    RequestFingerprint request;
    std::vector<UpstreamEnd> ends;
    // It was answered whole then, so what ended before did not end because of it.
    std::optional<Instant> clearedAt;
};

// Tells requests that end whoever runs them from those that were there by chance. Whatever was
// with an upstream when its process ended is a suspect; one under which several have ended, and
// that nobody has answered in between, is guilty and goes to no upstream any more. Without it
// one such request, sent again and again, ended 20 of nine upstreams in 16 s and broke off
// 163 answers of others (daemons' logs of a day).
class CrashSuspects {
public:
    struct Bounds {
        // The users allow three ends; a request that is with an upstream by chance comes to two
        // only where its route allows two attempts and both end.
        size_t endsOfGuilty { 3 };
        // Of the ends that one daemon alone has seen, others believe so many: a daemon that is
        // confused must not turn everybody's requests away.
        size_t endsByOneWitness { 2 };
        // Enough for a few upstreams that end with 64 requests each; 160 bytes an entry.
        size_t capacity { 1024 };
        // What more is known of a request changes nothing.
        size_t endsKept { 6 };
        // A guilty request is let through again after this: upstreams may have been mended.
        Microseconds memory { 600000000 };
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

    // This daemon saw the upstream end while the request was with it. False where it was known.
    bool ended(RequestFingerprint, UpstreamId, Instant now);
    // This daemon saw the request answered whole. False where it was no suspect.
    bool answered(RequestFingerprint, Instant now);
    // Takes over what another daemon knows. False where it changes nothing.
    bool merge(CrashSuspect const&, Instant now);

    bool isGuilty(RequestFingerprint) const;
    // How many upstreams count as ended under it.
    size_t endCount(RequestFingerprint) const;
    CrashSuspect const* find(RequestFingerprint) const;
    // Whether there are none: then no request needs a fingerprint.
    bool isEmpty() const { return m_suspects.empty(); }
    std::map<RequestFingerprint, CrashSuspect> const& all() const { return m_suspects; }

    // Forgets what is too old.
    void prune(Instant now);

private:
    bool add(CrashSuspect&, UpstreamEnd const&) const;
    void makeRoom();

    VMId m_self;
    Bounds m_bounds;
    std::map<RequestFingerprint, CrashSuspect> m_suspects;
};

}

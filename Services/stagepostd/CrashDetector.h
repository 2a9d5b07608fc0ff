#pragma once

#include <LibBase/Metrics.h>
#include <LibProxy/PortProbe.h>
#include <LibRouting/CrashSuspects.h>
#include <set>

namespace Stagepost {

// Finds out which broken answers were the end of an upstream's process, and books those on the
// requests that were there. An answer that breaks off may be the network's or that answer's own
// matter; a port that is closed right after it, or another start of the upstream in its place, is not.
class CrashDetector {
public:
    struct Hooks {
        // Asks the upstream's port what became of it.
        std::function<void(Endpoint const&, PortProbe::Callback)> probe;
        // Something new is known of the request, which others are to know.
        std::function<void(RequestFingerprint)> evidenceChanged;
    };

    // A request that the upstream broke off.
    struct BrokenRequest {
        RequestFingerprint request;
        UpstreamId upstream;
        // For the log.
        std::string instance;
        Endpoint endpoint;
    };

    CrashDetector(EventLoop&, Metrics&, CrashSuspects&, Hooks);
    CrashDetector(CrashDetector const&) = delete;
    CrashDetector& operator=(CrashDetector const&) = delete;

    // While nothing is suspected no request needs its fingerprint.
    bool hasSuspects() const { return !m_suspects.isEmpty(); }
    bool isGuilty(RequestFingerprint request) const { return m_suspects.isGuilty(request); }

    void requestBroken(BrokenRequest const&);
    // The request was answered whole.
    void requestAnswered(RequestFingerprint);
    // Another start of the upstream has taken the place of this one.
    void upstreamRestarted(UpstreamId);
    void tick();

private:
    // What an upstream broke off, until it is known whether it has ended.
    struct PendingCheck {
        std::set<RequestFingerprint> requests;
        std::string instance;
        Endpoint endpoint;
        Instant since;
        size_t probes { 0 };
        Instant nextProbeAt;
        bool isProbing { false };
    };

    void probe(UpstreamId, PendingCheck&);
    void handleProbeResult(UpstreamId, PortState);
    void confirmCrash(UpstreamId, std::string_view evidence);

    EventLoop& m_loop;
    Metrics& m_metrics;
    CrashSuspects& m_suspects;
    Hooks m_hooks;
    std::map<UpstreamId, PendingCheck> m_pendingChecks;
};

}

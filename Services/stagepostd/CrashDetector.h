#pragma once

#include <LibBase/Metrics.h>
#include <LibProxy/PortProbe.h>
#include <LibRouting/CrashSuspects.h>
#include <LibRouting/LinkFailureDetector.h>
#include <set>

namespace Stagepost {

// Detects which broken answers were caused by the end of an upstream's process, and records the
// crash for all requests that the upstream broke off. A broken answer alone may be a fault of the
// network or of that one request. A port that is closed right afterwards, or a restart of the
// upstream, proves that the process ended.
class CrashDetector {
public:
    struct Hooks {
        // Probes whether the upstream's port is still open.
        std::function<void(Endpoint const&, PortProbe::Callback)> probe;
        // There is new evidence about the request, to be shared with other daemons.
        std::function<void(Fingerprint)> evidenceChanged;
        // The state of this daemon's own links since then. Unless they are up, a closed port may be
        // their fault.
        std::function<LinkState(Instant)> linksSince { [](Instant) { return LinkState::Up; } };
    };

    // A request whose answer broke off.
    struct BrokenRequest {
        Fingerprint request;
        UpstreamId upstream;
        // Only logged.
        std::string instance;
        Endpoint endpoint;
    };

    CrashDetector(EventLoop&, Metrics&, CrashSuspects&, Hooks);
    CrashDetector(CrashDetector const&) = delete;
    CrashDetector& operator=(CrashDetector const&) = delete;

    // Without suspects, fingerprints of requests need not be computed.
    bool hasSuspects() const { return !m_suspects.isEmpty(); }
    bool isPoison(Fingerprint request) const { return m_suspects.isPoison(request); }
    // Whether an upstream has ended under the request, which need not be its fault.
    bool isSuspect(Fingerprint request) const { return m_suspects.crashCount(request) > 0; }

    void requestBroken(BrokenRequest const&);
    // The request was answered completely.
    void requestAnswered(Fingerprint);
    // A new process of the upstream has replaced this one.
    void upstreamRestarted(UpstreamId);
    void tick();

private:
    // The requests that an upstream broke off, until it is known whether its process has ended.
    struct PendingCheck {
        std::set<Fingerprint> requests;
        std::string instance;
        Endpoint endpoint;
        Instant since;
        size_t probes { 0 };
        Instant nextProbeAt;
        bool isProbing { false };
        bool isPortClosed { false };
    };

    void probe(UpstreamId, PendingCheck&);
    void handleProbeResult(UpstreamId, PortState);
    // Ends the check if the port is closed and the state of the links is known.
    bool finishIfPortClosed(UpstreamId, PendingCheck const&);
    void confirmCrash(UpstreamId, std::string_view evidence);

    EventLoop& m_loop;
    Metrics& m_metrics;
    CrashSuspects& m_suspects;
    Hooks m_hooks;
    std::map<UpstreamId, PendingCheck> m_pendingChecks;
};

}

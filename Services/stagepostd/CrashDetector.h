#pragma once

#include <LibBase/Metrics.h>
#include <LibProxy/PortProbe.h>
#include <LibRouting/CrashSuspects.h>
#include <LibRouting/LinkFailureDetector.h>
#include <LibRouting/PromptPartSuspects.h>
#include <map>
#include <set>
#include <span>

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
        // The same about a part of prompts.
        std::function<void(Fingerprint)> partEvidenceChanged { [](Fingerprint) {} };
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
        // When it was sent to the upstream.
        Instant sentAt;
        // The parts of its prompt that other requests may have as well.
        std::vector<Fingerprint> promptParts {};
    };

    CrashDetector(EventLoop&, Metrics&, CrashSuspects&, PromptPartSuspects&, Hooks);
    CrashDetector(CrashDetector const&) = delete;
    CrashDetector& operator=(CrashDetector const&) = delete;

    // Without suspects, fingerprints of requests need not be computed.
    bool hasSuspects() const { return !m_suspects.isEmpty(); }
    bool isPoison(Fingerprint request) const { return m_suspects.isPoison(request); }
    // Whether an upstream has ended under the request, which need not be its fault.
    bool isSuspect(Fingerprint request) const { return m_suspects.crashCount(request) > 0; }
    // Whether upstreams have ended under the request one after the other.
    bool isProven(Fingerprint request) const { return m_suspects.isProven(request); }
    // See CrashSuspects::nextTrialAt().
    std::optional<Instant> nextTrialAt(Fingerprint request) const { return m_suspects.nextTrialAt(request); }

    void requestBroken(BrokenRequest const&);
    // The end of its connection ended the answer to a request. The answer is complete if the upstream's process
    // lives on.
    void answerEndedWithConnection(BrokenRequest const&);
    // The request was answered completely.
    void requestAnswered(Fingerprint);
    // A request with these parts, which was sent at the given time, was answered completely.
    void promptAnswered(std::span<Fingerprint const> parts, Instant sentAt);
    // A new process of the upstream has replaced this one.
    void upstreamRestarted(UpstreamId);
    void tick();

private:
    struct UnconfirmedAnswer {
        Fingerprint request;
        std::vector<Fingerprint> promptParts;
        Instant sentAt;
    };

    // The requests that an upstream broke off, until it is known whether its process has ended.
    struct PendingCheck {
        void add(Fingerprint request, Instant sentAt, std::span<Fingerprint const> parts);

        // With the time at which they were sent, or the first of several copies was.
        std::map<Fingerprint, Instant> requests;
        std::set<Fingerprint> promptParts;
        std::vector<UnconfirmedAnswer> unconfirmedAnswers;
        std::string instance;
        Endpoint endpoint;
        Instant since;
        size_t probes { 0 };
        Instant nextProbeAt;
        bool isProbing { false };
        bool isPortClosed { false };
    };

    PendingCheck& startCheck(BrokenRequest const&);
    void probe(UpstreamId, PendingCheck&);
    // The upstream's process has not ended.
    void confirmAnswers(PendingCheck&);
    void handleProbeResult(UpstreamId, PortState);
    // Ends the check if the port is closed and the state of the links is known.
    bool finishIfPortClosed(UpstreamId, PendingCheck const&);
    void confirmCrash(UpstreamId, std::string_view evidence);
    void recordCrash(UpstreamId, PendingCheck const&);
    void recordPartCrash(UpstreamId, PendingCheck const&);

    EventLoop& m_loop;
    Metrics& m_metrics;
    CrashSuspects& m_suspects;
    PromptPartSuspects& m_partSuspects;
    Hooks m_hooks;
    std::map<UpstreamId, PendingCheck> m_pendingChecks;
};

}

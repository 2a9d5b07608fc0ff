#pragma once

#include <LibBase/Hooks.h>
#include <LibProxy/EventLoop.h>
#include <LibProxy/Timer.h>
#include <LibRouting/CrashExchange.h>
#include <LibRouting/PromptPartSuspects.h>
#include <LibRouting/TrialExchange.h>
#include <functional>
#include <memory>
#include <stagepostd/PeerChannel.h>
#include <string>
#include <string_view>
#include <vector>

namespace Stagepost {

// Permission to send one request that is held back because upstreams crashed under it. No other daemon has one for the
// same subject as long as this object exists.
class CrashTrial {
public:
    using EndHook = std::function<void(TrialOutcome)>;

    explicit CrashTrial(EndHook hook)
        : m_end(std::move(hook))
    {
    }
    ~CrashTrial() { m_end(m_outcome); }
    CrashTrial(CrashTrial const&) = delete;
    CrashTrial& operator=(CrashTrial const&) = delete;

    // What has become of the request so far.
    void setOutcome(TrialOutcome outcome) { m_outcome = outcome; }

private:
    EndHook m_end;
    TrialOutcome m_outcome { TrialOutcome::NotSent };
};

// What the daemons of a fleet tell each other about upstreams that crashed under requests, and about trials of these.
class CrashEvidenceSharing {
public:
    struct Hooks {
        std::function<void(VMId to, PeerMessageKind, std::string const& body)> send;
        // The relays of all halls, and the daemons that poll this one.
        std::function<std::vector<VMId>()> relays;
        std::function<std::vector<VMId>()> subscribers;
        // Empty if the daemon is not registered.
        std::function<std::string_view(VMId)> nameOf;
        RandomHook random;
    };

    // The references must outlive this object.
    CrashEvidenceSharing(EventLoop&, CrashSuspects&, PromptPartSuspects&, Hooks);
    CrashEvidenceSharing(CrashEvidenceSharing const&) = delete;
    CrashEvidenceSharing& operator=(CrashEvidenceSharing const&) = delete;

    // Starts to exchange messages.
    void join(FleetPeer const& self);
    void setPeers(std::vector<FleetPeer> const&);
    void tick();
    // Handles a message of the kinds Crashes, PartCrashes and Trials. Returns false if it is malformed.
    bool receive(PeerMessageKind, VMId from, std::string_view body);

    // Sends this daemon's evidence about the request to others.
    void shareRequest(Fingerprint);
    // The same about a part of prompts.
    void sharePart(Fingerprint);

    // Calls back once another daemon has told which parts of prompts crash upstreams, at once if one has, and
    // after some tenths of a second from the start in any case.
    void whenPartsAreKnown(std::function<void()>);

    // Receives null if another daemon has the trial, or has had it a moment ago.
    using TrialCallback = std::function<void(std::unique_ptr<CrashTrial>)>;
    // See TrialExchange::request().
    void requestTrial(Fingerprint subject, TrialCallback);

private:
    CrashExchange::Hooks exchangeHooks(PeerMessageKind) const;
    bool arePartsKnown() const;
    void resumeWaitingForParts();
    bool receiveCrashes(VMId from, std::string_view body);
    bool receivePartCrashes(VMId from, std::string_view body);
    bool receiveTrial(VMId from, std::string_view body);

    EventLoop& m_loop;
    CrashSuspects& m_suspects;
    PromptPartSuspects& m_partSuspects;
    Hooks m_hooks;
    // Null before this daemon has joined.
    std::unique_ptr<CrashExchange> m_exchange;
    std::unique_ptr<CrashExchange> m_partExchange;
    std::shared_ptr<TrialExchange> m_trials;
    Instant m_startedAt;
    std::vector<std::function<void()>> m_waitingForParts;
    Timer m_waitingForPartsTimer;
};

}

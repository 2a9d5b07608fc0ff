#pragma once

#include <LibBase/FleetPeer.h>
#include <LibBase/QuestionNumbers.h>
#include <LibBase/Result.h>
#include <LibRouting/TrialLeases.h>
#include <LibRouting/TrialMessage.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Stagepost {

// Lets one daemon of the fleet at a time send a request that is held back because upstreams crashed under it, to find
// out whether it crashes them. A daemon asks when a caller asks it, so that trials happen where callers are.
//
// Rendezvous hashing selects two arbiters for each subject. The first one's word counts; the second one's if the first
// is silent; and a daemon that reaches neither decides for itself. While a trial lasts, its lease is renewed at both,
// so that another daemon gets the next trial soon after the one that has it is gone. Different views of the fleet, and
// cuts, may lead to two trials at a time.
class TrialExchange {
public:
    struct Bounds {
        size_t arbiterCount { 2 };
        // Longer than a round trip between regions and the interval between ticks.
        Microseconds responseTimeout { 100000 };
        Microseconds renewalInterval { 500000 };
        // How long this daemon does not ask again after a denial: the longer of both, so that a large fleet does not
        // ask an arbiter more than 80 times a second, which it answers with 5 KB.
        Microseconds denialPause { 250000 };
        Microseconds denialPausePerDaemon { 12000 };
        // How long this daemon does not ask again after a trial of its own that was not sent. Longer than the arbiters'
        // pause, so that it is not denied.
        Microseconds unsentPause { 150000 };
        // Trials that this daemon asks for or has at the same time.
        size_t maxTrials { 64 };
        TrialLeases::Bounds leases {};
    };

    struct Hooks {
        std::function<void(VMId to, std::string bytes)> send;
        RandomHook random;
    };

    // Receives the number of the trial; none if it was denied.
    using Callback = std::function<void(std::optional<uint64_t> trial)>;

    TrialExchange(FleetPeer self, Bounds, Hooks);

    // Sets the other registered daemons.
    void setPeers(std::vector<FleetPeer> const&);
    // Asks for a trial of the subject. Invokes the callback synchronously if this daemon can decide.
    void request(Fingerprint subject, Callback, Instant now);
    // Ends a trial of this daemon's.
    void end(uint64_t trial, TrialOutcome, Instant now);

    // Error: Malformed.
    Result<void> receive(VMId from, std::string_view bytes, Instant now);
    void tick(Instant now);

private:
    struct Trial {
        Fingerprint subject;
        // The first one's word counts most.
        std::vector<VMId> arbiters;
        // What each of them has said.
        std::map<VMId, bool> responses;
        Instant deadline;
        Instant nextRenewalAt;
        // Null once it is decided.
        Callback callback;
    };

    std::vector<VMId> arbitersOf(Fingerprint) const;
    // Asks the other arbiters, and this daemon if it is one.
    void askArbiters(uint64_t number, Trial&, Instant now);
    bool decideHere(uint64_t number, Trial const&, Instant now);
    // What the arbiters decide; none if it is not known yet.
    std::optional<bool> decisionOf(Trial const&, Instant now) const;
    // Calls back if it is decided.
    void finishIfDecided(uint64_t number, Instant now);
    void recordDenial(Fingerprint, Instant now);
    void release(uint64_t number, Trial const&, TrialOutcome, Instant now);

    FleetPeer m_self;
    Bounds m_bounds;
    Hooks m_hooks;
    std::vector<VMId> m_fleet;
    TrialLeases m_leases;
    QuestionNumbers m_numbers;
    // Those asked for and those under way.
    std::map<uint64_t, Trial> m_trials;
    // Until when this daemon does not ask for a subject.
    std::map<Fingerprint, Instant> m_pausedUntil;
};

}

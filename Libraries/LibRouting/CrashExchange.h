#pragma once

#include <LibBase/FleetPeer.h>
#include <LibBase/Result.h>
#include <LibRouting/CrashSuspects.h>
#include <functional>
#include <string>
#include <string_view>

namespace Stagepost {

// Tells the daemons of a fleet which requests have ended upstreams. Each daemon sees a few of
// those ends. It tells what it saw to the homes of the request: two daemons of the fleet and
// one of its hall, which all agree on by rendezvous. Once two upstreams have ended under
// a request its homes tell the relays of all halls, and each relay the daemons that
// ask it. So an upstream that ends with 64 requests costs each daemon a few hundred bytes at any size
// of the fleet, and what matters is known to all after three messages.
//
// Messages may be lost, and daemons start or come back: everything is told again, ever
// more rarely, and whoever starts asks some others, by a message that tells nothing.
class CrashExchange {
public:
    struct Bounds {
        // From one telling to the next, doubled each time.
        Microseconds firstPause { 250000 };
        Microseconds longestPause { 16000000 };
        // Of a request under which one upstream has ended: all but a few are there by chance.
        Microseconds toldAsChance { 30000000 };
        // From this many ends on all are told.
        size_t endsToldToAll { 2 };
        // A daemon has 9 KB/s for control, most of which counts of load may take. A telling
        // to 42 relays, as at 330 daemons, takes 5 KB at once.
        double bytesPerSecond { 1500 };
        double burstBytes { 8000 };
        // To a daemon that is new: those with the most ends.
        size_t suspectsToNewcomers { 16 };
        // A daemon that starts asks so many others, so many times: some may have started as well.
        size_t askedAtStart { 4 };
        size_t asksAtStart { 3 };
    };

    struct Hooks {
        std::function<void(VMId to, std::string bytes)> send;
        // Who speaks with this daemon: the relays of all halls, and those that ask it.
        std::function<std::vector<VMId>()> relays;
        std::function<std::vector<VMId>()> askers;
    };

    CrashExchange(FleetPeer self, CrashSuspects& suspects, Bounds bounds, Hooks hooks)
        : m_self(self)
        , m_suspects(suspects)
        , m_bounds(bounds)
        , m_hooks(std::move(hooks))
        , m_credit(bounds.burstBytes)
    {
    }

    // All other daemons that are registered.
    void setPeers(std::vector<FleetPeer>, Instant now);
    // This daemon has seen something about the request.
    void seen(RequestFingerprint, Instant now);
    // Takes a message. The result is the requests of which it told something new. Error: Malformed.
    Result<std::vector<RequestFingerprint>> receive(VMId from, std::string_view bytes, Instant now);
    void tick(Instant now);

private:
    // What is left to tell of one request.
    struct Telling {
        Instant nextAt;
        Microseconds pause;
        // Whether this daemon has seen something itself.
        bool isWitness { false };
    };

    std::vector<VMId> homesOf(RequestFingerprint) const;
    bool concernsAll(CrashSuspect const&) const;
    std::vector<VMId> audienceOf(CrashSuspect const&, bool isWitness) const;
    void tell(CrashSuspect const&, Telling&, Instant now);
    void tellNewcomers(Instant now);
    std::vector<CrashSuspect const*> whatConcernsAll() const;
    void askAtStart(Instant now);
    void send(VMId to, std::vector<CrashSuspect const*> const&, Instant now);
    void earnCredit(Instant now);

    FleetPeer m_self;
    CrashSuspects& m_suspects;
    Bounds m_bounds;
    Hooks m_hooks;
    std::vector<FleetPeer> m_peers;
    std::map<RequestFingerprint, Telling> m_tellings;
    std::vector<VMId> m_knownAskers;
    size_t m_asks { 0 };
    Instant m_nextAskAt;
    double m_credit;
    Instant m_creditedAt;
};

}

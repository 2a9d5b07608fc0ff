#pragma once

#include <LibBase/FleetPeer.h>
#include <LibBase/Result.h>
#include <LibRouting/CrashSuspects.h>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Stagepost {

// Disseminates crash suspects among the daemons of a fleet. Each daemon observes only some of the
// crashes. It sends its observations to the homes of the request, which rendezvous hashing selects:
// two daemons of the fleet and one of the observer's hall. Once a request has crashed two upstreams,
// its homes send the suspect to the relays of all halls, and each relay sends it to its subscribers.
// The crash of an upstream with 64 requests thus costs each daemon a few hundred bytes at any fleet
// size, and a fleet-wide suspect reaches every daemon after three messages.
//
// Since messages may be lost and daemons may restart, each announcement is repeated with exponential
// backoff, and a daemon that starts requests a snapshot from some others by sending an empty message.
class CrashExchange {
public:
    struct Bounds {
        // The interval between repetitions, which doubles each time.
        Microseconds initialInterval { 250000 };
        Microseconds maxInterval { 16000000 };
        // The least interval between announcements of a suspect that has been answered, which may change
        // with every answer.
        Microseconds answeredInterval { 0 };
        // How long a suspect that is not fleet-wide is repeated: nearly all of these are coincidental.
        Microseconds coincidenceLifetime { 30000000 };
        // The number of crashes from which on a suspect is sent to the whole fleet.
        size_t fleetWideThreshold { 2 };
        // Whether the whole fleet is told that a suspect was answered, even if it was not told of the suspect.
        bool areAnswersFleetWide { true };
        // Whether requests for snapshots are answered even if there are no suspects.
        bool answersWithoutSuspects { false };
        // A daemon may send 9 KB/s of control messages, most of which may be load counts. An
        // announcement to the 42 relays of a fleet of 330 daemons takes 5 KB at once.
        double bytesPerSecond { 1500 };
        double maxBurstBytes { 8000 };
        // A snapshot for a new subscriber contains the suspects with the most crashes.
        size_t maxSuspectsPerSnapshot { 16 };
        // At startup, snapshots are requested from several daemons and repeatedly, since some of
        // them may have just started as well.
        size_t startupPeerCount { 4 };
        size_t startupRequestCount { 3 };
    };

    struct Hooks {
        std::function<void(VMId to, std::string bytes)> send;
        // The relays of all halls, and the daemons that poll this one.
        std::function<std::vector<VMId>()> relays;
        std::function<std::vector<VMId>()> subscribers;
    };

    CrashExchange(FleetPeer self, CrashSuspects& suspects, Bounds bounds, Hooks hooks)
        : m_self(self)
        , m_suspects(suspects)
        , m_bounds(bounds)
        , m_hooks(std::move(hooks))
        , m_sendBudget(bounds.maxBurstBytes)
    {
    }

    // Sets the other registered daemons.
    void setPeers(std::vector<FleetPeer>, Instant now);
    // Announces a suspect for which this daemon has recorded a new observation.
    void announce(Fingerprint, Instant now);
    // The same for a suspect that an answer will probably clear soon. It is not announced before the delay
    // has passed, and not at all if it is cleared until then, unless the fleet knows of it already.
    void announceUnlessCleared(Fingerprint, Microseconds delay, Instant now);
    // Returns the requests whose suspects have changed. Error: Malformed.
    Result<std::vector<Fingerprint>> receive(VMId from, std::string_view bytes, Instant now);
    void tick(Instant now);
    // Whether any other daemon has told what it knows since this one started.
    bool hasHeard() const { return m_hasHeard; }

private:
    // The repetition schedule of one suspect.
    struct Announcement {
        Instant nextAt;
        Microseconds interval;
        // Whether this daemon has made an observation itself.
        bool isObserver { false };
        // Whether the whole fleet has been told of the suspect, and is told what follows as well.
        bool isFleetWide { false };
        // Not announced yet; see announceUnlessCleared().
        bool isDelayed { false };
        // When it was last sent, if it was.
        std::optional<Instant> sentAt {};
    };

    std::vector<VMId> homesOf(Fingerprint) const;
    bool isFleetWide(CrashSuspect const&) const;
    std::vector<VMId> recipientsOf(CrashSuspect const&, Announcement const&) const;
    void makeDue(CrashSuspect const&, Announcement&, Instant now) const;
    void sendAnnouncement(CrashSuspect const&, Announcement&, Instant now);
    void sendDue(Instant now);
    void sendToNewSubscribers(Instant now);
    std::vector<CrashSuspect const*> fleetWideSuspects() const;
    void requestSnapshotsAtStart(Instant now);
    void answerSnapshotRequest(VMId from, Instant now);
    void send(VMId to, std::vector<CrashSuspect const*> const&, Instant now);
    void refillSendBudget(Instant now);

    FleetPeer m_self;
    CrashSuspects& m_suspects;
    Bounds m_bounds;
    Hooks m_hooks;
    std::vector<FleetPeer> m_peers;
    std::map<Fingerprint, Announcement> m_announcements;
    std::vector<VMId> m_knownSubscribers;
    size_t m_startupRequests { 0 };
    bool m_hasHeard { false };
    Instant m_nextStartupRequestAt;
    double m_sendBudget;
    Instant m_refilledAt;
};

}

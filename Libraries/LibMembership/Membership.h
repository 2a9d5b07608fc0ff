#pragma once

#include <LibBase/Hooks.h>
#include <LibBase/Ids.h>
#include <LibBase/Result.h>
#include <LibMembership/HallReachability.h>
#include <LibMembership/MemberState.h>
#include <LibMembership/MembershipMessage.h>
#include <LibMembership/UpdateQueue.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Stagepost {

// Detects which daemons are alive, with the SWIM protocol. In each interval a daemon
// pings one other daemon of its hall. If that does not acknowledge, the daemon asks
// others to ping it, then suspects it, and declares it dead when it does not refute
// the suspicion in time. Updates are piggybacked on these messages, so the number of
// messages that a daemon sends does not grow with the fleet. Between halls, two
// representatives of each hall ping a daemon of every other hall.
class Membership {
public:
    static constexpr Microseconds tickInterval { 50000 };
    static constexpr Microseconds probeInterval { 500000 };
    // How long to wait for an acknowledgement before others are asked to ping.
    static constexpr Microseconds ackTimeout { 200000 };
    static constexpr Microseconds suspicionTimeout { 1500000 };
    static constexpr Microseconds hallProbeInterval { 1000000 };

    struct Hooks {
        std::function<void(VMId to, std::string bytes)> send;
        RandomHook random;
        // A member's state or a hall's reachability has changed.
        std::function<void()> changed;
        // A daemon has reported the revision of the settings that it uses.
        std::function<void(VMId, Revision)> revisionSeen;
    };

    Membership(VMId self, HallId hall, Incarnation, Hooks);
    Membership(Membership const&) = delete;
    Membership& operator=(Membership const&) = delete;

    // Adds a daemon from the platform's list. It counts as alive until it fails to
    // acknowledge pings.
    void addMember(VMId, HallId, Instant now);
    void removeMember(VMId);
    // Adds the state of an upstream in the platform's list. Ignored unless its list
    // version is newer than the known one.
    void addUpstreamUpdate(UpstreamUpdate const&);

    // Announces that this daemon is about to stop, or withdraws the announcement.
    void setLeaving(bool);
    void setRevision(Revision revision) { m_revision = revision; }

    // Error: Malformed.
    Result<void> receive(VMId from, std::string_view bytes, Instant now);
    void tick(Instant now);

    // Dead for unknown daemons.
    MemberState stateOf(VMId) const;
    bool isHallReachable(HallId hall, Instant now) const { return m_hallReachability.isReachable(hall, now); }
    // The newest update of the upstream, or null if there was none.
    UpstreamUpdate const* lastUpstreamUpdate(UpstreamId) const;

    size_t size() const { return m_members.size() + 1; }

private:
    struct Member {
        MemberUpdate update;
        Instant suspectedAt;
        bool isSuspected { false };
    };
    struct Probe {
        VMId target;
        uint64_t sequence { 0 };
        Instant sentAt;
        bool sentPingRequests { false };
        bool isAcknowledged { true };
    };
    // A ping sent on behalf of another daemon, which gets the acknowledgement.
    struct ForwardedPing {
        VMId requester;
        uint64_t sequence { 0 };
        Instant at;
    };

    void startProbe(Instant now);
    void sendPingRequests(Instant now);
    void probeOtherHalls(Instant now);
    bool isRepresentative() const;
    std::vector<VMId> liveHallMembers() const;
    VMId nextProbeTarget();

    void send(VMId to, MembershipMessage::Kind, uint64_t sequence, VMId target, Instant now);
    void handleAcknowledgement(VMId, uint64_t sequence, Instant now);
    bool apply(MemberUpdate const&, Instant now);
    bool apply(UpstreamUpdate const&);
    void refuteIfNeeded(MemberUpdate const&);
    void suspect(VMId, Instant now);
    void expireSuspicions(Instant now);
    MemberUpdate ownUpdate() const;

    VMId m_self;
    HallId m_hall;
    Incarnation m_incarnation;
    Hooks m_hooks;
    uint64_t m_version { 0 };
    bool m_isLeaving { false };
    Revision m_revision;
    std::map<VMId, Member> m_members;
    std::map<UpstreamId, UpstreamUpdate> m_upstreams;
    HallReachability m_hallReachability;
    UpdateQueue m_updateQueue;
    Probe m_probe;
    std::map<uint64_t, ForwardedPing> m_forwardedPings;
    uint64_t m_sequence { 0 };
    std::vector<VMId> m_probeOrder;
    Instant m_probeStartedAt;
    Instant m_hallProbeStartedAt;
};

}

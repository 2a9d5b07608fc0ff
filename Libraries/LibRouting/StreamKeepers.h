#pragma once

#include <LibBase/FleetPeer.h>
#include <LibBase/Time.h>
#include <deque>
#include <vector>

namespace Stagepost {

// Which daemons keep the records of a stream. Rendezvous hashing of the stream's id chooses them, so every daemon with the
// same list of daemons knows whom to ask. Lists that were in force before are remembered for as long as records last.
class StreamKeepers {
public:
    struct Bounds {
        // The daemons that keep each record. In a large fleet, a daemon's traffic allows fewer.
        size_t keepers { 3 };
        size_t keepersInLargeFleet { 2 };
        size_t largeFleet { 128 };
        // Other daemons may use a list of daemons that is older by this.
        Microseconds peerListLag { 3000000 };
        // The earlier lists of daemons that are remembered.
        size_t maxEarlierLists { 64 };
    };

    // The keepers of a stream by a list of daemons that was in force until then.
    struct Keepers {
        std::vector<VMId> daemons;
        Instant until;
    };

    StreamKeepers(FleetPeer self, Bounds bounds)
        : m_self(self)
        , m_bounds(bounds)
    {
    }

    // Sets the other registered daemons.
    void setPeers(std::vector<FleetPeer>, Instant now);
    // Lists of daemons may have been missed until now.
    void forgetEarlierLists(Instant now);
    // Whether the other daemons have been set. The functions below require it.
    bool knowsPeers() const { return !m_lists.empty(); }

    // All daemons, including this one.
    std::vector<FleetPeer> const& peers() const { return m_lists.back().peers; }
    bool isLargeFleet() const { return peers().size() > m_bounds.largeFleet; }
    bool isListed(VMId) const;
    // The keepers come first.
    std::vector<VMId> chooseDaemons(StreamId stream, size_t count) const { return chooseDaemons(peers(), stream, count); }
    std::vector<VMId> chooseKeepers(StreamId stream) const { return chooseDaemons(peers(), stream, keeperCount(peers())); }
    // Those by the present list come last.
    std::vector<Keepers> keepersByAllLists(StreamId, Instant now) const;
    // Since when all lists are remembered.
    Instant knownSince() const { return m_lists.front().since; }
    // Whether another daemon may have chosen these keepers at that time or later.
    bool mayBeInUse(Keepers const& keepers, Instant since) const { return keepers.until >= since - m_bounds.peerListLag; }

private:
    struct PeerList {
        std::vector<FleetPeer> peers;
        Instant since;
    };

    static std::vector<VMId> chooseDaemons(std::vector<FleetPeer> const&, StreamId, size_t count);
    size_t keeperCount(std::vector<FleetPeer> const& peers) const { return peers.size() <= m_bounds.largeFleet ? m_bounds.keepers : m_bounds.keepersInLargeFleet; }

    FleetPeer m_self;
    Bounds m_bounds;
    // The lists of daemons that have been in force, the present one last. Empty before the first one.
    std::deque<PeerList> m_lists;
};

}

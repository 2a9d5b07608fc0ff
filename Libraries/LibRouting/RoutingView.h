#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Stagepost {

struct UpstreamView {
    UpstreamId id;
    PoolId pool;
    HallId hall;
    // A leaving upstream finishes its requests and receives no new ones.
    bool isLeaving { false };
    double weight { 1 };
    auto operator<=>(UpstreamView const&) const = default;
};

struct DaemonView {
    VMId id;
    HallId hall;
    // A leaving daemon finishes its requests but no longer owns any upstream.
    bool isLeaving { false };
    auto operator<=>(DaemonView const&) const = default;
};

// The upstreams and daemons that one daemon considers present and reachable. The views
// of different daemons can differ for several seconds.
class RoutingView {
public:
    RoutingView() = default;
    RoutingView(VMId self, HallId hall, std::vector<UpstreamView>, std::vector<DaemonView>);

    // Returns at most maxCount upstreams of the pool that accept new requests, in the
    // chat's rendezvous order with the first choice first.
    std::vector<UpstreamId> candidates(PoolId, ChatId, size_t maxCount) const;

    // Returns the daemon that tracks the upstream's requests. It is chosen by rendezvous
    // hashing among the active daemons of the upstream's hall, or among those of all halls
    // if that hall has none.
    std::optional<VMId> ownerOf(UpstreamId) const;

    // Returns the daemon that aggregates the reports of all daemons about a subject.
    std::optional<VMId> coordinatorOf(uint64_t subject) const;

    UpstreamView const* find(UpstreamId) const;
    std::vector<UpstreamView> const& upstreams() const { return m_upstreams; }
    std::vector<DaemonView> const& daemons() const { return m_daemons; }
    // Returns the daemons that are not leaving, or all daemons if every one is leaving.
    std::vector<VMId> const& activeDaemons() const { return m_active; }
    std::vector<size_t> const& upstreamsOf(PoolId) const;
    // Whether the view contains the daemon, including one that is leaving.
    bool hasDaemon(VMId id) const { return m_known.contains(id); }
    VMId self() const { return m_self; }
    HallId hall() const { return m_hall; }

private:
    VMId m_self;
    HallId m_hall;
    std::vector<UpstreamView> m_upstreams;
    std::vector<DaemonView> m_daemons;
    std::unordered_map<UpstreamId, size_t> m_upstreamIndex;
    std::unordered_map<PoolId, std::vector<size_t>> m_pools;
    std::unordered_map<HallId, std::vector<VMId>> m_hallDaemons;
    std::vector<VMId> m_active;
    std::unordered_set<VMId> m_known;
};

}

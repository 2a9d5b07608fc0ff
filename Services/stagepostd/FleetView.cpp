#include <stagepostd/FleetView.h>

#include <algorithm>
#include <set>

namespace Stagepost {

namespace {

    bool isRoutable(VMEntry const& entry, Membership const& membership, Instant now)
    {
        if (!membership.isHallReachable(entry.hallId(), now))
            return false;
        if (entry.role == VMRole::Entry)
            return membership.stateOf(entry.id()) != MemberState::Dead;
        auto const* update = membership.lastUpstreamUpdate(entry.upstreamId());
        return !update || update->state != UpstreamState::Gone;
    }

    bool isLeaving(VMEntry const& entry, Membership const& membership)
    {
        if (entry.state == VMState::Leaving)
            return true;
        if (entry.role == VMRole::Entry)
            return membership.stateOf(entry.id()) == MemberState::Leaving;
        auto const* update = membership.lastUpstreamUpdate(entry.upstreamId());
        return update && update->state == UpstreamState::Leaving;
    }

}

std::string_view regionOf(std::string_view hall)
{
    auto const slash = hall.find('/');
    return slash == std::string_view::npos ? std::string_view {} : hall.substr(0, slash);
}

RoutingView makeRoutingView(VMList const& list, Membership const& membership, VMId self, std::string_view hall, Instant now)
{
    auto const region = regionOf(hall);
    std::vector<UpstreamView> upstreams;
    std::vector<UpstreamView> otherUpstreams;
    std::set<PoolId> ownPools;
    std::vector<DaemonView> daemons;
    for (auto const& [id, entry] : list.entries()) {
        if (id == self || !isRoutable(entry, membership, now))
            continue;
        bool const isVMLeaving = isLeaving(entry, membership);
        bool const isOwnRegion = regionOf(entry.hall) == region;
        if (entry.role == VMRole::Upstream) {
            UpstreamView const view { entry.upstreamId(), entry.poolId(), entry.hallId(), isVMLeaving, 1 };
            (isOwnRegion ? upstreams : otherUpstreams).push_back(view);
            if (isOwnRegion)
                ownPools.insert(view.pool);
        } else if (isOwnRegion) {
            daemons.push_back({ id, entry.hallId(), isVMLeaving });
        }
    }
    std::copy_if(otherUpstreams.begin(), otherUpstreams.end(), std::back_inserter(upstreams), [&](auto const& view) { return !ownPools.contains(view.pool); });
    daemons.push_back({ self, HallId::fromName(hall), membership.stateOf(self) == MemberState::Leaving });
    return { self, HallId::fromName(hall), std::move(upstreams), std::move(daemons) };
}

double shareOfFleet(VMList const& list, RoutingView const& view)
{
    auto const listedCount = std::count_if(list.entries().begin(), list.entries().end(), [](auto const& entry) {
        return entry.second.role == VMRole::Entry && entry.second.state == VMState::Live;
    });
    if (listedCount == 0)
        return 1;
    return std::min(1.0, static_cast<double>(view.daemons().size()) / static_cast<double>(listedCount));
}

}

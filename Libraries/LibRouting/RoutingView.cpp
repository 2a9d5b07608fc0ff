#include <LibRouting/RoutingView.h>

#include <LibRouting/Rendezvous.h>
#include <algorithm>

namespace Stagepost {

namespace {

    std::optional<VMId> highestRanked(uint64_t key, std::vector<VMId> const& daemons)
    {
        std::optional<VMId> best;
        double bestRank = 0;
        for (auto const daemon : daemons) {
            auto const rank = rendezvousRank(key, daemon.value());
            if (!best || rank > bestRank) {
                best = daemon;
                bestRank = rank;
            }
        }
        return best;
    }

}

RoutingView::RoutingView(VMId self, HallId hall, std::vector<UpstreamView> upstreams, std::vector<DaemonView> daemons)
    : m_self(self)
    , m_hall(hall)
    , m_upstreams(std::move(upstreams))
    , m_daemons(std::move(daemons))
{
    for (size_t index = 0; index < m_upstreams.size(); ++index) {
        m_upstreamIndex.emplace(m_upstreams[index].id, index);
        m_pools[m_upstreams[index].pool].push_back(index);
    }
    for (auto const& daemon : m_daemons) {
        m_known.insert(daemon.id);
        if (daemon.isLeaving)
            continue;
        m_active.push_back(daemon.id);
        m_hallDaemons[daemon.hall].push_back(daemon.id);
    }
    if (m_active.empty())
        m_active.assign(m_known.begin(), m_known.end());
}

UpstreamView const* RoutingView::find(UpstreamId id) const
{
    auto const found = m_upstreamIndex.find(id);
    return found == m_upstreamIndex.end() ? nullptr : &m_upstreams[found->second];
}

std::vector<size_t> const& RoutingView::upstreamsOf(PoolId pool) const
{
    static std::vector<size_t> const none;
    auto const found = m_pools.find(pool);
    return found == m_pools.end() ? none : found->second;
}

std::vector<UpstreamId> RoutingView::candidates(PoolId pool, ChatId chat, size_t maxCount) const
{
    struct Ranked {
        double rank;
        UpstreamId id;
    };
    std::vector<Ranked> ranked;
    for (auto const index : upstreamsOf(pool)) {
        auto const& upstream = m_upstreams[index];
        if (!upstream.isLeaving)
            ranked.push_back({ rendezvousRank(chat.value(), upstream.id.value(), upstream.weight), upstream.id });
    }
    auto const count = std::min(maxCount, ranked.size());
    auto const middle = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(ranked.begin(), middle, ranked.end(), [](auto const& a, auto const& b) { return a.rank > b.rank; });
    std::vector<UpstreamId> result;
    for (auto entry = ranked.begin(); entry != middle; ++entry)
        result.push_back(entry->id);
    return result;
}

std::optional<VMId> RoutingView::ownerOf(UpstreamId id) const
{
    auto const* upstream = find(id);
    if (!upstream)
        return {};
    auto const inHall = m_hallDaemons.find(upstream->hall);
    if (inHall == m_hallDaemons.end())
        return coordinatorOf(id.value());
    return highestRanked(id.value(), inHall->second);
}

std::optional<VMId> RoutingView::coordinatorOf(uint64_t subject) const
{
    return highestRanked(subject, m_active);
}

}

#include <LibRollout/TrialSet.h>

#include <LibBase/Hash.h>
#include <algorithm>
#include <cmath>

namespace Stagepost {

namespace {

    // An upstream's turn in a trial that has the load of one. In an order of 12 s these are 2.8 s, so that most
    // of its requests find the concurrent ones that an old upstream has.
    constexpr double turnPart = 0.23;

}

std::vector<UpstreamId> selectTrialSet(RolloutId order, std::vector<UpstreamId> const& newUpstreams, size_t oldUpstreamCount, double share)
{
    auto result = newUpstreams;
    std::sort(result.begin(), result.end(), [order](UpstreamId one, UpstreamId other) {
        auto const rankOfOne = mixHashes(order.value(), one.value());
        auto const rankOfOther = mixHashes(order.value(), other.value());
        return rankOfOne != rankOfOther ? rankOfOne > rankOfOther : one > other;
    });
    // Without old upstreams there is no load to divide, and none but the new ones can take requests.
    if (share >= 1 || !oldUpstreamCount)
        return result;
    auto const byLoad = static_cast<size_t>(std::ceil(std::max(0.0, share) * static_cast<double>(oldUpstreamCount)));
    result.resize(std::min(result.size(), std::max(minTrialUpstreams, byLoad)));
    return result;
}

std::vector<UpstreamId> selectTrialSetAt(double elapsedPart, RolloutId order, std::vector<UpstreamId> const& newUpstreams, size_t oldUpstreamCount, double share)
{
    auto selected = selectTrialSet(order, newUpstreams, 0, share);
    if (share >= 1 || !oldUpstreamCount || selected.empty())
        return selected;
    // Rounded down, since a fault under load only shows on upstreams that carry the load of the old ones.
    auto const byLoad = static_cast<size_t>(std::max(0.0, share) * static_cast<double>(oldUpstreamCount));
    if (byLoad > 1 || selected.size() == 1) {
        selected.resize(std::min(selected.size(), std::max(minTrialUpstreams, byLoad)));
        return selected;
    }
    auto const turn = static_cast<size_t>(std::max(0.0, elapsedPart) / turnPart) % 2;
    return { selected[turn] };
}

}

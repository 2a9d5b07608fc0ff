#include <LibMembership/UpdateQueue.h>

#include <algorithm>
#include <bit>

namespace Stagepost {

namespace {

    // The number of transmissions per bit of the fleet's size.
    constexpr size_t retransmitMultiplier = 3;

    size_t transmissionLimit(size_t fleetSize)
    {
        return retransmitMultiplier * std::max<size_t>(2, std::bit_width(fleetSize));
    }

}

template <typename Key, typename Update>
std::vector<Update> UpdateQueue::take(std::map<Key, Entry<Update>>& entries, size_t fleetSize)
{
    std::vector<Update> taken;
    if (entries.empty())
        return taken;
    std::vector<typename std::map<Key, Entry<Update>>::iterator> order;
    for (auto entry = entries.begin(); entry != entries.end(); ++entry)
        order.push_back(entry);
    auto const count = std::min(order.size(), maxUpdatesPerMessage);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(),
        [](auto const& a, auto const& b) { return a->second.transmissions < b->second.transmissions; });
    order.resize(count);
    for (auto const& entry : order) {
        taken.push_back(entry->second.update);
        if (++entry->second.transmissions >= transmissionLimit(fleetSize))
            entries.erase(entry);
    }
    return taken;
}

template std::vector<MemberUpdate> UpdateQueue::take(std::map<VMId, Entry<MemberUpdate>>&, size_t);
template std::vector<UpstreamUpdate> UpdateQueue::take(std::map<UpstreamId, Entry<UpstreamUpdate>>&, size_t);

}

#include <LibRouting/ContextHolders.h>

#include <algorithm>

namespace Stagepost {

namespace {

    // Older holders have probably evicted the context, or are gone.
    constexpr size_t maxHoldersPerContext = 4;

}

std::vector<UpstreamId> ContextHolders::recordPlacement(uint64_t context, UpstreamId upstream)
{
    auto previous = m_holders.find(context).value_or(std::vector<UpstreamId> {});
    std::erase(previous, upstream);
    auto updated = previous;
    updated.insert(updated.begin(), upstream);
    updated.resize(std::min(updated.size(), maxHoldersPerContext));
    m_holders.put(context, std::move(updated));
    return previous;
}

}

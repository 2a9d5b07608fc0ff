#include <LibRouting/ContextHolders.h>

#include <algorithm>

namespace Stagepost {

namespace {

    // Of one context: older ones are likely to have dropped it, or to be gone.
    constexpr size_t mostHolders = 4;

}

std::vector<UpstreamId> ContextHolders::placed(uint64_t context, UpstreamId upstream)
{
    auto before = m_holders.find(context).value_or(std::vector<UpstreamId> {});
    std::erase(before, upstream);
    auto now = before;
    now.insert(now.begin(), upstream);
    now.resize(std::min(now.size(), mostHolders));
    m_holders.put(context, std::move(now));
    return before;
}

}

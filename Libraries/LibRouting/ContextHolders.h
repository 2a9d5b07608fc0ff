#pragma once

#include <LibBase/Ids.h>
#include <LibRouting/RecentMap.h>
#include <cstdint>
#include <vector>

namespace Stagepost {

// Which upstreams were sent a context, as far as one daemon was told. What upstreams drop to
// make room is not known, so the newest is the one to go by.
class ContextHolders {
public:
    explicit ContextHolders(size_t mostContexts)
        : m_holders(mostContexts)
    {
    }

    // The context goes to that upstream now. The result is who had it before, the newest first.
    std::vector<UpstreamId> placed(uint64_t context, UpstreamId);

    size_t size() const { return m_holders.size(); }

private:
    RecentMap<uint64_t, std::vector<UpstreamId>> m_holders;
};

}

#pragma once

#include <LibBase/Ids.h>
#include <LibRouting/BoundedMap.h>
#include <cstdint>
#include <vector>

namespace Stagepost {

// Records which upstreams a context was placed on, as reported to this daemon. Evictions at the
// upstreams are not reported, so the most recent holder is the most likely to have the context.
class ContextHolders {
public:
    explicit ContextHolders(size_t maxContexts)
        : m_holders(maxContexts)
    {
    }

    // Records that the context is placed on the upstream. Returns the other upstreams that it was
    // placed on before, most recent first.
    std::vector<UpstreamId> recordPlacement(uint64_t context, UpstreamId);

    size_t size() const { return m_holders.size(); }

private:
    BoundedMap<uint64_t, std::vector<UpstreamId>> m_holders;
};

}

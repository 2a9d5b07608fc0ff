#pragma once

#include <LibBase/Ids.h>
#include <Measure/Placement/Workload.h>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Stagepost::Measure {

// Simulates an engine's load and its LRU cache of chat contexts.
class SimulatedEngine {
public:
    static constexpr uint32_t cacheCapacityTokens = 600000;

    struct CacheEvent {
        uint64_t chat { 0 };
        bool isStored { false };
        uint32_t tokens { 0 };
    };

    SimulatedEngine(UpstreamId engineId, size_t hallIndex)
        : id(engineId)
        , hall(hallIndex)
    {
    }

    // Starts a request and returns the number of its context tokens that were cached.
    uint32_t start(TracedRequest const&);
    void finish(TracedRequest const&);
    // Simulates the loss of the engine: clears the cache, the pending events and the load.
    void reset();

    uint32_t cachedTokens(uint64_t chat) const;
    std::vector<CacheEvent> takeEvents() { return std::exchange(m_events, {}); }

    UpstreamId id;
    size_t hall;
    bool isAlive { true };
    size_t inFlight { 0 };
    // Incremented by each reset(), which ends all requests that were running.
    uint64_t generation { 0 };

private:
    struct CacheEntry {
        uint32_t tokens { 0 };
        std::list<uint64_t>::iterator position;
    };
    void store(uint64_t chat, uint32_t tokens);

    std::unordered_map<uint64_t, CacheEntry> m_cache;
    std::list<uint64_t> m_recency;
    uint64_t m_usedTokens { 0 };
    std::vector<CacheEvent> m_events;
};

}

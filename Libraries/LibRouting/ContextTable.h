#pragma once

#include <LibBase/Ids.h>
#include <LibRouting/BoundedMap.h>
#include <cstdint>
#include <optional>

namespace Stagepost {

// Tracks the chats whose context one upstream is assumed to cache, and the upstreams that chats
// were moved to from it. Both are estimates: they come from grants and from cache events, which
// are delayed and incomplete. Each map evicts the entry that was written longest ago.
class ContextTable {
public:
    ContextTable(size_t maxChats, size_t maxMoved)
        : m_held(maxChats)
        , m_moved(maxMoved)
    {
    }

    void insert(ChatId, uint32_t tokens);
    void erase(ChatId chat) { m_held.erase(chat); }
    bool contains(ChatId chat) const { return m_held.contains(chat); }

    void setMoved(ChatId chat, UpstreamId to) { m_moved.put(chat, to); }
    std::optional<UpstreamId> movedTo(ChatId chat) const { return m_moved.find(chat); }
    void clearMoved(ChatId chat) { m_moved.erase(chat); }

    size_t size() const { return m_held.size(); }
    size_t movedSize() const { return m_moved.size(); }

private:
    BoundedMap<ChatId, uint32_t> m_held;
    BoundedMap<ChatId, UpstreamId> m_moved;
};

}

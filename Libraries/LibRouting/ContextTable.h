#pragma once

#include <LibBase/Ids.h>
#include <LibRouting/RecentMap.h>
#include <cstdint>
#include <optional>

namespace Stagepost {

// Which chats one upstream is believed to hold, and where chats that were sent
// on from it went. Both are beliefs: they come from grants and from cache events
// that are late and have gaps, and the least recently used are forgotten first.
class ContextTable {
public:
    ContextTable(size_t mostChats, size_t mostMoved)
        : m_held(mostChats)
        , m_moved(mostMoved)
    {
    }

    void hold(ChatId, uint32_t tokens);
    void forget(ChatId chat) { m_held.erase(chat); }
    bool holds(ChatId chat) const { return m_held.contains(chat); }

    void setMoved(ChatId chat, UpstreamId to) { m_moved.put(chat, to); }
    std::optional<UpstreamId> movedTo(ChatId chat) const { return m_moved.find(chat); }
    void clearMoved(ChatId chat) { m_moved.erase(chat); }

    size_t size() const { return m_held.size(); }
    size_t movedSize() const { return m_moved.size(); }

private:
    RecentMap<ChatId, uint32_t> m_held;
    RecentMap<ChatId, UpstreamId> m_moved;
};

}

#pragma once

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>

namespace Stagepost {

// A map of limited capacity that evicts the entry that was written longest ago. Reads do not
// refresh an entry.
template <typename Key, typename Value>
class BoundedMap {
public:
    explicit BoundedMap(size_t capacity)
        : m_capacity(capacity)
    {
    }

    void put(Key key, Value value)
    {
        erase(key);
        m_order.push_front({ key, std::move(value) });
        m_index[key] = m_order.begin();
        if (m_order.size() > m_capacity)
            erase(m_order.back().first);
    }

    void erase(Key key)
    {
        auto const found = m_index.find(key);
        if (found == m_index.end())
            return;
        m_order.erase(found->second);
        m_index.erase(found);
    }

    std::optional<Value> find(Key key) const
    {
        auto const found = m_index.find(key);
        return found == m_index.end() ? std::nullopt : std::optional(found->second->second);
    }

    bool contains(Key key) const { return m_index.contains(key); }
    size_t size() const { return m_order.size(); }

private:
    using Order = std::list<std::pair<Key, Value>>;
    size_t m_capacity;
    Order m_order;
    std::unordered_map<Key, typename Order::iterator> m_index;
};

}

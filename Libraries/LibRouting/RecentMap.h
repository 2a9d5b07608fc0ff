#pragma once

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>

namespace Stagepost {

// A map with a bound that forgets what was put in the longest time ago.
template <typename Key, typename Value>
class RecentMap {
public:
    explicit RecentMap(size_t most)
        : m_most(most)
    {
    }

    void put(Key key, Value value)
    {
        erase(key);
        m_order.push_front({ key, std::move(value) });
        m_index[key] = m_order.begin();
        if (m_order.size() > m_most)
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
    size_t m_most;
    Order m_order;
    std::unordered_map<Key, typename Order::iterator> m_index;
};

}

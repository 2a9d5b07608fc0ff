#pragma once

#include <LibBase/Time.h>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace Stagepost::Measure {

// A discrete-event scheduler with a simulated clock. Events at the same time run in insertion order.
class EventQueue {
public:
    Instant now() const { return m_now; }
    double seconds() const { return asSeconds(m_now.time_since_epoch()); }

    void at(Instant time, std::function<void()> function) { m_events.push({ time, m_next++, std::move(function) }); }
    void after(Microseconds delay, std::function<void()> function) { at(m_now + delay, std::move(function)); }

    void runUntil(Instant end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.function();
        }
        m_now = end;
    }

private:
    struct Event {
        Instant time;
        uint64_t order;
        std::function<void()> function;
        bool operator<(Event const& other) const { return time != other.time ? time > other.time : order > other.order; }
    };

    Instant m_now;
    uint64_t m_next { 0 };
    std::priority_queue<Event> m_events;
};

inline Microseconds fromSeconds(double seconds)
{
    return Microseconds(static_cast<int64_t>(seconds * 1e6));
}

inline Instant instantAt(double seconds)
{
    return Instant(fromSeconds(seconds));
}

}

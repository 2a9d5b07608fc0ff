#pragma once

#include <LibBase/Time.h>
#include <algorithm>
#include <cstddef>
#include <deque>

namespace Stagepost {

// Counts the most recent requests sent to one upstream in a sliding time window.
class SendWindow {
public:
    // maxKept bounds the memory. Callers never compare the count with a higher number.
    void add(size_t sends, size_t maxKept, Instant now)
    {
        m_sends.insert(m_sends.end(), std::min(sends, maxKept), now);
        while (m_sends.size() > maxKept)
            m_sends.pop_front();
    }

    size_t count(Microseconds window, Instant now)
    {
        while (!m_sends.empty() && now - m_sends.front() >= window)
            m_sends.pop_front();
        return m_sends.size();
    }

private:
    std::deque<Instant> m_sends;
};

}

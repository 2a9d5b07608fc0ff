#pragma once

#include <LibBase/Time.h>
#include <algorithm>
#include <cstddef>
#include <deque>

namespace Stagepost {

// The newest sends to one upstream, counted in a window that slides with the time.
class SendWindow {
public:
    // Only so many are kept as are ever compared with.
    void add(size_t sends, size_t mostKept, Instant now)
    {
        m_sends.insert(m_sends.end(), std::min(sends, mostKept), now);
        while (m_sends.size() > mostKept)
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

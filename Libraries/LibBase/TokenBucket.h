#pragma once

#include <LibBase/Time.h>
#include <algorithm>

namespace Stagepost {

// Allows so many a second in the long run, and so many at once.
class TokenBucket {
public:
    // It begins full.
    explicit TokenBucket(double most)
        : m_tokens(most)
        , m_most(most)
    {
    }

    // Whether one more is allowed now; it is counted then.
    bool take(double perSecond, Instant now)
    {
        if (m_filledAt != Instant {})
            m_tokens = std::min(m_most, m_tokens + asSeconds(now - m_filledAt) * perSecond);
        m_filledAt = now;
        if (m_tokens < 1)
            return false;
        --m_tokens;
        return true;
    }

private:
    double m_tokens;
    double m_most;
    Instant m_filledAt;
};

}

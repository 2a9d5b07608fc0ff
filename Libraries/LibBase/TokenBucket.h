#pragma once

#include <LibBase/Time.h>
#include <algorithm>

namespace Stagepost {

// A token bucket: limits the average rate and the size of a burst.
class TokenBucket {
public:
    // The bucket starts full.
    explicit TokenBucket(double capacity)
        : m_tokens(capacity)
        , m_capacity(capacity)
    {
    }

    // Takes one token. Returns false if none is left.
    bool take(double perSecond, Instant now)
    {
        if (m_refilledAt != Instant {})
            m_tokens = std::min(m_capacity, m_tokens + asSeconds(now - m_refilledAt) * perSecond);
        m_refilledAt = now;
        if (m_tokens < 1)
            return false;
        --m_tokens;
        return true;
    }

private:
    double m_tokens;
    double m_capacity;
    Instant m_refilledAt;
};

}

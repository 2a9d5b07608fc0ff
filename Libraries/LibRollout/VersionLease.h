#pragma once

#include <LibBase/Time.h>
#include <optional>

namespace Stagepost {

// A permission that expires. It counts from the time at which the renewing request was sent, so neither a slow
// reply nor a pause of the process extends it.
class VersionLease {
public:
    explicit VersionLease(Microseconds duration)
        : m_duration(duration)
    {
    }

    void renew(Instant requestSentAt)
    {
        if (!m_since || requestSentAt > *m_since)
            m_since = requestSentAt;
    }
    bool isValid(Instant now) const { return m_since && now - *m_since < m_duration; }

private:
    Microseconds m_duration;
    std::optional<Instant> m_since;
};

}

#pragma once

#include <LibBase/Time.h>
#include <optional>

namespace Stagepost {

// An upper bound for the age of replicated state. The age counts from the time at which the
// confirming read was sent: the responder may have taken its snapshot at any time after that,
// so a slow response does not prove that the state is newer. After a process was paused, its
// state counts as old without further action, because MonotonicClock kept running.
class StalenessBound {
public:
    // Ignores a response to a read that was sent before the latest confirmed one.
    void confirm(Instant readSentAt)
    {
        if (!m_confirmedAt || readSentAt > *m_confirmedAt)
            m_confirmedAt = readSentAt;
    }

    std::optional<Instant> confirmedAt() const { return m_confirmedAt; }
    bool isKnown() const { return m_confirmedAt.has_value(); }
    std::optional<Microseconds> age(Instant now) const { return m_confirmedAt ? std::optional(now - *m_confirmedAt) : std::nullopt; }
    bool isWithin(Microseconds bound, Instant now) const { return m_confirmedAt && now - *m_confirmedAt <= bound; }

private:
    std::optional<Instant> m_confirmedAt;
};

}

#pragma once

#include <LibBase/Time.h>
#include <optional>

namespace Stagepost {

// How old a belief can be at most. It counts from the moment at which the read
// that confirmed it was sent: whoever answered may have looked at any time after
// that, and an answer that took long proves nothing newer. A process that was
// paused finds its beliefs old by itself, since its clock went on.
class ProvenAge {
public:
    // An answer that arrived after a newer one changes nothing.
    void confirm(Instant readSentAt)
    {
        if (!m_provenAt || readSentAt > *m_provenAt)
            m_provenAt = readSentAt;
    }

    std::optional<Instant> provenAt() const { return m_provenAt; }
    bool isKnown() const { return m_provenAt.has_value(); }
    std::optional<Microseconds> age(Instant now) const { return m_provenAt ? std::optional(now - *m_provenAt) : std::nullopt; }
    bool isWithin(Microseconds bound, Instant now) const { return m_provenAt && now - *m_provenAt <= bound; }

private:
    std::optional<Instant> m_provenAt;
};

}

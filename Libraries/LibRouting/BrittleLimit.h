#pragma once

#include <LibBase/Time.h>
#include <LibRouting/LoadEstimate.h>
#include <cstddef>
#include <optional>

namespace Stagepost {

// The load limit of an upstream that announces to be brittle: one that crashes if it has to reject too
// many requests in a second, and lets fewer wait than usual. So it must not be filled until it rejects
// requests, as an upstream otherwise may be.
//
// The limit is the number of slots, or the load that the upstream reported when it last rejected a
// request, if that was lower. From there it rises again step by step. While requests wait although slots
// are free, as they do for memory, the limit is the reported load.
class BrittleLimit {
public:
    // The upstream announces in an answer that it is brittle.
    void announced(Instant now) { m_announcedAt = now; }
    // An answer does not announce it.
    void revoked() { m_announcedAt.reset(); }
    void reported(UpstreamLoadReport const&, Instant now);
    // The upstream has rejected a request for want of room, after it reported its load in that answer.
    void rejected(Instant now);
    // The upstream was seen with as many requests as the limit allows, or more.
    void filled(Instant now) { m_filledAt = now; }

    bool isActive(Instant now) const;
    // The highest load of an upstream with that many slots; at least 1.
    size_t limit(size_t slots, Instant now) const;
    // Whether it may have had to reject requests of any daemon within the last second.
    bool mayHaveRejected(Instant now) const;

private:
    std::optional<Instant> m_announcedAt;
    std::optional<UpstreamLoadReport> m_report;
    Instant m_reportedAt;
    std::optional<size_t> m_rejectedLoad;
    Instant m_rejectedAt;
    // The last rejection, with or without a known load, and when the upstream was last full.
    std::optional<Instant> m_lastRejectionAt;
    std::optional<Instant> m_filledAt;
};

}

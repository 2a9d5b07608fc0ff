#pragma once

#include <LibBase/Hooks.h>
#include <LibBase/Ids.h>
#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace Stagepost {

// Whether this daemon's own links to the upstreams work.
enum class LinkState : uint8_t {
    Up,
    // Connections have failed since the last one that was established. The upstreams may be gone,
    // or the links may be lost.
    Suspected,
    // Connections to several upstreams have failed and none was established since, so this daemon
    // cannot reach any.
    Lost,
};

// Failure detector for this daemon's own links. After the loss of its links every upstream looks
// dead, so failures at single upstreams must not be blamed on them.
//
// Only attempts to connect count: connections that were established before the loss may live on.
// While the links are suspected or lost, upstreams are probed, so that the state is known within
// a few round trips whatever the rate of requests is.
class LinkFailureDetector {
public:
    struct Bounds {
        // Upstreams that have to fail in a row, or all if there are fewer. More than the upstreams
        // that usually end together.
        size_t failedUpstreams { 4 };
        // Failures that are older no longer count, unless the links are lost.
        Microseconds failureLifetime { 1000000 };
        Microseconds probeInterval { 100000 };
        // After a probe that was answered. Without the pause, each failure of a service whose
        // upstreams have all ended would cause probes.
        Microseconds pauseAfterSuccess { 500000 };
        // An upstream that has not failed for so long ends the pause when it fails: the links may have
        // been lost since the probe.
        Microseconds repeatedFailureTime { 5000000 };
        // Enough to decide in one round after a failure.
        size_t probesAtOnce { 3 };
    };

    LinkFailureDetector() = default;
    explicit LinkFailureDetector(Bounds bounds)
        : m_bounds(bounds)
    {
    }

    // A connection to any upstream was established, for a request or by a probe.
    void connected(Instant now);
    void probeConnected(Instant now);
    // Connecting to the upstream failed. Takes the number of known upstreams.
    void connectFailed(UpstreamId, size_t upstreamCount, Instant now);
    // Answers are overdue and no upstream sends anything.
    void suspect(Instant now);

    LinkState state(Instant now) const;
    bool isLost() const { return m_lostSince.has_value(); }
    std::optional<Instant> lostSince() const { return m_lostSince; }
    // Whether the links were lost at any time since then.
    bool wasLostSince(Instant) const;
    // Whether a connection was established since then.
    bool hasConnectedSince(Instant time) const { return m_connectedAt && *m_connectedAt >= time; }

    // The upstreams to probe now, out of all known ones; usually none.
    std::vector<UpstreamId> takeProbes(std::vector<UpstreamId> const& upstreams, RandomHook const&, Instant now);
    // Ends the pause after an answered probe, for a failure that has to be judged soon.
    void endPause() { m_nextProbeAt = std::min(m_nextProbeAt, m_probedAt + m_bounds.probeInterval); }
    // All probes of a round have failed. If that decides nothing yet, the next round need not wait.
    void probesFailed(Instant now) { m_nextProbeAt = now; }
    bool isProbeDue(Instant now) const { return state(now) != LinkState::Up && now >= m_nextProbeAt; }

private:
    void expireFailures(Instant now);
    // Records the failure, and returns whether it is the first one in a while.
    bool isNewFailure(UpstreamId, Instant now);

    Bounds m_bounds;
    // The upstreams that could not be connected to since the last connection, and when.
    std::map<UpstreamId, Instant> m_failures;
    // The last failure of each upstream, also if other upstreams were connected to since. Forgotten when
    // lost links are back.
    std::map<UpstreamId, Instant> m_lastFailures;
    std::optional<Instant> m_suspectedAt;
    std::optional<Instant> m_connectedAt;
    std::optional<Instant> m_lostSince;
    std::optional<Instant> m_lostUntil;
    Instant m_probedAt;
    Instant m_nextProbeAt;
};

}

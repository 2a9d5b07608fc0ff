#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <LibRouting/BoundedMap.h>
#include <LibRouting/ColdStartLimit.h>
#include <LibRouting/PermitMessage.h>
#include <LibRouting/SendWindow.h>
#include <cstddef>
#include <functional>
#include <map>

namespace Stagepost {

// A daemon's estimate of the state of an upstream, made without a request to the upstream's owner.
struct UpstreamForecast {
    // The expected number of requests that all daemons have in flight there.
    double inFlight { 0 };
    // The mean time that a request is in flight.
    Microseconds holdTime { 0 };
    // The rate that the upstream handles while it is cold, and whether it is known to be cold.
    ColdStartLimit coldBound {};
    bool isCold { false };
    // Whether the usual rate of the service's upstreams is within the cold bound. If so, the bound
    // is also enforced on upstreams that are not known to be cold, since one may have become cold
    // without any daemon knowing yet.
    bool canAlwaysEnforceColdBound { false };
};

// An owner's decision on a permit request.
struct PermitDecision {
    bool isGranted { false };
    // The requests in flight at the upstream, without the requested one.
    size_t count { 0 };
    // Whether the upstream is cold or may be, and its cold quota is used up. Then the request must
    // not go there, however loaded the other candidates are.
    bool isExhausted { false };
    // Whether the context has not been placed on the upstream before.
    bool isContextNew { false };
};

// A daemon's rank as owner of an upstream for which it receives a permit request.
enum class OwnerRank : uint8_t {
    Primary,
    // Another daemon may receive requests too, or may have received them until recently.
    Secondary,
    // At least two daemons precede it, or the daemon has only just started.
    Other,
};

// Whether and how a daemon owns an upstream for which it receives a permit request.
struct OwnerStatus {
    OwnerRank rank { OwnerRank::Other };
    // Whether no other daemon precedes it, so that its count is complete.
    bool isFirstChoice { false };
};

// Counts the requests in flight at the upstreams that this daemon owns, and grants permits for
// further ones. Every other daemon requests a permit from the owner before it sends a request, and
// reports when the request has finished. Messages contain the sender's total count at the upstream,
// so a lost message is corrected by the next one; counts that are not refreshed expire.
class InFlightCounter {
public:
    using Forecast = std::function<UpstreamForecast(UpstreamId)>;

    explicit InFlightCounter(Forecast forecast)
        : m_forecast(std::move(forecast))
    {
    }

    // Decides whether a daemon may send one more request to the upstream. It is granted if fewer
    // requests than the limit are in flight there, and is then counted immediately. For a cold
    // upstream, grants are also limited to the quota of this daemon's owner rank.
    PermitDecision requestPermit(VMId from, PermitRequest const&, OwnerStatus, Instant now);
    // Sets the number of requests that a daemon has in flight at the upstream.
    void report(VMId from, UpstreamId, size_t ownInFlight, Instant now);
    // Removes counts that have expired.
    void tick(Instant now);

    size_t count(UpstreamId) const;

private:
    struct DaemonCount {
        size_t count { 0 };
        Instant updatedAt;
    };
    // An upstream caches fewer contexts than this.
    static constexpr size_t maxContextsPerUpstream = 16384;
    struct UpstreamState {
        std::map<VMId, DaemonCount> daemonCounts;
        // Recent sends, which are compared with the cold bound.
        SendWindow sends;
        // The cold bound and the end of the cold phase as reported by requesting daemons, which
        // may know of them before this daemon does.
        ColdStartLimit reportedBound;
        Instant reportedColdUntil;
        // Contexts that were placed on the upstream.
        BoundedMap<uint64_t, bool> contexts { maxContextsPerUpstream };
        // When the first message about the upstream arrived.
        Instant createdAt;
        Instant updatedAt;
    };

    UpstreamState& stateOf(UpstreamId, Instant now);
    static size_t estimate(UpstreamForecast const&, UpstreamState const&, bool isFirstOwner, Instant now);
    void recordSends(UpstreamId, UpstreamState&, size_t sends, Instant now);
    static size_t coldQuota(OwnerRank, ColdStartLimit const&);
    static void recordColdNotice(UpstreamState&, ColdStartNotice const&, Instant now);
    static size_t totalInFlight(UpstreamState const&);

    Forecast m_forecast;
    std::map<UpstreamId, UpstreamState> m_upstreams;
};

// How long a daemon's reported in-flight count remains valid, and the interval at which the daemon
// repeats it while requests are in flight.
Microseconds inFlightRetention(Microseconds holdTime);
Microseconds inFlightReportInterval(Microseconds holdTime);

}

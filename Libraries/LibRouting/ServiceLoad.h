#pragma once

#include <LibBase/Time.h>
#include <cstddef>
#include <optional>
#include <vector>

namespace Stagepost {

// The load of one upstream: at the last count, and its moving mean.
struct CountedLoad {
    double counted { 0 };
    double mean { 0 };
};

// The loads of upstreams that do not serve while a service changes its version: those that take the requests
// meant for them, and those that take none.
struct OtherVersionLoads {
    std::vector<CountedLoad> candidates;
    std::vector<CountedLoad> excluded;
};

// Load statistics over all upstreams of a service, and the load limits of a single upstream
// that follow from them: the hold time of requests, the age of counts, the dispersion of loads
// about their means, and the recent growth of all loads.
class ServiceLoad {
public:
    struct Bounds {
        // The users' limit of an upstream's load: loadMultiple times the service's mean load,
        // plus loadSlack requests.
        double loadMultiple { 2 };
        double loadSlack { 3 };
        // The fraction of the users' excess over the mean, and the number of further requests,
        // that placement uses, since the mean may fall after a request was admitted.
        double usableExcess { 0.5 };
        double usableSlack { 2 };
        // If a smaller fraction of the counted requests is still in flight when counts are used,
        // upstreams aren't chosen by individual counts: all daemons would send to the same
        // upstream until the next counts show it.
        double minRemainingForCounts { 0.3 };
        // If a smaller fraction is still in flight, the counts don't show queues.
        double minRemainingForQueues { 0.1 };
        // Policies that experiments can switch off, see GatewayPolicies.
        bool foreseesFall { true };
        bool learnsHoldAtOnce { true };
        bool isCautious { true };
    };

    explicit ServiceLoad(Bounds bounds)
        : m_bounds(bounds)
    {
    }

    // A request has ended that its upstream held for that time.
    void requestEnded(Microseconds held);
    // Counts of that age have arrived.
    void countsReceived(Microseconds age, Instant now);
    // Updates the statistics from the loads of the upstreams that stay, of those that are leaving and
    // get no new requests, and of those of other versions, which are not counted as capacity. The users'
    // limit refers to the mean of all.
    void updateLoads(std::vector<CountedLoad> const& staying, std::vector<CountedLoad> const& leaving, OtherVersionLoads const& otherVersions = {});

    Bounds const& bounds() const { return m_bounds; }
    // The moving mean of the hold time.
    Microseconds hold() const;
    // The moving mean of the age of the other daemons' counts when they are used.
    Microseconds countsAge() const { return m_countsAge; }
    // Whether counts are recent enough to choose an upstream by its own count.
    bool areCountsFresh() const;
    // Whether counts are recent enough to show queues.
    bool areQueuesKnown() const;

    // The load above which an upstream with that many slots isn't chosen for its context.
    double contextLoadLimit(double mean, size_t slots) const;
    // The mean load intended for an upstream with that many slots.
    double target(size_t slots) const;
    // The highest count at which the owner of an upstream with that many slots admits another
    // request. The owner's count is exact, so no margin for fluctuation is needed, only one for
    // the mean, which is a second old and may fall.
    size_t ownerGrantLimit(size_t slots) const;
    // The absolute maximum for an upstream, if so few of the service's upstreams take requests
    // that even their mean could reach the users' limit and requests have to be refused. None if
    // distributing the requests is enough.
    std::optional<size_t> maxLoad() const;
    // The mean load of the upstreams that stay.
    double mean() const { return m_mean; }
    // The mean load of an upstream scaled by the growth of all loads, or its last count during a
    // surge to it.
    double adjustedLoad(CountedLoad const&) const;

private:
    double contextLoadLimit(double mean) const;
    double targetWithMargin() const;
    void updateDispersion(std::vector<CountedLoad> const&);
    double predictedMean(double mean, double counted) const;
    double limitMeanRatio() const;
    double evenLoadLimit() const;

    Bounds m_bounds;
    Microseconds m_hold { 0 };
    size_t m_endedRequests { 0 };
    Microseconds m_countsAge { 0 };
    std::optional<Instant> m_countedAt;
    // Moving mean of the index of dispersion: the variance of the upstreams' loads about their
    // means, relative to that of independent requests.
    double m_dispersion { 1 };
    double m_mean { 0 };
    // The mean that the users' limit refers to, or that of the staying upstreams if it is lower.
    double m_limitMean { 0 };
    // m_limitMean as predicted for the time in which the counts are used.
    double m_predictedMean { 0 };
    std::optional<Instant> m_updatedAt;
    // The fraction of upstreams that stay.
    double m_stayingShare { 1 };
    bool m_hasOtherVersions { false };
    double m_growth { 1 };
    double m_target { 0 };
};

}

#pragma once

#include <LibBase/Time.h>
#include <cstddef>
#include <optional>
#include <vector>

namespace Stagepost {

// What one upstream held when the others' requests were counted last, and in the mean.
struct CountedLoad {
    double counted { 0 };
    double usual { 0 };
};

// How the load of a service behaves over all of its upstreams, and what one of them may
// hold: how long requests stay, how old counts are, how far chance carries a load from
// its mean, and how all loads have grown.
class ServiceLoad {
public:
    struct Bounds {
        // What the users allow an upstream to hold: a multiple of the service's
        // mean load, and some requests more.
        double loadMultiple { 2 };
        double loadSlack { 3 };
        // Of what they allow above the mean, and in requests more, what is used: the
        // mean can fall after a request was let in.
        double usableExcess { 0.5 };
        double usableSlack { 2 };
        // Counts of which less than this share still holds are too old to go by one by one:
        // all daemons would send to the same upstream until it shows in the next counts.
        double leastFreshness { 0.3 };
        // Counts of which less than this share still holds say nothing of queues.
        double leastFreshnessOfQueues { 0.1 };
        // What experiments switch off one by one, see GatewayPolicies.
        bool foreseesFall { true };
        bool learnsHoldAtOnce { true };
        bool isCautious { true };
    };

    explicit ServiceLoad(Bounds bounds)
        : m_bounds(bounds)
    {
    }

    // A request has ended that stayed at its upstream for so long.
    void ended(Microseconds held);
    // Counts have come that were so old.
    void counted(Microseconds age, Instant now);
    // What they tell of all upstreams that stay, and of those that get nothing further but are
    // still there: the users judge by the mean of all.
    void found(std::vector<CountedLoad> const& staying, std::vector<CountedLoad> const& others);

    Bounds const& bounds() const { return m_bounds; }
    // How long requests stay, a moving mean.
    Microseconds hold() const;
    // How old the others' counts are when they are used, a moving mean.
    Microseconds countsAge() const { return m_countsAge; }
    // Whether counts may be gone by one by one.
    bool areCountsFresh() const;
    // Whether counts tell of queues.
    bool areQueuesKnown() const;

    // Beyond which an upstream with so many places takes nothing for a context's sake.
    double usable(double mean, size_t places) const;
    // What such an upstream is to hold in the mean.
    double target(size_t places) const;
    // How many an upstream with so many places may hold for its owner to let in one more. The
    // count is exact, so nothing is kept back for chance; what is kept is for the mean, which
    // is a second old and may fall.
    size_t grantable(size_t places) const;
    // What an upstream may hold at most, whatever the mean, where so few of a service's upstreams
    // take requests that their mean alone could come to the users' bound: then requests have to
    // be turned away. None where spreading them is enough.
    std::optional<size_t> most() const;
    // What each upstream that stays holds in the mean.
    double mean() const { return m_mean; }
    // What an upstream holds in the mean, as all have grown since, or more where there
    // is a rush to it.
    double standing(CountedLoad const&) const;

private:
    double usable(double mean) const;
    double targetOfChance() const;
    void noteSpread(std::vector<CountedLoad> const&);
    double foreseen(double mean, double counted) const;
    double judgedShare() const;

    Bounds m_bounds;
    Microseconds m_hold { 0 };
    size_t m_ended { 0 };
    Microseconds m_countsAge { 0 };
    std::optional<Instant> m_countedAt;
    // The variance of upstreams' loads about their means, in units of that of requests
    // that come and go independently of one another; a moving mean.
    double m_spread { 1 };
    double m_mean { 0 };
    // The mean by which the users judge, or that of those that stay where it is lower.
    double m_judgedMean { 0 };
    // The same as it is likely to be while counts of it are used.
    double m_meanInUse { 0 };
    std::optional<Instant> m_foundAt;
    // Of all upstreams that count in the mean, those that stay.
    double m_stayingShare { 1 };
    double m_growth { 1 };
    double m_target { 0 };
};

}

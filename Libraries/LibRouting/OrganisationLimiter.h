#pragma once

#include <LibBase/Ids.h>
#include <LibBase/RefusalReason.h>
#include <LibBase/Time.h>
#include <optional>

namespace Stagepost {

// Fleet-wide limits of one organisation.
struct OrganisationLimits {
    double requestsPerSecond { 1000 };
    double inFlight { 10000 };
};

// Enforces this daemon's share of one organisation's limits, with a token bucket for the
// rate and a counter for the in-flight requests. ShareExchange adjusts the share to the
// ratio of the organisation's local demand to its fleet-wide demand.
class OrganisationLimiter {
public:
    // Capacity of the bucket in seconds of the rate. minBurst keeps a small share of a
    // limit from refusing the second of two simultaneous requests.
    static constexpr double burstSeconds = 2;
    static constexpr double minBurst = 4;
    static constexpr double minInFlight = 4;

    OrganisationLimiter(OrganisationLimits limits, double firstShare, Instant now);

    void setLimits(OrganisationLimits limits) { m_limits = limits; }
    // Sets the shares that the organisation's coordinator has assigned.
    void setShares(double rateShare, double inFlightShare);
    // Sets the share to use while the coordinator has assigned none. At least minInFlight
    // requests are admitted then, because an even share of a small limit is less than one.
    void setEvenShare(double share);

    // Admits one request, or returns the reason for refusing it.
    std::optional<Refusal> admit(Instant now);
    void finished();

    size_t inFlight() const { return m_inFlight; }
    // Updates and returns the moving average of the arrivals per second, including refused
    // requests. The argument is the time since the last call.
    double updateArrivalRate(Microseconds elapsed);

    // Whether local usage is close enough to this daemon's share that the share has to be
    // adjusted to the demand.
    bool isNearShare() const;

private:
    void refill(Instant now);
    double bucketCapacity() const;
    double inFlightLimit() const;

    OrganisationLimits m_limits;
    double m_rateShare;
    double m_inFlightShare;
    bool m_isEvenShare { true };
    double m_tokens;
    Instant m_refilledAt;
    size_t m_inFlight { 0 };
    uint64_t m_arrivals { 0 };
    double m_arrivalRate { 0 };
};

}

#include <LibRouting/OrganisationLimiter.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Stagepost {

namespace {

    constexpr Milliseconds inFlightRetryAfter { 500 };
    // A new share is requested when the bucket is filled below this fraction or the
    // in-flight count reaches this fraction of its limit.
    constexpr double nearShareThreshold = 0.5;
    constexpr double rateSmoothing = 0.3;

}

OrganisationLimiter::OrganisationLimiter(OrganisationLimits limits, double firstShare, Instant now)
    : m_limits(limits)
    , m_rateShare(firstShare)
    , m_inFlightShare(firstShare)
    , m_tokens(0)
    , m_refilledAt(now)
{
    m_tokens = bucketCapacity();
}

double OrganisationLimiter::bucketCapacity() const
{
    if (m_limits.requestsPerSecond <= 0)
        return 0;
    auto const fleetBurst = m_limits.requestsPerSecond * burstSeconds;
    return std::max({ 1.0, fleetBurst * m_rateShare, std::min(minBurst, fleetBurst) });
}

void OrganisationLimiter::setShares(double rateShare, double inFlightShare)
{
    m_rateShare = rateShare;
    m_inFlightShare = inFlightShare;
    m_isEvenShare = false;
}

void OrganisationLimiter::setEvenShare(double share)
{
    m_rateShare = share;
    m_inFlightShare = share;
    m_isEvenShare = true;
}

double OrganisationLimiter::inFlightLimit() const
{
    auto const share = std::floor(m_limits.inFlight * m_inFlightShare);
    auto const minimum = std::min(m_isEvenShare ? minInFlight : 1.0, m_limits.inFlight);
    return std::max(share, minimum);
}

void OrganisationLimiter::refill(Instant now)
{
    auto const rate = m_limits.requestsPerSecond * m_rateShare;
    m_tokens = std::min(bucketCapacity(), m_tokens + rate * asSeconds(now - m_refilledAt));
    m_refilledAt = now;
}

std::optional<Refusal> OrganisationLimiter::admit(Instant now)
{
    refill(now);
    ++m_arrivals;
    if (m_tokens < 1) {
        auto const rate = std::max(1e-3, m_limits.requestsPerSecond * m_rateShare);
        auto const wait = Milliseconds(static_cast<int64_t>(std::ceil((1 - m_tokens) / rate * 1000)));
        return Refusal { RefusalReason::OrganisationRate, NotRunProof::nothingSent(), "the organisation's rate is used up", wait };
    }
    if (static_cast<double>(m_inFlight) >= inFlightLimit())
        return Refusal { RefusalReason::OrganisationInFlight, NotRunProof::nothingSent(), "the organisation has as many requests in flight as it may", inFlightRetryAfter };
    m_tokens -= 1;
    ++m_inFlight;
    return {};
}

void OrganisationLimiter::finished()
{
    if (m_inFlight)
        --m_inFlight;
}

double OrganisationLimiter::updateArrivalRate(Microseconds elapsed)
{
    m_arrivalRate += rateSmoothing * (static_cast<double>(m_arrivals) / asSeconds(elapsed) - m_arrivalRate);
    m_arrivals = 0;
    return m_arrivalRate;
}

bool OrganisationLimiter::isNearShare() const
{
    bool const isRateNear = m_tokens < nearShareThreshold * bucketCapacity();
    return isRateNear || static_cast<double>(m_inFlight) >= nearShareThreshold * inFlightLimit();
}

}

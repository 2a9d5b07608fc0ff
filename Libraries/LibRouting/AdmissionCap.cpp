#include <LibRouting/AdmissionCap.h>

#include <algorithm>
#include <cmath>

namespace Stagepost {

size_t admissionCap(PoolPolicy const& policy, double meanLoad)
{
    auto const bounded = static_cast<size_t>(std::floor(meanLoad * policy.loadMultiple * (1 - policy.admissionMargin)));
    // At least one above the mean. Otherwise the load of a lightly loaded pool could
    // never grow.
    auto const growing = static_cast<size_t>(std::floor(meanLoad)) + 1;
    return std::min(std::max({ bounded, growing, policy.minCap }), policy.maxInFlight);
}

size_t rampedCap(PoolPolicy const& policy, double meanLoad, Microseconds sinceReturn)
{
    auto const full = admissionCap(policy, meanLoad);
    if (sinceReturn >= policy.returnRamp)
        return full;
    auto const share = asSeconds(sinceReturn) / asSeconds(policy.returnRamp);
    return std::max(policy.minCap, static_cast<size_t>(std::ceil(static_cast<double>(full) * share)));
}

}

#include <LibRouting/ColdStartLimit.h>

#include <algorithm>
#include <cmath>

namespace Stagepost {

namespace {

    // Part of the fleet's limit that is reserved for requests sent without asking the owner
    // while the upstream isn't known to be cold.
    constexpr size_t unaskedRequestReserve = 2;

    // Number of daemons other than the owner that may grant requests at the same time: the next
    // in rendezvous order, and two that believe that they are while membership views differ.
    constexpr size_t maxOtherGranters = 3;

    size_t wholePart(double count)
    {
        return static_cast<size_t>(std::floor(std::max(0.0, count)));
    }

}

size_t ColdStartLimit::fleetLimit() const
{
    return wholePart(perSecond * overshoot + slack);
}

size_t ColdStartLimit::ownerLimit() const
{
    auto const handled = std::max<size_t>(1, wholePart(perSecond * asSeconds(coldStartWindow)));
    return std::min(handled, fleetLimit());
}

size_t ColdStartLimit::nextOwnerLimit() const
{
    return (fleetLimit() - ownerLimit()) / maxOtherGranters;
}

size_t ColdStartLimit::unconfirmedLimit() const
{
    return fleetLimit() > unaskedRequestReserve ? fleetLimit() - unaskedRequestReserve : fleetLimit();
}

}

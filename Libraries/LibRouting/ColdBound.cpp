#include <LibRouting/ColdBound.h>

#include <algorithm>
#include <cmath>

namespace Stagepost {

namespace {

    // Of the bound, what is left to requests that no owner was asked about while nobody knows
    // that the upstream is cold.
    constexpr size_t unaskedReserve = 2;

    // The next in the order, and two that take themselves for that while others do not know of
    // one another.
    constexpr size_t mostOthersAsked = 3;

    size_t wholePart(double count)
    {
        return static_cast<size_t>(std::floor(std::max(0.0, count)));
    }

}

size_t ColdBound::most() const
{
    return wholePart(perSecond * overshoot + slack);
}

size_t ColdBound::forOwner() const
{
    auto const handled = std::max<size_t>(1, wholePart(perSecond * asSeconds(coldWindow)));
    return std::min(handled, most());
}

size_t ColdBound::forNextOwner() const
{
    return (most() - forOwner()) / mostOthersAsked;
}

size_t ColdBound::forCaution() const
{
    return most() > unaskedReserve ? most() - unaskedReserve : most();
}

}

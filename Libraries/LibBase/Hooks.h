#pragma once

#include <LibBase/Time.h>
#include <cstdint>
#include <functional>

namespace Stagepost {

// Returns the current time. Tests inject a manual clock.
using NowHook = std::function<Instant()>;

// Returns the next random number. Tests inject a seeded generator.
using RandomHook = std::function<uint64_t()>;

// Returns a number in [0, bound). The bound must not be 0.
inline uint64_t randomBelow(RandomHook const& random, uint64_t bound)
{
    return random() % bound;
}

// Returns a number in [0, 1), in steps of 2^-20.
inline double randomFraction(RandomHook const& random)
{
    constexpr uint64_t steps = 1 << 20;
    return static_cast<double>(randomBelow(random, steps)) / static_cast<double>(steps);
}

}

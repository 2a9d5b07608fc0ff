#pragma once

#include <LibBase/Time.h>
#include <cstdint>
#include <functional>

namespace Stagepost {

// Returns the current time; tests pass a clock that they move by hand.
using NowHook = std::function<Instant()>;

// Returns the next random number; tests pass a seeded generator.
using RandomHook = std::function<uint64_t()>;

// A number from 0 up to, but not including, the bound, which must not be 0.
inline uint64_t randomBelow(RandomHook const& random, uint64_t bound)
{
    return random() % bound;
}

// A share from 0 up to, but not including, 1, in steps of a millionth.
inline double randomShare(RandomHook const& random)
{
    constexpr uint64_t steps = 1 << 20;
    return static_cast<double>(randomBelow(random, steps)) / static_cast<double>(steps);
}

}

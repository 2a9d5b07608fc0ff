#pragma once

#include <chrono>

namespace Stagepost {

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

// The local clock for all ages, deadlines, leases and timers. It keeps running while the VM is
// suspended (CLOCK_BOOTTIME). With std::chrono::steady_clock, a daemon would treat its state as
// fresh after a suspension, although time has passed for all other daemons. Its time points are
// not comparable between VMs: only durations are sent over the network.
struct MonotonicClock {
    using duration = Microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now() noexcept;
    // Returns how long this VM has been suspended since it booted, to within a millisecond.
    static duration suspendedTime() noexcept;
};

using Instant = MonotonicClock::time_point;

inline double asSeconds(Microseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

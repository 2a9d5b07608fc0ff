#pragma once

#include <chrono>

namespace Stagepost {

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

// The local clock that every age, deadline, lease and timer is counted on. It goes on while the VM is
// suspended (CLOCK_BOOTTIME), as the clocks of everybody else do: on the steady clock a daemon that
// wakes up takes all that it believed for as young as before.
// It says nothing about other VMs' clocks: only durations go over the network.
struct MonotonicClock {
    using duration = Microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now() noexcept;
    // How long this VM has been suspended since it was started, to within a millisecond.
    static duration suspendedTime() noexcept;
};

using Instant = MonotonicClock::time_point;

inline double asSeconds(Microseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

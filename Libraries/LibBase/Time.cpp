#include <LibBase/Time.h>

#include <ctime>

namespace Stagepost {

namespace {

    Microseconds read(clockid_t clock)
    {
        timespec time {};
        ::clock_gettime(clock, &time);
        return std::chrono::duration_cast<Microseconds>(Seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }

}

MonotonicClock::time_point MonotonicClock::now() noexcept
{
    return time_point(read(CLOCK_BOOTTIME));
}

MonotonicClock::duration MonotonicClock::suspendedTime() noexcept
{
    return read(CLOCK_BOOTTIME) - read(CLOCK_MONOTONIC);
}

}

#include <LibBase/Time.h>

#include <ctime>

namespace Stagepost {

namespace {

    Microseconds readClock(clockid_t clock)
    {
        timespec time {};
        ::clock_gettime(clock, &time);
        return std::chrono::duration_cast<Microseconds>(Seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }

}

MonotonicClock::time_point MonotonicClock::now() noexcept
{
    return time_point(readClock(CLOCK_BOOTTIME));
}

MonotonicClock::duration MonotonicClock::suspendedTime() noexcept
{
    return readClock(CLOCK_BOOTTIME) - readClock(CLOCK_MONOTONIC);
}

}

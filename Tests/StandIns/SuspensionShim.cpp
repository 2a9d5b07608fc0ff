// Linked into a test build of the daemon. Subtracts the duration in a file from the monotonic
// clocks, as if the VM had been suspended for that long; CLOCK_BOOTTIME and CLOCK_REALTIME are
// unaffected. Kernel timers are not extended by that duration, unlike in a real suspension.

#include <array>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <dlfcn.h>
#include <fcntl.h>
#include <unistd.h>

namespace {

using ClockGettime = int (*)(clockid_t, timespec*);

int suspendedTimeFileDescriptor()
{
    static int const descriptor = [] {
        auto const* path = std::getenv("STAGEPOST_SUSPENDED_TIME_FILE");
        return path ? ::open(path, O_RDONLY | O_CLOEXEC) : -1;
    }();
    return descriptor;
}

// In nanoseconds, from a decimal number in the file; 0 without a file.
int64_t suspendedTime()
{
    std::array<char, 24> text {};
    auto const size = ::pread(suspendedTimeFileDescriptor(), text.data(), text.size() - 1, 0);
    return size > 0 ? std::strtoll(text.data(), nullptr, 10) : 0;
}

}

extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    static auto const systemClockGettime = reinterpret_cast<ClockGettime>(::dlsym(RTLD_NEXT, "clock_gettime"));
    int const result = systemClockGettime(clock, time);
    bool const isMonotonic = clock == CLOCK_MONOTONIC || clock == CLOCK_MONOTONIC_COARSE || clock == CLOCK_MONOTONIC_RAW;
    if (result != 0 || !isMonotonic)
        return result;
    constexpr int64_t nanosecondsPerSecond = 1000000000;
    auto const nanoseconds = time->tv_sec * nanosecondsPerSecond + time->tv_nsec - suspendedTime();
    time->tv_sec = nanoseconds / nanosecondsPerSecond;
    time->tv_nsec = nanoseconds % nanosecondsPerSecond;
    return result;
}

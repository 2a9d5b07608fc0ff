// Linked into a daemon for tests: takes away from its steady clock the time that a file says, as
// if the VM had been suspended for that long. CLOCK_BOOTTIME and the time of day go on. What it
// does not bring about: timers of the kernel that wait longer by that time.

#include <array>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <dlfcn.h>
#include <fcntl.h>
#include <unistd.h>

namespace {

using ClockGettime = int (*)(clockid_t, timespec*);

int suspendedTimeFile()
{
    static int const file = [] {
        auto const* path = std::getenv("STAGEPOST_SUSPENDED_TIME_FILE");
        return path ? ::open(path, O_RDONLY | O_CLOEXEC) : -1;
    }();
    return file;
}

// Nanoseconds, as a decimal number in the file; none without a file.
int64_t suspendedTime()
{
    std::array<char, 24> text {};
    auto const size = ::pread(suspendedTimeFile(), text.data(), text.size() - 1, 0);
    return size > 0 ? std::strtoll(text.data(), nullptr, 10) : 0;
}

}

extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    static auto const original = reinterpret_cast<ClockGettime>(::dlsym(RTLD_NEXT, "clock_gettime"));
    int const result = original(clock, time);
    bool const isSteady = clock == CLOCK_MONOTONIC || clock == CLOCK_MONOTONIC_COARSE || clock == CLOCK_MONOTONIC_RAW;
    if (result != 0 || !isSteady)
        return result;
    constexpr int64_t nanosecondsPerSecond = 1000000000;
    auto const nanoseconds = time->tv_sec * nanosecondsPerSecond + time->tv_nsec - suspendedTime();
    time->tv_sec = nanoseconds / nanosecondsPerSecond;
    time->tv_nsec = nanoseconds % nanosecondsPerSecond;
    return result;
}

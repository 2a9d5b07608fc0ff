// Preloaded into a daemon by tests: takes away from its steady clock the time that a file says, as
// if the VM had been suspended for that long. CLOCK_BOOTTIME and the time of day go on. What it
// does not bring about: timers of the kernel that wait longer by that time.

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

namespace {

using ClockGettime = int (*)(clockid_t, timespec*);

// Nanoseconds, as eight bytes in the file.
std::atomic<int64_t> const* suspendedTime()
{
    static auto const* const mapped = []() -> std::atomic<int64_t> const* {
        auto const* path = std::getenv("STAGEPOST_SUSPENDED_TIME_FILE");
        int const file = path ? ::open(path, O_RDONLY | O_CLOEXEC) : -1;
        if (file < 0)
            return nullptr;
        auto* const memory = ::mmap(nullptr, sizeof(int64_t), PROT_READ, MAP_SHARED, file, 0);
        ::close(file);
        return memory == MAP_FAILED ? nullptr : static_cast<std::atomic<int64_t> const*>(memory);
    }();
    return mapped;
}

}

extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    static auto const original = reinterpret_cast<ClockGettime>(::dlsym(RTLD_NEXT, "clock_gettime"));
    int const result = original(clock, time);
    bool const isSteady = clock == CLOCK_MONOTONIC || clock == CLOCK_MONOTONIC_COARSE || clock == CLOCK_MONOTONIC_RAW;
    if (result != 0 || !isSteady || !suspendedTime())
        return result;
    constexpr int64_t nanosecondsPerSecond = 1000000000;
    auto const nanoseconds = time->tv_sec * nanosecondsPerSecond + time->tv_nsec - suspendedTime()->load(std::memory_order_relaxed);
    time->tv_sec = nanoseconds / nanosecondsPerSecond;
    time->tv_nsec = nanoseconds % nanosecondsPerSecond;
    return result;
}

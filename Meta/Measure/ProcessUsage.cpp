#include <Measure/ProcessUsage.h>

#include <ctime>
#include <fstream>
#include <string>
#include <unistd.h>

namespace Stagepost::Measure {

namespace {

    std::string procFile(pid_t pid, char const* name)
    {
        return "/proc/" + std::to_string(pid) + '/' + name;
    }

}

// Reads schedstat, which counts in nanoseconds; stat counts in clock ticks of 10 ms.
double processCpuSeconds(pid_t pid)
{
    uint64_t nanoseconds = 0;
    std::ifstream(procFile(pid, "schedstat")) >> nanoseconds;
    return static_cast<double>(nanoseconds) * 1e-9;
}

uint64_t residentBytes(pid_t pid)
{
    uint64_t total = 0;
    uint64_t resident = 0;
    std::ifstream(procFile(pid, "statm")) >> total >> resident;
    return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

double threadCpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

}

#pragma once

#include <cstdint>
#include <sys/types.h>

namespace Stagepost::Measure {

// CPU time and resident memory of a process, from /proc.
double processCpuSeconds(pid_t);
uint64_t residentBytes(pid_t);
// CPU time of the calling thread.
double threadCpuSeconds();

}

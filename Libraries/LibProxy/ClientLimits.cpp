#include <LibProxy/ClientLimits.h>

#include <LibProxy/Detail/ControlGroupMemory.h>
#include <algorithm>
#include <sys/resource.h>
#include <sys/sysinfo.h>

namespace Stagepost {

namespace {

    // The part of the machine's memory. The rest also holds what the kernel has received and no server has read yet.
    constexpr double memoryShare = 0.4;
    // For the store, logs, datagrams and checks of upstreams.
    constexpr uint64_t minOwnDescriptors = 64;
    constexpr uint64_t ownDescriptorsDivisor = 16;
    constexpr uint64_t maxCheckConnections = 64;
    constexpr uint64_t peerConnectionsDivisor = 12;
    constexpr uint64_t maxPeerConnections = 320;
    constexpr double detouredShare = 0.8;
    // Of the descriptors for callers and upstreams. Each request of a caller may need a connection to an upstream as well.
    constexpr double callerShare = 0.45;
    constexpr double idleUpstreamShare = 0.1;
    constexpr uint64_t maxCallerConnections = 20000;
    constexpr uint64_t maxDescriptors = 1u << 20;
    // All buffers together must stay small compared with the memory limit.
    constexpr uint64_t socketBuffersPerMemory = 4096;
    constexpr uint64_t minSocketBufferSize = 32u << 10;
    constexpr uint64_t maxSocketBufferSize = 256u << 10;

    // Where the system does not tell them.
    constexpr uint64_t assumedMemory = 256u << 20;
    constexpr uint64_t assumedDescriptors = 1024;

    size_t shareOf(uint64_t total, double share)
    {
        return std::max<size_t>(1, static_cast<size_t>(static_cast<double>(total) * share));
    }

}

ClientLimits ClientLimits::forMachine(Machine const& machine)
{
    ClientLimits limits;
    limits.memory = shareOf(machine.memory ? machine.memory : assumedMemory, memoryShare);
    auto const all = std::min(machine.descriptors ? machine.descriptors : assumedDescriptors, maxDescriptors);
    limits.checkConnections = std::clamp<uint64_t>(all / ownDescriptorsDivisor, 1, maxCheckConnections);
    limits.peerConnections = std::clamp<uint64_t>(all / peerConnectionsDivisor, 1, maxPeerConnections);
    limits.detouredRequests = shareOf(limits.peerConnections, detouredShare);
    // A request of another daemon needs a connection to an upstream as well.
    auto const reserved = minOwnDescriptors + all / ownDescriptorsDivisor + limits.checkConnections + 2 * limits.peerConnections;
    auto const left = all - std::min(all, reserved);
    limits.connections = std::min<size_t>(shareOf(left, callerShare), maxCallerConnections);
    limits.idleUpstreamConnections = shareOf(left, idleUpstreamShare);
    return limits;
}

Machine Machine::current(std::filesystem::path const& root)
{
    struct ::sysinfo memory { };
    ::rlimit descriptors {};
    ::sysinfo(&memory);
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    uint64_t const whole = memory.totalram * memory.mem_unit;
    auto const limit = controlGroupMemoryLimit(root);
    // Without the machine's size, the limit is all that is known.
    return { limit && (!whole || *limit < whole) ? *limit : whole, descriptors.rlim_cur };
}

size_t ClientLimits::socketBufferSize() const
{
    return std::clamp(memory / socketBuffersPerMemory, minSocketBufferSize, maxSocketBufferSize);
}

}

#include <stagepostd/ClientLimitFlags.h>

namespace Stagepost {

namespace {

    constexpr uint64_t bytesPerMegabyte = 1u << 20;
    constexpr uint64_t maxMegabytes = 1u << 30;
    constexpr uint64_t maxDescriptors = 1u << 30;

}

std::vector<FlagDefinition> withClientLimitFlags(std::vector<FlagDefinition> definitions)
{
    definitions.push_back({ "machine-memory-mb", "0", "memory that this process may use, in MB; 0 stands for the machine's, or for the limit of its control group", false });
    definitions.push_back({ "client-memory-mb", "0", "memory of it that clients may take with their connections and requests, in MB; 0 stands for two fifths", false });
    definitions.push_back({ "descriptors", "0", "descriptors that this process may open; 0 stands for the process's limit", false });
    return definitions;
}

Result<ClientLimits> readClientLimits(Flags const& flags)
{
    auto const machineMemory = TRY(flags.number("machine-memory-mb", 0, maxMegabytes)) * bytesPerMegabyte;
    auto const clientMemory = TRY(flags.number("client-memory-mb", 0, maxMegabytes)) * bytesPerMegabyte;
    auto const descriptors = TRY(flags.number("descriptors", 0, maxDescriptors));
    auto const machine = Machine::current();
    auto limits = ClientLimits::forMachine({ machineMemory ? machineMemory : machine.memory, descriptors ? descriptors : machine.descriptors });
    if (clientMemory)
        limits.memory = clientMemory;
    return limits;
}

}

#pragma once

#include <LibProxy/ClientLimits.h>
#include <stagepostd/Flags.h>
#include <vector>

namespace Stagepost {

// Adds the flags that bound what clients may take of the machine.
std::vector<FlagDefinition> withClientLimitFlags(std::vector<FlagDefinition>);

// Error: BadInput.
Result<ClientLimits> readClientLimits(Flags const&);

}

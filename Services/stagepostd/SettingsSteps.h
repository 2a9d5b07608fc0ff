#pragma once

#include <LibBase/Result.h>
#include <LibSettings/RouteTable.h>
#include <functional>
#include <optional>

namespace Stagepost {

// A configuration that is being read. Each call reads on for a fraction of a
// millisecond, and gives none until all is read. Error: BadInput that names the field.
using SettingsSteps = std::function<std::optional<Result<RouteTable::Parts>>()>;

}

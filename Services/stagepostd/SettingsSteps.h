#pragma once

#include <LibBase/Result.h>
#include <LibSettings/RouteTable.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Stagepost {

// A configuration as the platform wrote it. One copy serves whoever reads it, waits
// for it and tells others: with thousands of routes it is most of a daemon's memory.
using SettingsText = std::shared_ptr<std::string const>;

inline SettingsText makeSettingsText(std::string text)
{
    return std::make_shared<std::string const>(std::move(text));
}

// A configuration that is being read. Each call reads on for a fraction of a
// millisecond, and gives none until all is read. Error: BadInput that names the field.
using SettingsSteps = std::function<std::optional<Result<RouteTable::Parts>>()>;

}

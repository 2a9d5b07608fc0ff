#pragma once

#include <LibBase/Result.h>
#include <LibSettings/RouteTable.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Stagepost {

// The text of a configuration as the platform wrote it. The loader, the parser and the history that
// serves other daemons share one copy, since with thousands of routes it is most of a daemon's memory.
using SettingsText = std::shared_ptr<std::string const>;

inline SettingsText makeSettingsText(std::string text)
{
    return std::make_shared<std::string const>(std::move(text));
}

// Parses a configuration incrementally. Each call runs for a fraction of a millisecond and returns
// nothing until the whole text is parsed. Error: BadInput, with a text that names the field.
using IncrementalSettingsParser = std::function<std::optional<Result<RouteTable::Parts>>()>;

}

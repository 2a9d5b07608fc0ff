#pragma once

#include <cstddef>
#include <string_view>

namespace Stagepost {

// Whether the text is JSON with at most that many values. It is not turned into a tree, which may take a large multiple of
// the text's memory.
bool hasAtMostJsonValues(std::string_view text, size_t maxValues);

}

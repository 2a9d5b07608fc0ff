#pragma once

#include <LibBase/Result.h>
#include <string>
#include <string_view>

namespace Stagepost {

// What leads from one text to another that is mostly the same, as bytes: zstd with the
// first text as its dictionary. A configuration of hundreds of routes changes in one or
// two, and every daemon has the one before. What is new is compressed as well; with an
// empty first text that is all of it.
std::string makeDelta(std::string_view from, std::string_view to);

// The text that the delta leads to. Error: Malformed, also where it was made from
// another text.
Result<std::string> applyDelta(std::string_view from, std::string_view delta);

}

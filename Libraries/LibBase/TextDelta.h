#pragma once

#include <LibBase/Result.h>
#include <string>
#include <string_view>

namespace Stagepost {

// Encodes the changes between two similar texts, as zstd data with the first text as its
// dictionary. Configurations have hundreds of routes of which one or two change at a time,
// and every daemon has the previous version. New text is compressed as well, so with an empty
// first text the delta is the compressed second text.
std::string makeDelta(std::string_view from, std::string_view to);

// Applies a delta to the text that it was made from and returns the new text. Error: Malformed
// if the delta is damaged or was made from another text.
Result<std::string> applyDelta(std::string_view from, std::string_view delta);

}

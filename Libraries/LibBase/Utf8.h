#pragma once

#include <string_view>

namespace Stagepost {

// Whether the bytes are whole characters in UTF-8, each in its shortest form.
bool isValidUtf8(std::string_view);

}

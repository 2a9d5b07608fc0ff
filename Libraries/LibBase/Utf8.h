#pragma once

#include <string_view>

namespace Stagepost {

// Whether the bytes are whole characters in UTF-8, each in its shortest form.
bool isValidUtf8(std::string_view);

// Whether the byte is a control character of ASCII.
constexpr bool isControlCharacter(char byte)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    auto const value = static_cast<unsigned char>(byte);
    return value < firstPrintable || value == deleteCharacter;
}

}

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Stagepost {

// Formats the number as 16 hexadecimal digits.
std::string toHex(uint64_t);
// Parses up to 16 hexadecimal digits. Returns nothing for any other text.
std::optional<uint64_t> parseHex(std::string_view);

// Formats each byte as two hexadecimal digits.
std::string bytesToHex(std::string_view bytes);
// Parses two hexadecimal digits per byte. Returns an empty string if the text is invalid.
std::string hexToBytes(std::string_view hex);

}

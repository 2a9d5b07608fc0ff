#include <LibBase/Hex.h>

#include <array>
#include <charconv>
#include <sodium.h>

namespace Stagepost {

std::string toHex(uint64_t value)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

std::optional<uint64_t> parseHex(std::string_view text)
{
    uint64_t value = 0;
    auto const [end, code] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (text.empty() || code != std::errc() || end != text.data() + text.size())
        return {};
    return value;
}

std::string bytesToHex(std::string_view bytes)
{
    std::string hex(bytes.size() * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), reinterpret_cast<unsigned char const*>(bytes.data()), bytes.size());
    hex.pop_back();
    return hex;
}

std::string hexToBytes(std::string_view hex)
{
    std::string bytes(hex.size() / 2, '\0');
    size_t size = 0;
    char const* end = nullptr;
    sodium_hex2bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), hex.data(), hex.size(), nullptr, &size, &end);
    return end == hex.data() + hex.size() && size == bytes.size() ? bytes : std::string {};
}

}

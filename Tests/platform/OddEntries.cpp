#include "OddEntries.h"

#include <array>

namespace Stagepost {

// Returns the text of a JSON value, which may lie outside what JSON allows.
std::string OddEntries::oddValue()
{
    static constexpr std::array values {
        "null", "true", "[]", "{}", "0", "-1", "1.5", "65535", "65536", "4294967296", "9007199254740993", "9223372036854775808", "18446744073709551615",
        "18446744073709551616", "1e19", "1e300", "1e400", "-1e300", "1e-300", "-0.0", "NaN", "Infinity", "0x10", R"("")", R"(" ")", R"("\u0000")", R"("a\u0000b")",
        R"("a\r\nX-Priority: 0")", R"("\u007f")", R"("\ud800")", "\"\xff\"", R"("0.0.0.0:80")", R"("127.0.0.1:0")", R"("127.0.0.1:65536")", R"("127.0.0.1:-1")",
        R"("224.0.0.1:80")", R"("255.255.255.255:80")", R"("127.0.0.1:99999999999999999999")", R"("[::]:80")", R"("10.1.1.1:80 ")"
    };
    switch (below(8)) {
    case 0:
        return nested(size_t { 1 } << below(17));
    case 1:
        return '"' + std::string(size_t { 1 } << below(18), 'v') + '"';
    default:
        return values.at(below(values.size()));
    }
}

std::string OddEntries::damage(std::string text)
{
    auto const at = below(text.size());
    switch (below(3)) {
    case 0:
        text.resize(at);
        break;
    case 1:
        text[at] = static_cast<char>(below(256));
        break;
    default:
        text.insert(at, 1 + below(4), static_cast<char>(below(256)));
        break;
    }
    return text;
}

std::string OddEntries::mutate(nlohmann::json const& sound)
{
    if (below(4) == 0)
        return damage(sound.dump());
    auto const changed = below(sound.size());
    bool const isRepeated = below(4) == 0;
    std::string text = "{";
    size_t index = 0;
    for (auto const& [key, value] : sound.items()) {
        if (text.size() > 1)
            text += ',';
        auto const name = nlohmann::json(key).dump() + ':';
        bool const isChanged = index++ == changed;
        if (!isChanged || isRepeated)
            text += name + value.dump();
        if (isChanged)
            text += (isRepeated ? "," : "") + name + oddValue();
    }
    return text + '}';
}

}

#include <LibBase/Hash.h>

#include <array>
#include <xxhash.h>

namespace Stagepost {

uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

uint64_t hashOf(std::string_view text, uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

uint64_t mixHashes(uint64_t first, uint64_t second)
{
    std::array<uint64_t, 2> const words { first, second };
    return XXH3_64bits(words.data(), sizeof(words));
}

}

#include <LibOnce/IdempotencyKey.h>

#include <charconv>
#include <xxhash.h>

namespace Stagepost {

Result<IdempotencyKey> IdempotencyKey::parse(std::string_view text, uint64_t organisation)
{
    IdempotencyKey key;
    auto const [end, code] = std::from_chars(text.data(), text.data() + text.size(), key.createdAt);
    bool const hasCreationTime = code == std::errc() && key.createdAt > 0 && end != text.data() + text.size() && *end == '-';
    if (!hasCreationTime || end + 1 == text.data() + text.size())
        return Error(ErrorCode::BadInput, "an idempotency key starts with the second of its making, as in 1764680000-hold-4711");
    auto const hash = XXH3_128bits_withSeed(text.data(), text.size(), organisation);
    key.high = hash.high64;
    key.low = hash.low64;
    return key;
}

}

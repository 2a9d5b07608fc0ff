#pragma once

#include <LibBase/Result.h>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Stagepost {

// A caller's idempotency key: the hash (XXH3, 128 bits) of its text, seeded with the
// organisation, and the Unix time at which the key was created, in seconds.
//
// A key's text starts with its creation time, as in "1764680000-hold-4711". Only the time
// distinguishes a key whose state has expired, and which must be refused, from a new one.
struct IdempotencyKey {
    uint64_t high { 0 };
    uint64_t low { 0 };
    int64_t createdAt { 0 };

    // Error: BadInput for a key that does not start with its creation time.
    static Result<IdempotencyKey> parse(std::string_view text, uint64_t organisation);

    auto operator<=>(IdempotencyKey const&) const = default;
};

}

template <>
struct std::hash<Stagepost::IdempotencyKey> {
    size_t operator()(Stagepost::IdempotencyKey const& key) const noexcept { return key.low; }
};

#pragma once

#include <cstdint>
#include <string_view>

namespace Stagepost {

// Returns a stable 64-bit hash of the text (XXH3). It is the same in every
// daemon, so ids and rendezvous weights made from it agree over the fleet.
uint64_t hashOf(std::string_view text);

// The same with a seed, which nobody who does not know it can aim at.
uint64_t hashOf(std::string_view text, uint64_t seed);

// Mixes two hashes into a third that is stable and evenly spread.
uint64_t mixHashes(uint64_t first, uint64_t second);

}

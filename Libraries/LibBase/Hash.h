#pragma once

#include <cstdint>
#include <string_view>

namespace Stagepost {

// Returns the 64-bit XXH3 hash of the text. It does not depend on the process, so all
// daemons derive the same ids and rendezvous weights from it.
uint64_t hashOf(std::string_view text);

// The same with a seed. Without the seed, collisions cannot be constructed on purpose.
uint64_t hashOf(std::string_view text, uint64_t seed);

// Combines two hashes into a third, which is evenly distributed and, like that of hashOf(),
// the same in all processes.
uint64_t mixHashes(uint64_t first, uint64_t second);

}

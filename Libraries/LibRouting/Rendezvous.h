#pragma once

#include <cstdint>

namespace Stagepost {

// Weighted rendezvous (highest random weight) hashing: returns the score of a member for a key.
// The member with the highest score owns the key. When a member leaves, only its own keys are
// reassigned; when one joins, only the keys that it takes over are.
double rendezvousRank(uint64_t key, uint64_t member, double weight = 1);

}

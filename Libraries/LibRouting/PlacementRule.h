#pragma once

#include <LibBase/Time.h>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Stagepost {

// By which rule an upstream was chosen.
enum class PlacementRule : uint8_t {
    // No context: where the answer is expected soonest.
    Wait,
    // The first of the context's order whose newest count leaves room.
    Count,
    // By the shares that upstreams take of what belongs to them.
    Share,
    // An owner has room for it.
    Granted,
    // Of those whose owners were asked, none of which has room, the one that holds least.
    Least,
    // All others want rest or have failed the request: a trial in an upstream's rest.
    Resting,
};

std::string_view nameOf(PlacementRule);

// Why an upstream was chosen, for the log.
struct PlacementReason {
    PlacementRule rule { PlacementRule::Wait };
    // How old the others' counts were believed to be.
    Microseconds countsAge { 0 };
    // How long requests were believed to stay.
    Microseconds hold { 0 };
    // How many owners were asked.
    size_t asks { 0 };
    // What the upstream's owner counted there, and below which count it would grant one more.
    size_t counted { 0 };
    size_t limit { 0 };
};

}

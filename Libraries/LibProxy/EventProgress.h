#pragma once

#include <cstdint>
#include <optional>

namespace Stagepost {

// How far a stream of events has come at its caller, over all upstreams that it
// was read from.
struct EventProgress {
    bool isHeadSent { false };
    uint64_t events { 0 };
    // The id of the last whole event that was passed on.
    std::optional<uint64_t> lastId;
};

}

#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Result.h>
#include <LibBase/Time.h>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Stagepost {

// A daemon that reached upstreams when it was last heard of.
struct DetourHint {
    VMId daemon;
    // The time since it said so.
    Microseconds age { 0 };
    // The requests that it was sending for other daemons.
    size_t load { 0 };
};

// A daemon that has lost its links to the upstreams asks another one whether that one reaches them.
struct DetourQuery {
    uint64_t queryId { 0 };
};

struct DetourResponse {
    uint64_t queryId { 0 };
    // Whether the sender reaches upstreams and takes requests of other daemons.
    bool isAvailable { false };
    size_t load { 0 };
    // Other daemons that the sender knows to be available.
    std::vector<DetourHint> others;
};

using DetourMessage = std::variant<DetourQuery, DetourResponse>;

std::string encodeDetourMessage(DetourMessage const&);
// Error: Malformed.
Result<DetourMessage> decodeDetourMessage(std::string_view bytes);

}

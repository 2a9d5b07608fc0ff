#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Result.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Stagepost {

// A context goes to an upstream that has not had it: where else is it?
struct HolderAsk {
    // The asker's own number of the ask.
    uint64_t number { 0 };
    uint64_t context { 0 };
    UpstreamId upstream;
};

struct HolderAnswer {
    uint64_t number { 0 };
    // Those that had it before, the newest first.
    std::vector<UpstreamId> holders;
};

using HolderMessage = std::variant<HolderAsk, HolderAnswer>;

std::string encodeHolderMessage(HolderMessage const&);
// Error: Malformed.
Result<HolderMessage> decodeHolderMessage(std::string_view bytes);

}

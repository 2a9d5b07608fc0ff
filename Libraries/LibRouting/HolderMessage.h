#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Result.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Stagepost {

// Reports that a context is placed on an upstream that has not had it, and asks which upstreams
// hold it.
struct HolderQuery {
    // Assigned by the sender, and returned in the response.
    uint64_t queryId { 0 };
    uint64_t context { 0 };
    UpstreamId upstream;
};

struct HolderResponse {
    uint64_t queryId { 0 };
    // Upstreams that the context was placed on before, most recent first.
    std::vector<UpstreamId> holders;
};

using HolderMessage = std::variant<HolderQuery, HolderResponse>;

std::string encodeHolderMessage(HolderMessage const&);
// Error: Malformed.
Result<HolderMessage> decodeHolderMessage(std::string_view bytes);

}

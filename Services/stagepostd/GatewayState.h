#pragma once

#include <LibBase/Result.h>
#include <LibMembership/UpstreamDirectory.h>
#include <string>
#include <vector>

namespace Stagepost {

// All that a gateway believes of the platform, as one gives it to another.
struct GatewayState {
    uint64_t settingsVersion { 0 };
    // The configuration as the platform wrote it.
    std::string settingsText;
    std::vector<UpstreamRecord> upstreams;

    std::string encode() const;
    // Error: Malformed.
    static Result<GatewayState> decode(std::string_view bytes);
};

}

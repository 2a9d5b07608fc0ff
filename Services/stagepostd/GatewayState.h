#pragma once

#include <LibBase/Result.h>
#include <LibMembership/UpstreamDirectory.h>
#include <optional>
#include <stagepostd/SettingsHistory.h>
#include <string>
#include <vector>

namespace Stagepost {

// All that a gateway believes of the platform, as one gives it to another.
struct GatewayState {
    SettingsUpdate settings;
    // Of the upstreams.
    uint64_t upstreamsHash { 0 };
    // None where the other has a list of that hash already.
    std::optional<std::vector<UpstreamRecord>> upstreams;

    std::string encode() const;
    // Error: Malformed.
    static Result<GatewayState> decode(std::string_view bytes);
};

}

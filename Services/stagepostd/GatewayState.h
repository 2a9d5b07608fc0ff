#pragma once

#include <LibBase/Result.h>
#include <LibMembership/UpstreamDirectory.h>
#include <optional>
#include <stagepostd/SettingsHistory.h>
#include <string>
#include <vector>

namespace Stagepost {

// The configuration and the upstreams that a gateway knows, as gateways send them to each other.
struct GatewayState {
    SettingsUpdate settings;
    // Hash of all upstream records.
    uint64_t upstreamsHash { 0 };
    // Empty if the receiver has a list with this hash already.
    std::optional<std::vector<UpstreamRecord>> upstreams;

    std::string encode() const;
    // Error: Malformed.
    static Result<GatewayState> decode(std::string_view bytes);
};

}

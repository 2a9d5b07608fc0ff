#pragma once

#include <LibBase/Result.h>
#include <string_view>

namespace Stagepost {

// Switches for alternative routing decisions, so that experiments can compare them under the same
// load. Production uses the defaults.
struct GatewayPolicies {
    // Whether the mean load is also predicted while it falls.
    bool foreseesFall { true };
    // Whether the first requests that end set the estimated duration of requests at once.
    bool learnsHoldAtOnce { true };
    // Whether the rate limit of cold upstreams also applies while an upstream is not known to be cold.
    bool isCautious { true };

    // Parses a list such as "NAME=on,NAME=off"; policies that it does not name keep their defaults.
    // Error: BadInput, with the names of all policies.
    static Result<GatewayPolicies> parse(std::string_view list);
};

}

#pragma once

#include <LibBase/Result.h>
#include <string_view>

namespace Stagepost {

// Decisions that are made one way or another, so that experiments can compare the ways on
// the same load. The defaults are what serves.
struct GatewayPolicies {
    // Whether the mean load is foreseen while it falls.
    bool foreseesFall { true };
    // Whether the first requests that end tell at once how long requests stay.
    bool learnsHoldAtOnce { true };
    // Whether the bound of a cold upstream is kept where nobody knows it to be cold.
    bool isCautious { true };

    // The defaults but for what is named in a list as "NAME=on,NAME=off". Error: BadInput, which
    // names the policies that there are.
    static Result<GatewayPolicies> parse(std::string_view list);
};

}

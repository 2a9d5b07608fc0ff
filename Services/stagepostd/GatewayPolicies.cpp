#include <stagepostd/GatewayPolicies.h>

#include <algorithm>
#include <array>
#include <string>

namespace Stagepost {

namespace {

    struct Policy {
        std::string_view name;
        bool GatewayPolicies::*value;
    };

    constexpr std::array policies {
        Policy { "foresee-fall", &GatewayPolicies::foreseesFall },
        Policy { "learn-hold", &GatewayPolicies::learnsHoldAtOnce },
        Policy { "caution", &GatewayPolicies::isCautious },
    };

    Error unknownPolicy(std::string_view text)
    {
        std::string message = "policy '" + std::string(text) + "': expected NAME=on or NAME=off, where NAME is one of";
        for (auto const& policy : policies)
            message += ' ' + std::string(policy.name);
        return { ErrorCode::BadInput, std::move(message) };
    }

    Policy const* policyOf(std::string_view name)
    {
        auto const found = std::find_if(policies.begin(), policies.end(), [name](auto const& policy) { return policy.name == name; });
        return found == policies.end() ? nullptr : &*found;
    }

}

Result<GatewayPolicies> GatewayPolicies::parse(std::string_view list)
{
    GatewayPolicies result;
    while (!list.empty()) {
        auto const item = list.substr(0, list.find(','));
        auto const equals = std::min(item.find('='), item.size());
        auto const* policy = policyOf(item.substr(0, equals));
        auto const value = item.substr(equals);
        if (!policy || (value != "=on" && value != "=off"))
            return unknownPolicy(item);
        result.*policy->value = value == "=on";
        list.remove_prefix(std::min(item.size() + 1, list.size()));
    }
    return result;
}

}

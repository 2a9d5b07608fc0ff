#pragma once

#include <LibBase/Hooks.h>
#include <LibBase/RefusalReason.h>
#include <functional>
#include <stagepostd/RoutedRequest.h>
#include <variant>

namespace Stagepost {

// Finds the route, the organisation and the service of each request by the configuration in force.
class RequestRouter {
public:
    struct Hooks {
        // Null before the first configuration.
        std::function<std::shared_ptr<RouteTable const>()> table;
        // Whether the configuration in force is recent enough to accept keys.
        std::function<bool()> areKeysFresh;
        NowHook now;
        RandomHook random;
    };

    RequestRouter(GatewayDialect const& dialect, Hooks hooks)
        : m_dialect(dialect)
        , m_hooks(std::move(hooks))
    {
    }

    // The terms are set for a request that another daemon has passed on.
    std::variant<RoutedRequest, Refusal> route(HttpRequest const&, std::optional<DetourTerms> const& = {}) const;

private:
    std::optional<Refusal> authorise(RoutedRequest&) const;
    std::string serviceOf(Route const&, PromptChain const&) const;

    GatewayDialect const& m_dialect;
    Hooks m_hooks;
};

}

#include <stagepostd/RequestRouter.h>

#include <LibBase/Hash.h>
#include <algorithm>

namespace Stagepost {

namespace {

    // Retry delay for callers if only the platform can resolve the refusal.
    constexpr Milliseconds platformRetryDelay { 250 };

}

std::variant<RoutedRequest, Refusal> RequestRouter::route(HttpRequest const& call, std::optional<DetourTerms> const& detour) const
{
    auto table = m_hooks.table();
    if (!table)
        return Refusal { RefusalReason::NoSettings, NotRunProof::nothingSent(), "this daemon has no configuration yet", platformRetryDelay };
    RoutedRequest request;
    request.receivedAt = m_hooks.now();
    request.route = table->find(call.headers.find("Host"), call.path());
    if (!request.route)
        return Refusal { RefusalReason::NoSuchRoute, NotRunProof::nothingSent(), "no route serves this host and path", {} };
    request.call = m_dialect.readCall(call);
    if (request.call.id.empty())
        return Refusal { RefusalReason::BadRequest, NotRunProof::nothingSent(), "the request has no id", {} };
    request.priority = request.route->priority;
    request.needsKey = table->needsKeys() && !request.route->isPublic;
    request.table = std::move(table);
    if (request.needsKey) {
        if (auto refusal = authorise(request))
            return std::move(*refusal);
    }
    request.detour = detour;
    auto const& shares = request.route->shares;
    bool const isChosen = detour && std::any_of(shares.begin(), shares.end(), [&](auto const& share) { return share.service == detour->service; });
    request.service = isChosen ? detour->service : serviceOf(*request.route, request.call.prompt);
    return request;
}

std::optional<Refusal> RequestRouter::authorise(RoutedRequest& request) const
{
    auto const* organisation = request.table->organisationOf(request.call.key);
    if (!m_hooks.areKeysFresh())
        return Refusal { RefusalReason::SettingsTooOld, NotRunProof::nothingSent(), "the configuration is too old to tell whether the key is good", platformRetryDelay };
    if (!organisation)
        return Refusal { RefusalReason::UnknownKey, NotRunProof::nothingSent(), "no organisation has this key", {} };
    request.organisation = organisation->name;
    request.priority = organisation->priority.value_or(request.priority);
    return {};
}

// Requests with the same context go to the same service, so that a route that is split between
// services does not move contexts between them.
std::string RequestRouter::serviceOf(Route const& route, PromptChain const& prompt) const
{
    uint64_t sum = 0;
    for (auto const& share : route.shares)
        sum += share.weight;
    if (!sum)
        return route.shares.empty() ? std::string() : route.shares.front().service;
    auto const context = prompt.sharedKey();
    auto point = (context ? mixHashes(*context, hashOf(route.name)) : m_hooks.random()) % sum;
    for (auto const& share : route.shares) {
        if (point < share.weight)
            return share.service;
        point -= share.weight;
    }
    return route.shares.back().service;
}

}

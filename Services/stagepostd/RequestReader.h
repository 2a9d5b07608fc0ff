#pragma once

#include <LibBase/RefusalReason.h>
#include <LibProxy/HttpMessage.h>
#include <LibRouting/PlacementRequest.h>
#include <LibSettings/FleetSettings.h>
#include <string>
#include <variant>

namespace Stagepost {

// A caller's request, understood and checked.
struct CallerRequest {
    PlacementRequest placement;
    OrganisationSettings organisation;
    PoolSettings pool;
    // What goes to the upstream.
    HttpRequest upstreamCall;
    bool isChat { false };
    // Running it twice does no harm.
    bool isRepeatable { false };
    std::string idempotencyKey;
    std::string ticket;
    // How much of the answer to keep for a resend.
    size_t keepBytes { 0 };
};

// Reads a request to /v1/chat/completions or /services/NAME/... by the settings.
std::variant<CallerRequest, Refusal> readRequest(HttpRequest const&, FleetSettings const&, Instant now);

// The chat that a caller names, told apart from other organisations' chats of that name.
ChatId chatIdOf(std::string_view name, OrganisationId, PoolId);

// The organisation of the call's bearer token.
std::variant<OrganisationSettings, Refusal> authenticate(HttpRequest const&, FleetSettings const&);

}

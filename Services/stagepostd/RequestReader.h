#pragma once

#include <LibBase/RefusalReason.h>
#include <LibProxy/HttpMessage.h>
#include <LibRouting/PlacementRequest.h>
#include <LibSettings/FleetSettings.h>
#include <string>
#include <variant>

namespace Stagepost {

// A caller's request, parsed and validated.
struct CallerRequest {
    PlacementRequest placement;
    OrganisationSettings organisation;
    PoolSettings pool;
    // The request as it is sent to the upstream.
    HttpRequest upstreamCall;
    bool isChat { false };
    // Whether the request may run twice.
    bool isRepeatable { false };
    std::string idempotencyKey;
    std::string ticket;
    // How many bytes of the answer to keep for a resend.
    size_t keepBytes { 0 };
};

// Parses a request to /v1/chat/completions or /services/NAME/... and looks up its organisation and
// its pool in the settings.
std::variant<CallerRequest, Refusal> readRequest(HttpRequest const&, FleetSettings const&, Instant now);

// Returns the refusal of a request whose header already shows that it can't be served.
std::optional<Refusal> checkRequestHead(HttpRequest const&, FleetSettings const&);

// The id of a chat. Chats of the same name in different organisations or pools have different ids.
ChatId chatIdOf(std::string_view name, OrganisationId, PoolId);

// Returns the organisation that the call's bearer token belongs to.
std::variant<OrganisationSettings, Refusal> authenticate(HttpRequest const&, FleetSettings const&);

}

#pragma once

#include <LibBase/Ids.h>
#include <LibProxy/EventProgress.h>
#include <LibRouting/RequestAttempts.h>
#include <LibSettings/RouteTable.h>
#include <memory>
#include <optional>
#include <stagepostd/DetourTerms.h>
#include <stagepostd/GatewayDialect.h>
#include <string>

namespace Stagepost {

// A caller's request together with its route and organisation.
struct RoutedRequest {
    GatewayCall call;
    // Keeps the route alive when a newer configuration replaces the table.
    std::shared_ptr<RouteTable const> table;
    Route const* route { nullptr };
    std::string service;
    std::string organisation;
    unsigned priority { 5 };
    bool needsKey { false };
    Instant receivedAt;
    // Counts the request for its service for as long as it lasts; see ServiceShares.
    std::shared_ptr<void const> share;
    // Set if another daemon received the request from its caller and passed it on to this one.
    std::optional<DetourTerms> detour;
};

AttemptLimits attemptLimitsOf(RoutedRequest const&);
StreamId streamIdOf(RoutedRequest const&);
// Returns the state of the stream that answers the request; null if its answer is none.
std::shared_ptr<EventProgress> eventProgressOf(RoutedRequest const&);

}

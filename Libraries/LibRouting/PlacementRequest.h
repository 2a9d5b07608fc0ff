#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <optional>
#include <vector>

namespace Stagepost {

enum class Priority : uint8_t {
    Urgent,
    Bulk,
};

// The properties of a request that placement and admission depend on.
struct PlacementRequest {
    PoolId pool;
    ChatId chat;
    OrganisationId organisation;
    Priority priority { Priority::Bulk };
    // Length of the chat's earlier turns, which an upstream may still have cached.
    uint32_t contextTokens { 0 };
    // The upstream that answered this chat before, as stated by the caller.
    std::optional<UpstreamId> hint;
    // Upstreams on which this request has already failed.
    std::vector<UpstreamId> excluded;
    // Latest time at which the request may start.
    Instant deadline;
};

// Permission to have one request in flight at one upstream.
struct Lease {
    LeaseId id;
    UpstreamId upstream;
    PoolId pool;
    VMId owner;
    // Whether the upstream holds the chat's context, according to the owner.
    bool holdsContext { false };
};

}

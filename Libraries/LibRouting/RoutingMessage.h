#pragma once

#include <LibBase/Ids.h>
#include <LibBase/RefusalReason.h>
#include <LibBase/Result.h>
#include <LibBase/Time.h>
#include <LibRouting/PlacementRequest.h>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Stagepost {

enum class LeaseRequestMode : uint8_t {
    // The owner may reply that the chat has moved to another upstream.
    Normal,
    // Grant only if the upstream holds the chat's context.
    OnlyIfHeld,
    // Grant even if the chat is known to have moved to another upstream.
    IgnoreMove,
};

// Sent by an entry daemon to an upstream's owner to request a slot.
struct LeaseRequest {
    LeaseId lease;
    UpstreamId upstream;
    ChatId chat;
    OrganisationId organisation;
    Priority priority { Priority::Bulk };
    LeaseRequestMode mode { LeaseRequestMode::Normal };
    uint32_t contextTokens { 0 };
    // Longest time to wait in the queue. 0 requests an immediate response.
    Microseconds maxWait {};
    // Whether the entry daemon has no other upstream left to try. The request may then be
    // queued without its context being held, and is refused if the wait would be too long.
    bool isFinalAttempt { false };
};

enum class LeaseResponseKind : uint8_t {
    Granted,
    Queued,
    Full,
    NotHeld,
    NotOwner,
    Refused,
};

// The owner's response to a LeaseRequest.
struct LeaseResponse {
    LeaseId lease;
    LeaseResponseKind kind { LeaseResponseKind::Full };
    bool holdsContext { false };
    // For Queued, Full and Refused: the estimated wait for a slot.
    Microseconds estimate {};
    // For Full: the upstream's load, used to choose among several full upstreams.
    uint64_t load { 0 };
    // For NotHeld: the upstream that the chat has moved to, if known.
    std::optional<UpstreamId> movedTo;
    // Only set for Refused.
    RefusalReason reason { RefusalReason::OverCapacity };
};

enum class LeaseOutcome : uint8_t {
    Succeeded,
    Failed,
    // The slot was not used, or the outcome says nothing about the upstream's health.
    Unused,
};

// Ends a lease, or withdraws a queued request.
struct LeaseRelease {
    LeaseId lease;
    LeaseOutcome outcome { LeaseOutcome::Unused };
};

// Renews leases that are still in use. Also informs a new owner of the leases that its
// predecessor granted.
struct LeaseRenewal {
    struct Entry {
        LeaseId lease;
        ChatId chat;
        uint32_t contextTokens { 0 };
    };
    UpstreamId upstream;
    std::vector<Entry> leases;
};

// Informs the owner of a chat's first-choice upstream that the chat was placed on another.
struct ChatMoved {
    UpstreamId upstream;
    ChatId chat;
    UpstreamId to;
};

// The total load and the number of the sender's owned upstreams in one pool. Piggybacked on
// other messages and also sent to a few random daemons.
struct PoolReport {
    PoolId pool;
    uint64_t load { 0 };
    uint64_t upstreams { 0 };
};

// Reports one daemon's demand for an organisation to the organisation's coordinator.
struct DemandReport {
    OrganisationId organisation;
    // In thousandths of a request per second, including refused requests.
    uint64_t arrivals { 0 };
    uint64_t inFlight { 0 };
};

// The receiver's share of the organisation's limits, in millionths.
struct DemandShare {
    OrganisationId organisation;
    uint64_t rateMillionths { 0 };
    uint64_t inFlightMillionths { 0 };
};

using RoutingMessage = std::variant<LeaseRequest, LeaseResponse, LeaseRelease, LeaseRenewal, ChatMoved, PoolReport, DemandReport, DemandShare>;

// Encodes messages to one daemon into one datagram.
std::string encodeMessages(std::vector<RoutingMessage> const&);

// Both daemons' ids are needed because lease ids are sent without the entry daemon's id.
// Error: Malformed, in which case the whole datagram is discarded.
Result<std::vector<RoutingMessage>> decodeMessages(std::string_view bytes, VMId from, VMId self);

}

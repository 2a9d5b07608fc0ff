#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Result.h>
#include <LibRouting/ColdStartLimit.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Stagepost {

// Requests a permit from an upstream's owner to send one more request there.
struct PermitRequest {
    // Assigned by the sender, and returned in the response.
    uint64_t requestId { 0 };
    UpstreamId upstream;
    // The sender's requests in flight at the upstream, without this one.
    uint64_t ownInFlight { 0 };
    // The permit is granted if fewer requests than this are in flight at the upstream.
    uint64_t limit { 0 };
    // Set if the sender knows that the upstream is cold, which the owner may not know yet. Daemons
    // of earlier versions reject a request with this field, so that they appear to be unresponsive.
    std::optional<ColdStartNotice> cold {};
    // The context that would be placed on the upstream, if any. Daemons of earlier versions reject a
    // request with this field as well.
    std::optional<uint64_t> context {};
};

struct PermitResponse {
    uint64_t requestId { 0 };
    bool isGranted { false };
    // The requests in flight at the upstream, without the requested one.
    uint64_t count { 0 };
    // The cold quota of the upstream is used up. Daemons of earlier versions reject a response with
    // this field, and continue as if there had been no response.
    bool isExhausted { false };
    // The context has not been placed on the upstream before, as far as the owner knows.
    bool isContextNew { false };
};

// Reports the sender's requests in flight at an upstream that the receiver owns.
struct InFlightReport {
    UpstreamId upstream;
    uint64_t ownInFlight { 0 };
};

// The sender is available as an owner but lacks counts: it has just started or was paused. The
// receiver reports its requests in flight at the sender's upstreams. Daemons of earlier versions
// reject this message and the next ones.
struct OwnerAvailable {
    // The receiver may not know the sender yet.
    HallId hall;
};

// The sender is about to stop. The receiver uses the next owners in its place.
struct OwnerLeaving {
};

// The sender grants permits in place of an owner.
struct OwnerReplacement {
    VMId owner;
    // Whether that owner has not responded to the sender. If so, the receiver uses the sender in its
    // place and reports the requests in flight at that owner's upstreams. Otherwise this is the
    // question to the owner itself whether it is available.
    bool isConfirmed { false };
};

using PermitMessage = std::variant<PermitRequest, PermitResponse, InFlightReport, OwnerAvailable, OwnerLeaving, OwnerReplacement>;

std::string encodePermitMessage(PermitMessage const&);
// Error: Malformed.
Result<PermitMessage> decodePermitMessage(std::string_view bytes);

}

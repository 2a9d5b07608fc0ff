#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Result.h>
#include <LibBase/Time.h>
#include <LibMembership/MemberState.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Stagepost {

// A message of the failure detector (SWIM) with the updates that it carries.
struct MembershipMessage {
    enum class Kind : uint8_t {
        Ping,
        Acknowledgement,
        // Asks the receiver to ping the target and to forward its acknowledgement.
        PingRequest,
    };

    Kind kind { Kind::Ping };
    uint64_t sequence { 0 };
    // In a PingRequest, the daemon to ping.
    VMId target;
    // The sender's own state.
    MemberUpdate sender;
    // The revision of the settings that the sender uses.
    Revision revision;
    // The time since the sender's hall last heard from each other hall that it can reach.
    std::vector<std::pair<HallId, Microseconds>> hallAges;
    std::vector<MemberUpdate> members;
    std::vector<UpstreamUpdate> upstreams;

    std::string encode() const;
    // Error: Malformed.
    static Result<MembershipMessage> decode(std::string_view);
};

}

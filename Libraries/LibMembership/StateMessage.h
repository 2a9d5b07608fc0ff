#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Result.h>
#include <LibBase/Time.h>
#include <LibMembership/EmptiedHalls.h>
#include <LibMembership/RegistryHistory.h>
#include <LibMembership/UpstreamRecord.h>
#include <LibRollout/RolloutState.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Stagepost {

// Versions and hashes of a daemon's state, small enough for every message.
struct StateSummary {
    // The version of the configuration, or 0 without one.
    uint64_t settingsVersion { 0 };
    // The hash of all upstream records.
    uint64_t upstreamsHash { 0 };
    // The version of the registry of daemons.
    uint64_t registryVersion { 0 };

    bool operator==(StateSummary const&) const = default;
};

// A message by which daemons confirm to each other how recent their state is, or send
// their requests in flight.
struct StateMessage {
    enum class Kind : uint8_t {
        // Requests a confirmation of the state.
        Query,
        // The sender's state is as in the summary, and was confirmed to be current after the
        // query arrived.
        Response,
        // The sender's state has changed. Doesn't confirm anything.
        Notification,
        // The sender's own requests in flight, for its relay.
        OwnLoads,
        // The requests in flight of the sender and its group, for the other relays of its hall.
        GroupLoads,
        // The requests in flight of the sender's whole hall, for a relay of another hall.
        HallLoads,
        // The requests in flight of all daemons but the receiver, from its relay.
        OthersLoads,
        // The sender reads the store for others, but the store doesn't answer it. Daemons whose
        // version doesn't support this drop it as malformed.
        Unavailable,
    };

    Kind kind { Kind::Query };
    // When the query was sent, in microseconds of the requester's clock. The response repeats it.
    uint64_t querySentAt { 0 };
    // A random number of the requester's process. Query times of an earlier process are
    // invalid, as it may have run with another VM's clock.
    uint64_t requesterProcess { 0 };
    StateSummary summary;
    // Requests in flight, packed with the list of upstreams that the summary identifies.
    // Empty if the message contains none.
    std::string inFlight;
    // The mean age of those counts.
    Microseconds inFlightAge { 0 };
    // In a response: the changes from the requester's list of upstreams to the summary's, if
    // there are few. A requester whose list still differs after these fetches the whole list.
    std::vector<UpstreamChange> upstreamChanges;
    // In a response: the changes from the requester's version of the registry to the summary's,
    // if they are known and few. Without them, the requester has to read the registry.
    std::optional<std::vector<RegistryRecord>> registryChanges;
    // In a response or notification: the halls that operators have ordered to be emptied. None
    // from a daemon whose version doesn't support such orders.
    std::optional<EmptiedHallsState> emptiedHalls {};
    // In a message with emptied halls, where roll-outs are switched on: the latest orders. Daemons
    // whose version doesn't support roll-outs reject such messages as malformed.
    std::optional<RolloutStates> rollouts {};
    // In a response: how long ago the sender's registry was proven to be current. None from a daemon
    // whose version doesn't send it.
    std::optional<Microseconds> registryAge {};

    std::string encode() const;
    // Error: Malformed.
    static Result<StateMessage> decode(std::string_view bytes);
};

}

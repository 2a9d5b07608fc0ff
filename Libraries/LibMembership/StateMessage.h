#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Result.h>
#include <LibBase/Time.h>
#include <LibMembership/EmptiedHalls.h>
#include <LibMembership/RegistryHistory.h>
#include <LibMembership/UpstreamRecord.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Stagepost {

// What a daemon believes, short enough to be compared in every message.
struct StateSummary {
    // Of the configuration; 0 for none.
    uint64_t settingsVersion { 0 };
    // A hash over the records of all upstreams.
    uint64_t upstreamsHash { 0 };
    // Of the registry of daemons.
    uint64_t registryVersion { 0 };

    bool operator==(StateSummary const&) const = default;
};

// A message by which daemons prove to one another how old their beliefs are.
struct StateMessage {
    enum class Kind : uint8_t {
        // Asks for a proof.
        Ask,
        // Whoever sends it has read the store after the ask arrived and believes
        // what the summary says.
        Answer,
        // Something has changed; proves nothing.
        News,
        // The requests in flight of the sender itself, for its relay.
        OwnLoads,
        // Those of the daemons that tell the sender theirs, and its own, for the other
        // relays of its hall.
        GroupLoads,
        // Those of the sender's whole hall, for a relay of another hall.
        HallLoads,
        // Those of all daemons but the receiver, from its relay.
        OthersLoads,
    };

    Kind kind { Kind::Ask };
    // The asker's own clock when it asked, in microseconds; an answer repeats it.
    uint64_t stamp { 0 };
    // Drawn anew by each process: stamps of an earlier one, which may have run on
    // another VM's clock, mean nothing to this one.
    uint64_t askingProcess { 0 };
    StateSummary summary;
    // Requests in flight, packed by the list of upstreams that the summary names;
    // empty where the message says nothing about them.
    std::string inFlight;
    // How long ago those requests were counted, in the mean.
    Microseconds inFlightAge { 0 };
    // In an answer: what leads from the asker's list of upstreams to the summary's,
    // where that is little. An asker that comes to another list takes the whole.
    std::vector<UpstreamChange> changes;
    // In an answer: what leads from the asker's version of the registry to the
    // summary's, where that is known and little. One without it has to be read.
    std::optional<std::vector<RegistryRecord>> registryChanges;
    // In an answer and in news: which halls operators empty. None from a daemon of a
    // version that does not know of them.
    std::optional<EmptiedHallsState> emptiedHalls {};

    std::string encode() const;
    // Error: Malformed.
    static Result<StateMessage> decode(std::string_view bytes);
};

}

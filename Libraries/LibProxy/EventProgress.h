#pragma once

#include <cstdint>
#include <optional>

namespace Stagepost {

// The state of an event stream towards its client. It is kept across all upstreams
// that the stream is read from.
struct EventProgress {
    // Whether the client has the head of an event stream.
    bool isHeaderSent { false };
    // Whether that head says that the client's connection stays open.
    bool isClientKeptAlive { false };
    // The number of events that were forwarded.
    uint64_t eventCount { 0 };
    // How many of them had the next number, and how many left numbers out.
    uint64_t nextNumbers { 0 };
    uint64_t gaps { 0 };
    // The highest event id that the client has.
    std::optional<uint64_t> lastForwardedId;
    // The id of the last event that the client says to have, also if the stream must not be resumed.
    std::optional<uint64_t> lastIdOfClient;
    // Whether data was forwarded that has no number. Another upstream would send it again, and nothing would show that.
    bool hasUnnumberedData { false };

    // Whether another upstream may go on with the stream.
    bool canBeContinued() const { return !hasUnnumberedData; }
    // After which event an upstream is asked to go on.
    std::optional<uint64_t> lastId() const { return lastForwardedId ? lastForwardedId : lastIdOfClient; }
};

}

#pragma once

#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>
#include <LibRollout/RolloutOrder.h>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace Stagepost {

// The phases of an order. Of two phases that daemons know of for the same order, the higher one
// counts. Done is the highest, since it is only known from the store's record.
enum class RolloutPhase : uint8_t {
    // The new version gets a small share of the requests and is compared with the old one.
    Trial,
    // The new version is proven, and its share rises.
    FirstRamp,
    SecondRamp,
    LastRamp,
    // All new requests go to the new version. What runs at the old version ends.
    Moved,
    // The new version gets no further requests.
    RolledBack,
    // The old version has been left. Its upstreams stop.
    Done,
};

// For logs, metrics and the status record's own field.
std::string_view nameOf(RolloutPhase);

inline bool isFinal(RolloutPhase phase)
{
    return phase == RolloutPhase::RolledBack || phase == RolloutPhase::Done;
}

// An order that a later one for the same service has replaced.
struct ReplacedOrder {
    RolloutId id;
    std::string version;
    // The highest phase that is known.
    RolloutPhase phase { RolloutPhase::Trial };

    bool operator==(ReplacedOrder const&) const = default;
};

// What a daemon knows of the latest order for a service.
struct RolloutState {
    RolloutOrder order;
    RolloutPhase phase { RolloutPhase::Trial };
    // The time since the order, as far as the daemon knows; never more than the actual time.
    Microseconds elapsed { 0 };
    // Other versions of the service that must get no requests: they were the targets of orders that were
    // replaced, removed or rolled back, and no later order names them.
    std::set<std::string> barredVersions;
    // The order that this one has replaced, if the daemon knew it. Its version is barred unless it is Done,
    // which a daemon may learn only after it learnt of this order.
    std::optional<ReplacedOrder> replaced;
    // Whether the phase was read from the record or learnt from a daemon that knew it. Otherwise
    // the order may be in any phase from this one on.
    bool isPhaseKnown { true };

    bool operator==(RolloutState const&) const = default;
};

// The latest orders of all services, as sent between daemons. Always complete, since few services
// have an order.
struct RolloutStates {
    // The position in the store up to which orders were read.
    uint64_t position { 0 };
    std::vector<RolloutState> states;

    bool operator==(RolloutStates const&) const = default;
};

// Fails the reader if the number is not a phase.
RolloutPhase readRolloutPhase(MessageReader&);
void write(MessageWriter&, RolloutStates const&);
RolloutStates readRolloutStates(MessageReader&);

}

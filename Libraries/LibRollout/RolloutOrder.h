#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <optional>
#include <string>

namespace Stagepost {

// Identifies an order by the position of its record in the platform's store: the number of restores of the
// store before it was written, then its offset. A later order has a higher id, also after a restore from a copy,
// which lets later records have the offsets of lost ones. Without an era it is the offset.
using RolloutId = Id<struct RolloutTag>;

constexpr RolloutId makeRolloutId(uint64_t era, uint64_t offset)
{
    return RolloutId(era << 48 | offset);
}

constexpr uint64_t eraOf(RolloutId id)
{
    return id.value() >> 48;
}

constexpr uint64_t offsetOf(RolloutId id)
{
    return id.value() & ((uint64_t { 1 } << 48) - 1);
}

// The offset, after the era if there is one. For logs.
inline std::string nameOf(RolloutId id)
{
    auto const offset = std::to_string(offsetOf(id));
    return eraOf(id) ? std::to_string(eraOf(id)) + '/' + offset : offset;
}

// An operator's order that a service's requests go to the upstreams of a software version.
struct RolloutOrder {
    RolloutId id;
    std::string service;
    std::string version;
    // The time from the order to its deadline.
    Microseconds duration { 0 };

    bool operator==(RolloutOrder const&) const = default;
};

// Whether both may be the same record, read before and after a restore of the store that has kept it. The
// era of a record that a complete read returns is that of the read.
inline bool mayBeSameRecord(RolloutOrder const& one, RolloutOrder const& other)
{
    return offsetOf(one.id) == offsetOf(other.id) && one.service == other.service && one.version == other.version && one.duration == other.duration;
}

// A record of an order as the store returned it.
struct RolloutOrderRecord {
    // The record's position in the store.
    RolloutId id;
    std::string service;
    // None if the operator has removed the order, or if its record cannot be read.
    std::optional<RolloutOrder> order;
    bool isUnreadable { false };
};

}

#pragma once

#include <LibBase/ProvenAge.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Stagepost {

// An operator wants a hall emptied, or takes that back.
struct HallOrder {
    std::string hall;
    bool isEmptied { false };
};

// Which halls operators empty, as one daemon tells another: always all of them, since
// there are only a few halls.
struct EmptiedHallsState {
    // Up to where the platform's orders are known; rises with whatever is written beside
    // them as well.
    uint64_t position { 0 };
    std::set<std::string> halls;

    bool operator==(EmptiedHallsState const&) const = default;
};

// The halls whose upstreams are to get nothing further until the order is taken back.
// What is known is ordered by the position up to which it was read, whoever tells it
// and when.
class EmptiedHalls {
public:
    struct Bounds {
        // How long after the return of a store that has lost its last seconds an order
        // that is missing may still be written again.
        Microseconds returnGrace { 2000000 };
    };
    // Called for each hall whose order is new or taken back.
    using Changed = std::function<void(HallOrder const&)>;

    EmptiedHalls(Bounds bounds, Changed changed)
        : m_bounds(bounds)
        , m_changed(std::move(changed))
    {
    }

    // What a read added, in its order, up to that position.
    void apply(std::vector<HallOrder> const&, uint64_t position, Instant readSentAt);
    // All orders that there are.
    void replace(std::vector<HallOrder> const&, uint64_t position, Instant readSentAt);
    // The same from a store that has come back from a copy: an order that it lacks holds
    // until it has had the time to be written again.
    void replaceAfterReturn(std::vector<HallOrder> const&, uint64_t position, Instant readSentAt);
    // What another daemon knows, proven as of the time or not at all.
    void takeTold(EmptiedHallsState const&, std::optional<Instant> provenAt);
    // What is known is right as of then.
    void confirm(Instant provenAt) { m_age.confirm(provenAt); }
    // Lets orders go that were lost and not written again.
    void tick(Instant now);

    bool contains(std::string const& hall) const { return m_state.halls.contains(hall); }
    EmptiedHallsState const& state() const { return m_state; }
    ProvenAge const& age() const { return m_age; }

private:
    bool isOutdated(uint64_t position, Instant readSentAt);
    void become(std::set<std::string> halls);

    Bounds m_bounds;
    Changed m_changed;
    EmptiedHallsState m_state;
    ProvenAge m_age;
    // Orders that the store has lost, until when they hold without it.
    std::map<std::string, Instant> m_lost;
};

}

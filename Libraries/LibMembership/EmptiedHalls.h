#pragma once

#include <LibBase/StalenessBound.h>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Stagepost {

// An operator's order to empty a hall, or its withdrawal.
struct HallOrder {
    std::string hall;
    bool isEmptied { false };
};

// The halls that operators have ordered to be emptied, as sent between daemons. Always
// complete, since there are only a few halls.
struct EmptiedHallsState {
    // The position in the platform's store up to which orders were read. Unrelated writes
    // advance it as well.
    uint64_t position { 0 };
    std::set<std::string> halls;

    bool operator==(EmptiedHallsState const&) const = default;
};

// The halls whose upstreams get no further requests until the order is withdrawn. States
// are ordered by the store position that they were read at, regardless of which daemon
// sends them and when.
class EmptiedHalls {
public:
    struct Bounds {
        // After the store was restored from a copy that lacks its last seconds, how long a
        // missing order stays in force, so that it can be written again.
        Microseconds returnGrace { 2000000 };
    };
    // Called for each hall that is newly ordered to be emptied, or no longer.
    using Changed = std::function<void(HallOrder const&)>;

    EmptiedHalls(Bounds bounds, Changed changed)
        : m_bounds(bounds)
        , m_changed(std::move(changed))
    {
    }

    // Applies the orders that a read has added, oldest first, up to this position.
    void apply(std::vector<HallOrder> const&, uint64_t position, Instant readSentAt);
    // Replaces all orders by those of a complete read.
    void replace(std::vector<HallOrder> const&, uint64_t position, Instant readSentAt);
    // Like replace(), after the store was restored from a copy: an order that is missing
    // there stays in force for Bounds::returnGrace, so that it can be written again.
    void replaceAfterRestore(std::vector<HallOrder> const&, uint64_t position, Instant readSentAt);
    // Applies the state of another daemon, which was valid at the given time if there is
    // one. Ignored if its position is older, or is the same without a newer time.
    void applyPeerState(EmptiedHallsState const&, std::optional<Instant> provenAt);
    // Records that the state was valid at this time.
    void confirm(Instant provenAt) { m_age.confirm(provenAt); }
    // Drops orders that are missing from the store and were not written again in time.
    void tick(Instant now);

    bool contains(std::string const& hall) const { return m_state.halls.contains(hall); }
    EmptiedHallsState const& state() const { return m_state; }
    StalenessBound const& age() const { return m_age; }

private:
    bool advancePosition(uint64_t position, Instant readSentAt);
    void setHalls(std::set<std::string> halls);

    Bounds m_bounds;
    Changed m_changed;
    EmptiedHallsState m_state;
    StalenessBound m_age;
    // Orders that are missing from the restored store, and when they expire.
    std::map<std::string, Instant> m_missing;
    // Until when orders may be missing from the restored store that this daemon has read.
    Instant m_missingUntil;
};

}

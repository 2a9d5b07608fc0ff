#pragma once

#include <LibBase/StalenessBound.h>
#include <LibRollout/RolloutSchedule.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Stagepost {

// The latest order of each service with its phase, from the store's orders and status records and from
// other daemons. Merging is commutative: the order that was read at the higher position counts, and of one
// order the higher phase. An order that was removed is kept as RolledBack, so that its version stays barred.
//
// Positions include the store's era, so they are higher after a restore. So do the ids of orders: that of a record
// which was read as appended has the era in which it was written. A complete read only says that a record is
// not later, so an order that is known already keeps its id, and another one takes over the id by which the
// status record or another daemon knows it.
class RolloutBook {
public:
    struct Bounds {
        // After the store was restored from a copy that lacks its last seconds, how long a
        // missing order stays in force, so that it can be written again.
        Microseconds returnGrace { 2000000 };
        // An order that is read this soon after the preceding proof of the orders is in its first phase.
        // Older ones may have advanced, so their phase has to be learnt.
        Microseconds newOrderAge { 2000000 };
    };
    // Called when the order of a service, its phase or its barred versions have changed.
    using Changed = std::function<void(RolloutState const&)>;

    RolloutBook(Bounds bounds, Changed changed)
        : m_bounds(bounds)
        , m_changed(std::move(changed))
    {
    }

    // Applies the order records that a read has added, oldest first, up to this position. The time of an
    // order counts from the time at which the response was received, since a read may wait for records. Without it,
    // from the time at which the read was sent.
    void apply(std::vector<RolloutOrderRecord> const&, uint64_t position, Instant readSentAt, std::optional<Instant> receivedAt = std::nullopt);
    // Replaces all orders by those of a complete read. An order without a record stays in force for
    // Bounds::returnGrace, since the store may have been restored; one whose record has no value does not.
    void replace(std::vector<RolloutOrderRecord> const&, uint64_t position, Instant readSentAt, std::optional<Instant> receivedAt = std::nullopt);
    // Like replace(), after the store was restored from a copy: an older order does not replace one that
    // is missing there until Bounds::returnGrace has passed.
    void replaceAfterRestore(std::vector<RolloutOrderRecord> const&, uint64_t position, Instant readSentAt, std::optional<Instant> receivedAt = std::nullopt);
    // Merges the states of another daemon, which were current at the given time if there is one.
    void merge(RolloutStates const&, std::optional<Instant> provenAt, Instant now);
    // A status record of the store for the service, or that there is none: the outcome or phase of
    // this order is known from now on.
    struct Recorded {
        RolloutId order;
        RolloutPhase phase { RolloutPhase::Trial };
        Microseconds elapsed { 0 };
        // The version that the record names. If it names one, the version of a replaced order that is not done is barred.
        std::string version {};
    };
    void applyRecorded(std::string const& service, std::optional<Recorded> const&, Instant now);
    // Raises the phase of this order; ignored if it is not the latest one or not higher.
    void raise(std::string const& service, RolloutId, RolloutPhase, Instant now);
    void confirm(Instant provenAt) { m_age.confirm(provenAt); }
    void tick(Instant now);

    // The state of the service with its elapsed time as of now; none without an order.
    std::optional<RolloutState> state(std::string const& service, Instant now) const;
    RolloutStates states(Instant now) const;
    // Services with an order whose phase is not known yet: nothing may be sent to either the
    // order's version, nor may this daemon be ready, until the status was read or a daemon told it.
    std::vector<std::string> servicesWithUnknownPhase() const;
    uint64_t position() const { return m_position; }
    StalenessBound const& age() const { return m_age; }

private:
    struct Entry {
        RolloutState state;
        // The instant at which elapsed was zero.
        Instant orderedAt;
    };
    // An order that the store lacks since it was restored.
    struct Missing {
        Instant until;
        // The older order that the store has for the service.
        std::optional<RolloutOrder> inStore;
    };
    // The time at which records were read, whether their orders are in their first phase, and whether all records
    // were read, not only those that were appended.
    struct Reading {
        Instant at;
        bool isNew { false };
        bool isComplete { false };
    };

    std::optional<Reading> startReading(uint64_t position, Instant readSentAt, std::optional<Instant> receivedAt);
    void applyRecord(RolloutOrderRecord const&, Reading);
    void replaceOrders(std::vector<RolloutOrderRecord> const&, Reading);
    void adopt(RolloutOrder const&, Reading);
    void remove(std::string const& service, Instant now);
    void mergeState(RolloutState const&, bool isPeerNewer, Instant now);
    bool mergeSameOrder(Entry&, RolloutState const&) const;
    static bool takeOverId(Entry&, RolloutState const& peer);
    void notify(Entry const&, Instant now) const;
    static Entry replaceBy(Entry const& before, RolloutOrder const&, Reading);
    static RolloutState stateOf(Entry const&, Instant now);

    Bounds m_bounds;
    Changed m_changed;
    uint64_t m_position { 0 };
    StalenessBound m_age;
    std::map<std::string, Entry> m_entries;
    std::map<std::string, Missing> m_missing;
};

}

#pragma once

#include <LibBase/Time.h>
#include <LibMembership/InFlightCounts.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Stagepost {

// Packed counts and the list of upstreams that they go by, named by its hash.
struct PackedCounts {
    uint64_t listHash { 0 };
    std::string bytes;
    // How old they were when they were told, in the mean.
    Microseconds age { 0 };
};

// Requests in flight that were counted at different times.
class AgedTotals {
public:
    void add(std::vector<UpstreamInFlight> const&, Microseconds age);

    InFlightTotals const& counts() const { return m_counts; }
    // How long ago they were counted, in the mean over all requests. Of none at all, how
    // long ago the oldest of them were: nothing in flight is news of some time as well,
    // and a fleet before its first request must not take it for news of now.
    Microseconds age() const;

private:
    InFlightTotals m_counts;
    double m_requests { 0 };
    // The ages of all requests together.
    double m_ageSeconds { 0 };
    Microseconds m_oldest { 0 };
};

// Adds up how many requests the daemons of a fleet have in flight at each
// upstream: the daemons of this relay's group tell their own, the other relays of
// its hall the sums of their groups, and relays of other halls the sums of these.
// Counts by a list of upstreams that is not
// known here yet are kept until it is; until then the sender's counts before
// them go on counting.
class LoadSums {
public:
    // The list of upstreams with that hash, or null where it is not known.
    using ListHook = std::function<std::shared_ptr<UpstreamList const>(uint64_t listHash)>;

    explicit LoadSums(ListHook listOf)
        : m_listOf(std::move(listOf))
    {
    }

    void takeFromGroup(VMId from, PackedCounts counts, Instant now) { take(m_group[from], std::move(counts), now); }
    void takeFromRelay(VMId from, PackedCounts counts, Instant now) { take(m_relays[from], std::move(counts), now); }
    void takeFromHall(HallId hall, PackedCounts counts, Instant now) { take(m_halls[hall], std::move(counts), now); }

    // Drops what was told longer ago.
    void forget(Instant now, Microseconds groupMemory, Microseconds relayMemory);

    // The daemons of the group, as far as they have told anything lately.
    std::vector<VMId> group() const;

    // The group's, without this daemon's own.
    AgedTotals ofGroup(Instant now);
    // Those of the own hall, without this daemon's own.
    AgedTotals ofHall(Instant now);
    // Those of all halls, without this daemon's own.
    AgedTotals ofAll(Instant now);
    // Counts that contradicted the list they went by.
    size_t unreadableCounts() const { return m_unreadableCounts; }

    // What one daemon of the group told.
    std::vector<UpstreamInFlight> const& toldBy(VMId) const;

private:
    struct Told {
        std::vector<UpstreamInFlight> inFlight;
        Instant at;
        // How old they were then.
        Microseconds age { 0 };
        bool wasRead { false };
        // Newer than what stands above, and not to be read yet.
        std::optional<PackedCounts> unread;
        Instant unreadAt;
    };

    static void take(Told&, PackedCounts, Instant now);
    void read(Told&);
    template <typename Teller>
    void add(AgedTotals&, std::map<Teller, Told>&, Instant now);
    template <typename Teller>
    static void forgetOlder(std::map<Teller, Told>&, Instant oldest);

    ListHook m_listOf;
    std::map<VMId, Told> m_group;
    std::map<VMId, Told> m_relays;
    std::map<HallId, Told> m_halls;
    size_t m_unreadableCounts { 0 };
};

// The totals as a list; upstreams with none are left out.
std::vector<UpstreamInFlight> listOf(InFlightTotals const&);

// Takes counts away from totals that hold them.
void subtract(InFlightTotals&, std::vector<UpstreamInFlight> const&);

// Adds counts to totals.
void add(InFlightTotals&, std::vector<UpstreamInFlight> const&);

}

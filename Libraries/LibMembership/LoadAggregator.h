#pragma once

#include <LibBase/Time.h>
#include <LibMembership/InFlightCounts.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Stagepost {

// Packed counts, with the hash of the list of upstreams that they were packed with.
struct PackedCounts {
    uint64_t listHash { 0 };
    std::string bytes;
    // Their mean age when they were sent.
    Microseconds age { 0 };
};

// Sums of requests in flight that were counted at different times.
class AgedTotals {
public:
    void add(std::vector<UpstreamInFlight> const&, Microseconds age);

    InFlightTotals const& counts() const { return m_counts; }
    // The mean age over all requests. Without any requests, the age of the oldest counts: a
    // count of zero has an age as well, and a fleet before its first request must not treat
    // it as current.
    Microseconds age() const;

private:
    InFlightTotals m_counts;
    double m_requests { 0 };
    // The sum of the ages of all requests.
    double m_totalAgeSeconds { 0 };
    Microseconds m_oldestAge { 0 };
};

// Sums the requests that the daemons of a fleet have in flight at each upstream. The daemons
// of this relay's group send their own counts, the other relays of its hall the sums of
// their groups, and relays of other halls the sums of their halls. Counts packed with an
// unknown list of upstreams are kept until the list is known. Until then the sender's
// previous counts remain in the sums.
class LoadAggregator {
public:
    // Returns the list of upstreams with this hash, or null if it is unknown.
    using ListHook = std::function<std::shared_ptr<UpstreamList const>(uint64_t listHash)>;

    explicit LoadAggregator(ListHook listForHash)
        : m_listForHash(std::move(listForHash))
    {
    }

    void setFromGroup(VMId from, PackedCounts counts, Instant now) { set(m_group[from], std::move(counts), now); }
    // The daemon sends its counts to another relay now.
    void removeFromGroup(VMId id) { m_group.erase(id); }
    void setFromRelay(VMId from, PackedCounts counts, Instant now) { set(m_relays[from], std::move(counts), now); }
    void setFromHall(HallId hall, PackedCounts counts, Instant now) { set(m_halls[hall], std::move(counts), now); }

    // Drops counts that were received longer ago than the timeout for their kind of sender.
    void expire(Instant now, Microseconds groupTimeout, Microseconds relayTimeout);

    // The daemons of the group whose counts haven't expired.
    std::vector<VMId> group() const;

    // The sums of the group, of the own hall and of all halls, without this daemon's own
    // requests.
    AgedTotals groupTotals(Instant now);
    AgedTotals hallTotals(Instant now);
    AgedTotals allTotals(Instant now);
    // The number of packed counts that didn't match their list.
    size_t unreadableCounts() const { return m_unreadableCounts; }

    // The last decoded counts of one daemon of the group.
    std::vector<UpstreamInFlight> const& countsFrom(VMId) const;

private:
    struct ReceivedCounts {
        std::vector<UpstreamInFlight> inFlight;
        Instant receivedAt;
        // Their mean age when they were received.
        Microseconds age { 0 };
        bool isDecoded { false };
        // Newer counts, not decoded yet.
        std::optional<PackedCounts> pending;
        Instant pendingReceivedAt;
    };

    static void set(ReceivedCounts&, PackedCounts, Instant now);
    void decodePending(ReceivedCounts&);
    template <typename Sender>
    void add(AgedTotals&, std::map<Sender, ReceivedCounts>&, Instant now);
    template <typename Sender>
    static void dropOlder(std::map<Sender, ReceivedCounts>&, Instant oldest);

    ListHook m_listForHash;
    std::map<VMId, ReceivedCounts> m_group;
    std::map<VMId, ReceivedCounts> m_relays;
    std::map<HallId, ReceivedCounts> m_halls;
    size_t m_unreadableCounts { 0 };
};

// Returns the totals as a list, without upstreams that have no requests.
std::vector<UpstreamInFlight> toList(InFlightTotals const&);

// Subtracts counts from totals, down to zero at the least.
void subtract(InFlightTotals&, std::vector<UpstreamInFlight> const&);

// Adds counts to totals.
void add(InFlightTotals&, std::vector<UpstreamInFlight> const&);

}

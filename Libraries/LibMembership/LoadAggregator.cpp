#include <LibMembership/LoadAggregator.h>

#include <algorithm>
#include <cmath>

namespace Stagepost {

void AgedTotals::add(std::vector<UpstreamInFlight> const& counts, Microseconds age)
{
    Stagepost::add(m_counts, counts);
    m_oldestAge = std::max(m_oldestAge, age);
    for (auto const& [upstream, count] : counts) {
        m_requests += static_cast<double>(count);
        m_totalAgeSeconds += static_cast<double>(count) * asSeconds(age);
    }
}

Microseconds AgedTotals::age() const
{
    return m_requests > 0 ? Microseconds(std::llround(1e6 * m_totalAgeSeconds / m_requests)) : m_oldestAge;
}

void LoadAggregator::set(ReceivedCounts& received, PackedCounts counts, Instant now)
{
    received.pending = std::move(counts);
    received.pendingReceivedAt = now;
}

// If the counts don't match their list, the previous ones are kept and continue to age.
void LoadAggregator::decodePending(ReceivedCounts& received)
{
    if (!received.pending)
        return;
    auto const list = m_listForHash(received.pending->listHash);
    if (!list)
        return;
    if (auto inFlight = unpackCounts(*list, received.pending->bytes)) {
        received.inFlight = std::move(*inFlight);
        received.receivedAt = received.pendingReceivedAt;
        received.age = received.pending->age;
        received.isDecoded = true;
    } else {
        ++m_unreadableCounts;
    }
    received.pending.reset();
}

template <typename Sender>
void LoadAggregator::dropOlder(std::map<Sender, ReceivedCounts>& all, Instant oldest)
{
    for (auto& [id, received] : all) {
        if (received.receivedAt < oldest)
            received.inFlight.clear();
    }
    std::erase_if(all, [oldest](auto const& entry) {
        auto const& received = entry.second;
        return received.receivedAt < oldest && (!received.pending || received.pendingReceivedAt < oldest);
    });
}

void LoadAggregator::expire(Instant now, Microseconds groupTimeout, Microseconds relayTimeout)
{
    dropOlder(m_group, now - groupTimeout);
    dropOlder(m_relays, now - relayTimeout);
    dropOlder(m_halls, now - relayTimeout);
}

std::vector<VMId> LoadAggregator::group() const
{
    std::vector<VMId> ids;
    ids.reserve(m_group.size());
    for (auto const& [id, received] : m_group)
        ids.push_back(id);
    return ids;
}

template <typename Sender>
void LoadAggregator::add(AgedTotals& totals, std::map<Sender, ReceivedCounts>& all, Instant now)
{
    for (auto& [id, received] : all) {
        decodePending(received);
        // No counts were decoded from this sender yet, so there is no age to add.
        if (!received.isDecoded)
            continue;
        totals.add(received.inFlight, now - received.receivedAt + received.age);
    }
}

AgedTotals LoadAggregator::groupTotals(Instant now)
{
    AgedTotals totals;
    add(totals, m_group, now);
    return totals;
}

AgedTotals LoadAggregator::hallTotals(Instant now)
{
    auto totals = groupTotals(now);
    add(totals, m_relays, now);
    return totals;
}

AgedTotals LoadAggregator::allTotals(Instant now)
{
    auto totals = hallTotals(now);
    add(totals, m_halls, now);
    return totals;
}

std::vector<UpstreamInFlight> const& LoadAggregator::countsFrom(VMId id) const
{
    static std::vector<UpstreamInFlight> const empty;
    auto const found = m_group.find(id);
    return found == m_group.end() ? empty : found->second.inFlight;
}

std::vector<UpstreamInFlight> toList(InFlightTotals const& totals)
{
    std::vector<UpstreamInFlight> result;
    result.reserve(totals.size());
    for (auto const& [upstream, count] : totals) {
        if (count)
            result.push_back({ upstream, count });
    }
    return result;
}

void subtract(InFlightTotals& totals, std::vector<UpstreamInFlight> const& counts)
{
    for (auto const& [upstream, count] : counts) {
        auto const found = totals.find(upstream);
        if (found != totals.end())
            found->second -= std::min(found->second, count);
    }
}

void add(InFlightTotals& totals, std::vector<UpstreamInFlight> const& counts)
{
    for (auto const& [upstream, count] : counts)
        totals[upstream] += count;
}

}

#include <LibMembership/LoadSums.h>

#include <algorithm>
#include <cmath>

namespace Stagepost {

void AgedTotals::add(std::vector<UpstreamInFlight> const& counts, Microseconds age)
{
    Stagepost::add(m_counts, counts);
    m_oldest = std::max(m_oldest, age);
    for (auto const& [upstream, count] : counts) {
        m_requests += static_cast<double>(count);
        m_ageSeconds += static_cast<double>(count) * asSeconds(age);
    }
}

Microseconds AgedTotals::age() const
{
    return m_requests > 0 ? Microseconds(std::llround(1e6 * m_ageSeconds / m_requests)) : m_oldest;
}

void LoadSums::take(Told& told, PackedCounts counts, Instant now)
{
    told.unread = std::move(counts);
    told.unreadAt = now;
}

// Counts that contradict their list say nothing, so those before them stay and
// age.
void LoadSums::read(Told& told)
{
    if (!told.unread)
        return;
    auto const list = m_listOf(told.unread->listHash);
    if (!list)
        return;
    if (auto inFlight = unpackCounts(*list, told.unread->bytes)) {
        told.inFlight = std::move(*inFlight);
        told.at = told.unreadAt;
        told.age = told.unread->age;
        told.wasRead = true;
    } else {
        ++m_unreadableCounts;
    }
    told.unread.reset();
}

template <typename Teller>
void LoadSums::forgetOlder(std::map<Teller, Told>& all, Instant oldest)
{
    for (auto& [id, told] : all) {
        if (told.at < oldest)
            told.inFlight.clear();
    }
    std::erase_if(all, [oldest](auto const& entry) {
        auto const& told = entry.second;
        return told.at < oldest && (!told.unread || told.unreadAt < oldest);
    });
}

void LoadSums::forget(Instant now, Microseconds groupMemory, Microseconds relayMemory)
{
    forgetOlder(m_group, now - groupMemory);
    forgetOlder(m_relays, now - relayMemory);
    forgetOlder(m_halls, now - relayMemory);
}

std::vector<VMId> LoadSums::group() const
{
    std::vector<VMId> ids;
    ids.reserve(m_group.size());
    for (auto const& [id, told] : m_group)
        ids.push_back(id);
    return ids;
}

template <typename Teller>
void LoadSums::add(AgedTotals& totals, std::map<Teller, Told>& all, Instant now)
{
    for (auto& [id, told] : all) {
        read(told);
        // Nothing was read from it yet: there is no word whose age could count.
        if (!told.wasRead)
            continue;
        totals.add(told.inFlight, now - told.at + told.age);
    }
}

AgedTotals LoadSums::ofGroup(Instant now)
{
    AgedTotals totals;
    add(totals, m_group, now);
    return totals;
}

AgedTotals LoadSums::ofHall(Instant now)
{
    auto totals = ofGroup(now);
    add(totals, m_relays, now);
    return totals;
}

AgedTotals LoadSums::ofAll(Instant now)
{
    auto totals = ofHall(now);
    add(totals, m_halls, now);
    return totals;
}

std::vector<UpstreamInFlight> const& LoadSums::toldBy(VMId id) const
{
    static std::vector<UpstreamInFlight> const nothing;
    auto const found = m_group.find(id);
    return found == m_group.end() ? nothing : found->second.inFlight;
}

std::vector<UpstreamInFlight> listOf(InFlightTotals const& totals)
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

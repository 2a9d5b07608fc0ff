#include <LibRouting/StreamKeepers.h>

#include <LibBase/Hash.h>
#include <LibRouting/VersionHistory.h>
#include <algorithm>
#include <functional>
#include <map>

namespace Stagepost {

// The lists are ordered by time, so that those that nobody can have used for a stream are at the front.
void StreamKeepers::setPeers(std::vector<FleetPeer> peers, Instant now)
{
    std::erase_if(peers, [this](auto const& peer) { return peer.id == m_self.id; });
    peers.push_back(m_self);
    std::sort(peers.begin(), peers.end(), [](auto const& one, auto const& other) { return one.id < other.id; });
    auto const isSame = [](auto const& one, auto const& other) { return one.id == other.id && one.hall == other.hall; };
    if (!m_lists.empty() && std::equal(peers.begin(), peers.end(), this->peers().begin(), this->peers().end(), isSame))
        return;
    m_lists.push_back({ std::move(peers), now });
    auto const oldest = now - VersionHistory::memory - m_bounds.peerListLag;
    while (m_lists.size() > m_bounds.maxEarlierLists || (m_lists.size() > 1 && m_lists[1].since <= oldest))
        m_lists.pop_front();
}

void StreamKeepers::forgetEarlierLists(Instant now)
{
    if (m_lists.empty())
        return;
    m_lists.erase(m_lists.begin(), m_lists.end() - 1);
    m_lists.back().since = now;
}

bool StreamKeepers::isListed(VMId id) const
{
    return std::any_of(peers().begin(), peers().end(), [id](auto const& peer) { return peer.id == id; });
}

// The first daemons in the stream's rendezvous order, those of different halls before others: a hall may
// be lost as a whole.
std::vector<VMId> StreamKeepers::chooseDaemons(std::vector<FleetPeer> const& peers, StreamId stream, size_t count)
{
    using Ranked = std::pair<uint64_t, VMId>;
    std::map<HallId, Ranked> firstOfHalls;
    std::vector<Ranked> others;
    for (auto const& peer : peers) {
        Ranked daemon { mixHashes(stream.value(), peer.id.value()), peer.id };
        auto const [first, isNew] = firstOfHalls.try_emplace(peer.hall, daemon);
        if (isNew)
            continue;
        if (daemon > first->second)
            std::swap(daemon, first->second);
        others.push_back(daemon);
    }
    std::vector<Ranked> daemons;
    daemons.reserve(peers.size());
    for (auto const& [hall, first] : firstOfHalls)
        daemons.push_back(first);
    std::sort(daemons.begin(), daemons.end(), std::greater());
    // The order of the others matters only as far as they are chosen.
    auto const chosen = std::min(count - std::min(count, daemons.size()), others.size());
    std::partial_sort(others.begin(), others.begin() + static_cast<ptrdiff_t>(chosen), others.end(), std::greater());
    daemons.insert(daemons.end(), others.begin(), others.begin() + static_cast<ptrdiff_t>(chosen));
    daemons.resize(std::min(daemons.size(), count));
    std::vector<VMId> result;
    result.reserve(daemons.size());
    for (auto const& [rank, daemon] : daemons)
        result.push_back(daemon);
    return result;
}

std::vector<StreamKeepers::Keepers> StreamKeepers::keepersByAllLists(StreamId stream, Instant now) const
{
    std::vector<Keepers> result;
    for (size_t index = 0; index < m_lists.size(); ++index) {
        bool const isPresent = index + 1 == m_lists.size();
        auto const& peers = m_lists[index].peers;
        result.push_back({ chooseDaemons(peers, stream, keeperCount(peers)), isPresent ? now : m_lists[index + 1].since });
    }
    return result;
}

}

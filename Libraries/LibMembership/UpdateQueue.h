#pragma once

#include <LibBase/Ids.h>
#include <LibMembership/MemberState.h>
#include <cstddef>
#include <map>
#include <vector>

namespace Stagepost {

// Updates that are piggybacked on outgoing messages. Each one is sent a number of
// times that grows with the logarithm of the fleet's size, so that it reaches every
// daemon with high probability. The updates sent least often go first.
class UpdateQueue {
public:
    static constexpr size_t maxUpdatesPerMessage = 6;

    // Replaces an older update of the same member or upstream.
    void push(MemberUpdate const& update) { m_members[update.member] = { update, 0 }; }
    void push(UpstreamUpdate const& update) { m_upstreams[update.upstream] = { update, 0 }; }

    // Returns up to maxUpdatesPerMessage updates for one message, and drops those that
    // have now been sent often enough for a fleet of this size.
    std::vector<MemberUpdate> takeMembers(size_t fleetSize) { return take(m_members, fleetSize); }
    std::vector<UpstreamUpdate> takeUpstreams(size_t fleetSize) { return take(m_upstreams, fleetSize); }

    size_t size() const { return m_members.size() + m_upstreams.size(); }

private:
    template <typename Update>
    struct Entry {
        Update update;
        size_t transmissions { 0 };
    };
    template <typename Key, typename Update>
    std::vector<Update> take(std::map<Key, Entry<Update>>&, size_t fleetSize);

    std::map<VMId, Entry<MemberUpdate>> m_members;
    std::map<UpstreamId, Entry<UpstreamUpdate>> m_upstreams;
};

}

#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <map>
#include <utility>
#include <vector>

namespace Stagepost {

// Tracks when each other hall was last heard from, either directly or by a daemon
// of the own hall that reported it.
class HallReachability {
public:
    // A hall counts as unreachable when it was not heard from for longer than this.
    static constexpr Microseconds timeout { 4000000 };

    explicit HallReachability(HallId own)
        : m_own(own)
    {
    }

    // Starts tracking a hall, with the current time as its last contact.
    void add(HallId, Instant now);
    // Ignores halls that are not tracked and contacts older than the last one.
    void recordContact(HallId, Instant at);
    // The own hall is always reachable, an untracked one never.
    bool isReachable(HallId, Instant now) const;
    // The time since the last contact, for each hall that is reachable.
    std::vector<std::pair<HallId, Microseconds>> ages(Instant now) const;
    // Returns the halls whose reachability changed since the last call.
    std::vector<HallId> takeChanges(Instant now);

private:
    HallId m_own;
    std::map<HallId, Instant> m_lastContact;
    std::map<HallId, bool> m_wasReachable;
};

}

#pragma once

#include <LibBase/Ids.h>
#include <cstdint>

namespace Stagepost {

// Of two states with the same version, the later enumerator takes precedence.
enum class MemberState : uint8_t {
    Alive,
    Suspect,
    // Announced by the member itself: it finishes its open requests and then stops.
    Leaving,
    Dead,
};

// A statement about one member. Updates are ordered by incarnation, then by version.
// Only the member itself raises its version, to refute statements of others.
struct MemberUpdate {
    VMId member;
    HallId hall;
    Incarnation incarnation;
    uint64_t version { 0 };
    MemberState state { MemberState::Alive };

    // Whether this update supersedes the other one, which must be of the same member.
    bool overrides(MemberUpdate const& other) const
    {
        if (incarnation != other.incarnation)
            return incarnation > other.incarnation;
        if (version != other.version)
            return version > other.version;
        return state > other.state;
    }
};

enum class UpstreamState : uint8_t {
    Live,
    Leaving,
    Gone,
};

// The state of one upstream in the platform's list, forwarded to daemons that cannot
// read the list. Updates are ordered by the version of the list.
struct UpstreamUpdate {
    UpstreamId upstream;
    uint64_t listVersion { 0 };
    UpstreamState state { UpstreamState::Live };
};

}

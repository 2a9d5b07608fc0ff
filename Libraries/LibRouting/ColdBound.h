#pragma once

#include <LibBase/Time.h>
#include <cstddef>

namespace Stagepost {

// What the upstreams of a service take while they are cold: one that has just started, or
// has become cold again, handles a few requests a second and falls over well above that.
// The bound is the whole fleet's, so what one daemon may allow is a part of it.
struct ColdBound {
    // What a cold upstream handles a second; 0 where upstreams are never cold.
    double perSecond { 0 };
    // Of that, and in requests more, what all daemons together may send in any second.
    double overshoot { 1 };
    double slack { 0 };
    // How long an upstream stays cold after its start.
    Microseconds duration { 0 };

    bool exists() const { return perSecond > 0; }
    // In any second, from all daemons.
    size_t most() const;
    // What the upstream's owner grants within a window: what it can handle.
    size_t forOwner() const;
    // What a daemon grants that is asked since the owner does not answer, or that may not be
    // the only one to take itself for the owner.
    size_t forNextOwner() const;
    // What an owner grants while the upstream may be cold without being known to be.
    size_t forCaution() const;

    bool operator==(ColdBound const&) const = default;
};

// One upstream that is cold, as one daemon tells another.
struct ColdNotice {
    ColdBound bound;
    // How much longer it is.
    Microseconds left { 0 };
};

// A second, and the longest way of a request from its grant to its upstream: however long
// each one takes within that, no second sees more than a window's grants.
constexpr Microseconds coldWindow { 1250000 };

}

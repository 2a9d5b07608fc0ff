#pragma once

#include <LibBase/Time.h>
#include <cstddef>

namespace Stagepost {

// Rate limit for cold upstreams of a service. An upstream that has just started, or has become
// cold again, handles a few requests per second and fails under a much higher rate. The limit
// applies to the whole fleet, so each daemon may grant only a part of it.
struct ColdStartLimit {
    // Requests per second that a cold upstream handles; 0 if upstreams are never cold.
    double perSecond { 0 };
    // All daemons together may send overshoot * perSecond + slack requests in any second.
    double overshoot { 1 };
    double slack { 0 };
    // The time for which an upstream is cold after its start.
    Microseconds duration { 0 };

    bool exists() const { return perSecond > 0; }
    // The maximum number of requests in any second from all daemons together.
    size_t fleetLimit() const;
    // The owner's grants per coldStartWindow: what the upstream handles in that time.
    size_t ownerLimit() const;
    // The grants per coldStartWindow of a daemon that is asked because the owner doesn't answer, or
    // that may not be the only one to consider itself the owner.
    size_t nextOwnerLimit() const;
    // The owner's grants per coldStartWindow while the upstream may be cold but isn't known to be.
    size_t unconfirmedLimit() const;

    bool operator==(ColdStartLimit const&) const = default;
};

// Tells another daemon that an upstream is cold.
struct ColdStartNotice {
    ColdStartLimit bound;
    // The remaining time for which it is cold.
    Microseconds left { 0 };
};

// Grants are limited per window of one second plus the longest delay between a grant and the
// request's arrival at the upstream. Whatever the delays, no second sees more arrivals than
// one window has grants.
constexpr Microseconds coldStartWindow { 1250000 };

}

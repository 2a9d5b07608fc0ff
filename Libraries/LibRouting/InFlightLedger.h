#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <cstddef>
#include <functional>
#include <map>

namespace Stagepost {

// What a daemon believes of an upstream without asking its owner.
struct UpstreamForecast {
    // What all daemons are likely to have in flight there.
    double inFlight { 0 };
    // How long requests stay.
    Microseconds hold { 0 };
};

// What an owner says to an ask.
struct LedgerVerdict {
    bool isGranted { false };
    // What the upstream holds besides what was asked for.
    size_t count { 0 };
};

// The exact count of requests in flight at upstreams, kept by the daemon that owns them:
// every other one asks it before a send and tells it of the end. What a daemon says is
// always all that it has there, so a message that was lost is made good by the next one,
// and what is heard no more is forgotten.
class InFlightLedger {
public:
    using Forecast = std::function<UpstreamForecast(UpstreamId)>;

    explicit InFlightLedger(Forecast forecast)
        : m_forecast(std::move(forecast))
    {
    }

    // A daemon that has so many in flight there asks whether it may send one more: it may
    // if the upstream holds fewer than the limit. What is granted is counted at once.
    LedgerVerdict ask(VMId from, UpstreamId, size_t ownInFlight, size_t limit, Instant now);
    // A daemon has so many in flight there.
    void told(VMId from, UpstreamId, size_t ownInFlight, Instant now);
    // Drops what is too old to be true.
    void tick(Instant now);

    size_t count(UpstreamId) const;

private:
    struct Share {
        size_t count { 0 };
        Instant heardAt;
    };
    struct Account {
        std::map<VMId, Share> shares;
        // When this daemon was first asked, or told, about the upstream.
        Instant since;
        Instant heardAt;
    };

    Account& account(UpstreamId, Instant now);
    size_t believed(UpstreamId, Account const&, Instant now) const;
    static size_t sum(Account const&);

    Forecast m_forecast;
    std::map<UpstreamId, Account> m_accounts;
};

// How long a daemon's word about its requests in flight counts, and after what part of
// that it is said again, where they stay for so long.
Microseconds ledgerMemory(Microseconds hold);
Microseconds ledgerRepeat(Microseconds hold);

}

#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <LibRouting/ColdBound.h>
#include <LibRouting/LedgerMessage.h>
#include <LibRouting/BoundedMap.h>
#include <LibRouting/SendWindow.h>
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
    // What the upstream takes while it is cold, and whether it is known to be.
    ColdBound coldBound {};
    bool isCold { false };
    // Whether what upstreams of the service usually get fits into the bound: then it can be
    // kept as well while nobody knows yet that the upstream has become cold.
    bool hasRoomForCaution { false };
};

// What an owner says to an ask.
struct LedgerVerdict {
    bool isGranted { false };
    // What the upstream holds besides what was asked for.
    size_t count { 0 };
    // Whether it is cold, or may be, and was sent all that it can take by now: it gets nothing
    // further, whatever the others hold.
    bool isExhausted { false };
    // The context is new to the upstream.
    bool isNewThere { false };
};

// What a daemon is to an upstream about which it is asked.
enum class OwnerRank : uint8_t {
    First,
    // Another daemon may be asked as well, or may have been until now.
    Next,
    // At least two others go before it.
    Further,
};

// How a daemon stands to an upstream about which it is asked.
struct OwnerStanding {
    OwnerRank rank { OwnerRank::Further };
    // Whether no other daemon goes before it, so that what it counts is all that there is.
    bool isFirst { false };
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
    // A cold upstream gets no more than it can take, by the rank of the one who answers.
    LedgerVerdict ask(VMId from, LedgerAsk const&, OwnerStanding, Instant now);
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
    // Of one upstream, whose own memory has room for fewer.
    static constexpr size_t mostContextsKnown = 16384;
    struct Account {
        std::map<VMId, Share> shares;
        // Where the upstream may be cold.
        SendWindow sends;
        // What an asker knew before this daemon did.
        ColdBound toldBound;
        Instant toldColdUntil;
        // Which contexts went there.
        BoundedMap<uint64_t, bool> contexts { mostContextsKnown };
        // When this daemon was first asked, or told, about the upstream.
        Instant since;
        Instant heardAt;
    };

    Account& account(UpstreamId, Instant now);
    static size_t believed(UpstreamForecast const&, Account const&, bool isFirstOwner, Instant now);
    void noteSends(UpstreamId, Account&, size_t sends, Instant now);
    static size_t partOf(OwnerRank, ColdBound const&);
    static void noteCold(Account&, ColdNotice const&, Instant now);
    static size_t sum(Account const&);

    Forecast m_forecast;
    std::map<UpstreamId, Account> m_accounts;
};

// How long a daemon's word about its requests in flight counts, and after what part of
// that it is said again, where they stay for so long.
Microseconds ledgerMemory(Microseconds hold);
Microseconds ledgerRepeat(Microseconds hold);

}

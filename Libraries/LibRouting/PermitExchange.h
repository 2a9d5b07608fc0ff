#pragma once

#include <LibBase/FleetPeer.h>
#include <LibBase/TokenBucket.h>
#include <LibRouting/InFlightLedger.h>
#include <LibRouting/LedgerMessage.h>
#include <LibRouting/SilenceWatch.h>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace Stagepost {

// Asks upstreams' owners before a request is sent, and answers for the upstreams that this
// daemon owns. Each upstream has one owner, a daemon of its hall that all agree on by
// rendezvous, and only the owner counts its requests in flight; so the count is exact
// while others are a second old, in which a whole fleet overruns an upstream. For the same
// reason it is the owner who keeps the rate of an upstream that is cold.
//
// An owner that does not answer costs a few milliseconds: then the next one in the order
// is asked, and after that the request goes without. Nothing here is needed to serve.
class LedgerExchange {
public:
    struct Bounds {
        // How long an owner's answer is waited for, by what answers take: a round trip
        // between regions is 16 ms, one between halls 1 ms.
        Microseconds shortestPatience { 5000 };
        Microseconds longestPatience { 25000 };
        // An owner that has not answered is not asked for that long.
        Microseconds suspicion { 5000000 };
        // Of one upstream, so many are asked before the request goes without.
        size_t mostOwners { 2 };
        // A request beyond its first ask pays for each from this: in a rush to all
        // upstreams every one of them is full until the mean is known to have risen.
        double furtherAsksPerSecond { 10 };
        double furtherAsksAtOnce { 40 };
        // After a daemon's start, and after each change of its hall's daemons, how long others
        // may still ask another one about the upstreams that it owns.
        Microseconds ownersSettle { 3000000 };
        // How often what is due is looked for.
        Microseconds repeatInterval { 500000 };
    };

    // An upstream to which a request may go.
    struct Candidate {
        UpstreamId upstream;
        HallId hall;
        // It is granted while the upstream holds fewer than these.
        size_t limit { 1 };
        std::optional<ColdNotice> cold {};
        // What it may hold although no other has room; none where that is not bounded.
        std::optional<size_t> most {};
    };

    // The context, where there is one, and the upstreams, in its order.
    struct Wish {
        std::optional<uint64_t> context;
        std::vector<Candidate> candidates;
    };

    struct Outcome {
        // Where it is to go; none where no owner has answered.
        std::optional<UpstreamId> upstream;
        // Whether the owner has room for it there, and not only less than the others hold.
        bool isGranted { false };
        size_t asks { 0 };
        // Upstreams that are to get nothing further by now.
        std::vector<UpstreamId> exhausted {};
        // Each that answered holds as much as it may: the request is to be turned away.
        bool isFull { false };
        // What the owner of the chosen one counted there, and what allowed one more.
        size_t counted { 0 };
        size_t limit { 0 };
        // The context is new to the chosen one, as far as its owner knows.
        bool isNewThere { false };
    };
    using Callback = std::function<void(Outcome const&)>;

    struct Hooks {
        std::function<void(VMId to, std::string bytes)> send;
        InFlightLedger::Forecast forecast;
        // An owner has not answered for so long, and is not asked for a while; may be empty.
        std::function<void(VMId owner, UpstreamId, Microseconds waited)> unanswered {};
    };

    LedgerExchange(FleetPeer self, Bounds bounds, Hooks hooks)
        : m_self(self)
        , m_bounds(bounds)
        , m_hooks(std::move(hooks))
        , m_ledger(m_hooks.forecast)
        , m_furtherAsks(bounds.furtherAsksAtOnce)
    {
    }

    // All other daemons that are registered, and who of all are relays: those tell others' loads
    // and proofs, which takes most of what a daemon may send, and own upstreams only where a
    // hall has nobody else.
    void setPeers(std::vector<FleetPeer>, std::vector<VMId> const& relays, Instant now);

    // Asks the candidates' owners, in their order, until one has room. What is granted or
    // chosen counts as in flight from then on. Calls back at once where all owners are this
    // daemon.
    void choose(std::vector<Candidate> candidates, Callback callback, Instant now) { choose({ {}, std::move(candidates) }, std::move(callback), now); }
    void choose(Wish, Callback, Instant now);
    // A request has gone there without the owner's word.
    void began(UpstreamId, HallId, Instant now);
    // A request that was chosen for, or began, is over, or was not sent after all.
    void ended(UpstreamId, Instant now);

    // Error: Malformed.
    Result<void> receive(VMId from, std::string_view bytes, Instant now);
    void tick(Instant now);
    // When an answer that is waited for is overdue.
    std::optional<Instant> nextTimeout() const;

    size_t unansweredAsks() const { return m_unansweredAsks; }
    // Sends to cold upstreams that this daemon, as their owner, did not allow.
    size_t exhaustedAsks() const { return m_exhaustedAsks; }
    InFlightLedger const& ledger() const { return m_ledger; }

private:
    // Requests in flight at one upstream.
    struct Own {
        size_t count { 0 };
        HallId hall;
        // Who was told last, and when.
        VMId toldTo;
        Instant toldAt;
    };
    struct Pending {
        std::optional<uint64_t> context;
        std::vector<Candidate> candidates;
        size_t index { 0 };
        // Of the candidate's owners, how many have been asked.
        size_t ownersAsked { 0 };
        VMId owner;
        Instant askedAt;
        Instant dueAt;
        size_t asks { 0 };
        // The one that holds least of those whose owners answered.
        std::optional<size_t> least;
        size_t leastCount { 0 };
        bool isNewAtLeast { false };
        // Whether that one has been asked once more, for what it may hold at most.
        bool isLastAsk { false };
        std::vector<UpstreamId> exhausted;
        Callback callback;
    };

    std::optional<VMId> ownerOf(UpstreamId, HallId, Instant now) const;
    OwnerStanding standingFor(UpstreamId, Instant now) const;
    size_t ownersBefore(UpstreamId) const;
    std::vector<std::pair<VMId, bool>> hallsOwners() const;
    LedgerVerdict judge(VMId from, LedgerAsk const&, Instant now);
    Microseconds patience() const;
    size_t ownAt(UpstreamId) const;
    size_t askedFor(UpstreamId) const;
    void ask(uint64_t number, Instant now);
    void takeAnswer(uint64_t number, LedgerVerdict const&, Instant now);
    void goOn(uint64_t number, Instant now);
    void conclude(uint64_t number, Instant now);
    void askForMost(uint64_t number, Candidate, Instant now);
    void finish(uint64_t number, Outcome const&);
    void noteTimeout(uint64_t number, Instant now);
    void takeLateAnswer(uint64_t number, VMId from, Instant now);
    Own& count(UpstreamId, HallId, VMId owner, Instant now);
    void report(UpstreamId, Own&, Instant now);

    FleetPeer m_self;
    Bounds m_bounds;
    Hooks m_hooks;
    InFlightLedger m_ledger;
    std::vector<FleetPeer> m_peers;
    std::set<VMId> m_relays;
    std::map<VMId, Instant> m_suspectedUntil;
    WaitEstimate m_roundTrip;
    std::map<uint64_t, Pending> m_pending;
    // Asks that were not answered in time, and may still be.
    struct Overdue {
        uint64_t number { 0 };
        VMId owner;
        Instant askedAt;
    };
    std::deque<Overdue> m_overdue;
    uint64_t m_lastNumber { 0 };
    std::map<UpstreamId, Own> m_own;
    TokenBucket m_furtherAsks;
    Instant m_repeatedAt;
    size_t m_unansweredAsks { 0 };
    size_t m_exhaustedAsks { 0 };
    // Who may own upstreams of this hall, and whether as a relay; and since when it is them.
    std::vector<std::pair<VMId, bool>> m_hallsOwners;
    std::optional<Instant> m_startedAt;
    Instant m_ownersSince;
};

}

#include <LibRouting/Routing.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace Stagepost;

namespace {

Instant const start { Seconds(1000) };
constexpr Microseconds step { 500 };
constexpr Microseconds tickInterval { 5000 };
constexpr Microseconds hold { 1000000 };
constexpr UpstreamId upstream { 77 };
constexpr UpstreamId other { 78 };
constexpr HallId north { 1 };

Instant at(double seconds)
{
    return start + Microseconds(static_cast<int64_t>(seconds * 1e6));
}

// Daemons whose messages take a step, but for those that are silent.
class Fleet {
public:
    explicit Fleet(size_t size, double loss = 0)
        : m_loss(loss)
    {
        m_peers.reserve(size);
        for (size_t number = 1; number <= size; ++number)
            m_peers.push_back({ VMId(number), number % 2 ? north : HallId(2) });
        for (size_t number = 1; number <= size; ++number)
            start(number);
    }

    void start(size_t number)
    {
        LedgerExchange::Hooks hooks;
        hooks.send = [this, number](VMId to, std::string const& bytes) { send(number, to, bytes); };
        hooks.forecast = [this](UpstreamId) { return UpstreamForecast { forecast, hold, coldBound, isCold, hasRoomForCaution }; };
        auto& daemon = m_daemons[VMId(number)];
        daemon = std::make_unique<LedgerExchange>(m_peers[number - 1], LedgerExchange::Bounds {}, hooks);
        daemon->setPeers(m_peers, {}, now);
    }

    // Another process takes the daemon's place, or the daemon is gone and known to be.
    void remove(size_t number)
    {
        std::erase_if(m_peers, [number](auto const& peer) { return peer.id == VMId(number); });
        m_daemons.erase(VMId(number));
        for (auto const& [id, each] : m_daemons)
            each->setPeers(m_peers, {}, now);
    }

    // That daemon alone does not know the other one any more.
    void forget(size_t number, size_t forgotten)
    {
        auto peers = m_peers;
        std::erase_if(peers, [forgotten](auto const& peer) { return peer.id == VMId(forgotten); });
        daemon(number).setPeers(peers, {}, now);
    }

    size_t size() const { return m_peers.size(); }

    void makeRelays(std::set<size_t> const& relays)
    {
        run(Milliseconds(5));
        std::vector<VMId> ids;
        ids.reserve(relays.size());
        for (auto const relay : relays)
            ids.emplace_back(relay);
        for (auto const& [id, each] : m_daemons)
            each->setPeers(m_peers, ids, now);
    }

    LedgerExchange& daemon(size_t number) { return *m_daemons.at(VMId(number)); }

    // What became of a request of that daemon, and how long it took to say so.
    struct Answered {
        LedgerExchange::Outcome outcome;
        Microseconds after { 0 };
    };
    Answered choose(size_t number, size_t limit, std::vector<UpstreamId> const& candidates = { upstream })
    {
        std::vector<LedgerExchange::Candidate> list;
        list.reserve(candidates.size());
        for (auto const id : candidates)
            list.push_back({ id, north, limit, {}, most });
        std::optional<Answered> answered;
        auto const asked = now;
        daemon(number).choose(
            list, [&](auto const& outcome) { answered = Answered { outcome, now - asked }; }, now);
        while (!answered)
            run(step);
        return *answered;
    }

    void run(Microseconds duration)
    {
        for (auto const until = now + duration; now < until;) {
            now += step;
            deliver();
            if (now.time_since_epoch() % tickInterval != Microseconds(0))
                continue;
            for (auto const& [id, each] : m_daemons)
                each->tick(now);
        }
    }

    // The one that counts what is in flight there, if any does.
    size_t ownerOf(UpstreamId id) const
    {
        for (auto const& [daemon, each] : m_daemons) {
            if (each->ledger().count(id))
                return daemon.value();
        }
        return 0;
    }

    Instant now { at(0) };
    std::set<size_t> silent;
    // Whose messages take longer than a step.
    std::map<size_t, Microseconds> slow;
    std::optional<size_t> most;
    double forecast { 0 };
    ColdBound coldBound;
    bool isCold { false };
    bool hasRoomForCaution { false };

private:
    struct Message {
        size_t from { 0 };
        VMId to;
        std::string bytes;
        Instant dueAt;
    };

    void send(size_t from, VMId to, std::string bytes)
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        if (uniform(m_random) >= m_loss)
            m_messages.push_back({ from, to, std::move(bytes), now + (slow.contains(from) ? slow.at(from) : Microseconds(0)) });
    }

    void deliver()
    {
        auto const messages = std::exchange(m_messages, {});
        for (auto const& message : messages) {
            if (message.dueAt > now) {
                m_messages.push_back(message);
                continue;
            }
            bool const isDelivered = !silent.contains(message.from) && !silent.contains(message.to.value()) && m_daemons.contains(message.to);
            if (isDelivered)
                BOOST_REQUIRE(m_daemons.at(message.to)->receive(VMId(message.from), message.bytes, now));
        }
    }

    double m_loss;
    std::mt19937_64 m_random { 1 };
    std::vector<FleetPeer> m_peers;
    std::map<VMId, std::unique_ptr<LedgerExchange>> m_daemons;
    std::vector<Message> m_messages;
};

}

BOOST_AUTO_TEST_SUITE(LedgerTests)

BOOST_AUTO_TEST_CASE(MessagesComeBackAsTheyWereWritten)
{
    auto const ask = decodeLedgerMessage(encodeLedgerMessage(LedgerAsk { 7, upstream, 2, 9 }));
    BOOST_REQUIRE(ask);
    BOOST_TEST(std::get<LedgerAsk>(*ask).number == 7u);
    BOOST_TEST((std::get<LedgerAsk>(*ask).upstream == upstream));
    BOOST_TEST(std::get<LedgerAsk>(*ask).ownInFlight == 2u);
    BOOST_TEST(std::get<LedgerAsk>(*ask).limit == 9u);
    auto const answer = decodeLedgerMessage(encodeLedgerMessage(LedgerAnswer { 7, true, 4 }));
    BOOST_REQUIRE(answer);
    BOOST_TEST(std::get<LedgerAnswer>(*answer).isGranted);
    BOOST_TEST(std::get<LedgerAnswer>(*answer).count == 4u);
    auto const placed = decodeLedgerMessage(encodeLedgerMessage(LedgerAsk { 7, upstream, 2, 9, {}, 123 }));
    BOOST_REQUIRE(placed);
    BOOST_TEST((std::get<LedgerAsk>(*placed).context == 123u && !std::get<LedgerAsk>(*placed).cold));
    auto const isNew = decodeLedgerMessage(encodeLedgerMessage(LedgerAnswer { 7, true, 4, false, true }));
    BOOST_REQUIRE(isNew);
    BOOST_TEST((std::get<LedgerAnswer>(*isNew).isNewThere && !std::get<LedgerAnswer>(*isNew).isExhausted));
    auto const report = decodeLedgerMessage(encodeLedgerMessage(LedgerReport { upstream, 3 }));
    BOOST_REQUIRE(report);
    BOOST_TEST(std::get<LedgerReport>(*report).ownInFlight == 3u);
    BOOST_TEST(!decodeLedgerMessage("nothing of the kind"));
    BOOST_TEST(!decodeLedgerMessage(encodeLedgerMessage(LedgerAsk {}) + "x"));
}

BOOST_AUTO_TEST_CASE(AnOwnerSaysWhichContextsAreNewToItsUpstream)
{
    Fleet fleet(6);
    auto const choose = [&](size_t daemon, uint64_t context) {
        bool isNew = false;
        fleet.daemon(daemon).choose(
            { context, { { upstream, north, 9 } } }, [&](auto const& outcome) { isNew = outcome.isNewThere; }, fleet.now);
        fleet.run(Milliseconds(20));
        return isNew;
    };
    BOOST_TEST(choose(2, 5));
    BOOST_TEST(!choose(4, 5));
    BOOST_TEST(choose(4, 6));
}

BOOST_AUTO_TEST_CASE(AnUpstreamTakesAsManyAsTheLimitWhoeverAsks)
{
    Fleet fleet(20);
    for (size_t daemon = 1; daemon <= 6; ++daemon)
        BOOST_TEST(fleet.choose(daemon, 6).outcome.isGranted);
    BOOST_TEST(!fleet.choose(7, 6).outcome.isGranted);
    // The owner, too, is held to it.
    BOOST_TEST(!fleet.choose(fleet.ownerOf(upstream), 6).outcome.isGranted);
}

// Else some daemons would ask another one for seconds, and neither would have the whole count.
BOOST_AUTO_TEST_CASE(AnOwnerWhoseAnswerComesLateIsAskedAgain)
{
    Fleet fleet(6);
    fleet.run(Seconds(4));
    fleet.choose(2, 9);
    auto const owner = fleet.ownerOf(upstream);
    fleet.daemon(2).ended(upstream, fleet.now);
    fleet.run(Milliseconds(50));
    // It answers when its patience is over.
    fleet.slow[owner] = Milliseconds(40);
    BOOST_TEST(fleet.choose(2, 9).outcome.asks == 2u);
    fleet.run(Milliseconds(100));
    fleet.slow.clear();
    BOOST_TEST(fleet.choose(2, 9).outcome.asks == 1u);
    fleet.run(Milliseconds(50));
    BOOST_TEST(fleet.daemon(owner).ledger().count(upstream) >= 1u);
}

// What came to the first owner it does not know, so it goes by what all have told it as well.
BOOST_AUTO_TEST_CASE(WhoIsAskedInAnOwnersPlaceGrantsNoMoreThanTheRestLeaves)
{
    Fleet fleet(6);
    fleet.run(Seconds(4));
    fleet.choose(2, 9);
    fleet.silent.insert(fleet.ownerOf(upstream));
    fleet.forecast = 6;
    // Long after its account began.
    fleet.choose(2, 9);
    fleet.run(Seconds(4));
    BOOST_TEST(!fleet.choose(2, 6).outcome.isGranted);
    BOOST_TEST(fleet.choose(2, 8).outcome.isGranted);
}

// Where all may hold only so many, what is left is granted by its owner and not taken.
BOOST_AUTO_TEST_CASE(NothingGoesBeyondWhatUpstreamsMayHoldAtMost)
{
    Fleet fleet(6);
    fleet.run(Seconds(4));
    fleet.most = 3;
    size_t granted = 0;
    for (size_t number = 0; number < 12; ++number) {
        auto const outcome = fleet.choose(1 + number % 6, 2, { upstream, other }).outcome;
        granted += outcome.isGranted ? 1 : 0;
        BOOST_TEST(outcome.isFull == !outcome.upstream.has_value());
    }
    BOOST_TEST(granted == 6u);
}

BOOST_AUTO_TEST_CASE(RelaysOwnOnlyWhereThereIsNobodyElse)
{
    Fleet fleet(6);
    fleet.choose(2, 9);
    auto const owner = fleet.ownerOf(upstream);
    fleet.daemon(2).ended(upstream, fleet.now);
    fleet.makeRelays({ owner });
    fleet.choose(2, 9);
    auto const next = fleet.ownerOf(upstream);
    BOOST_TEST(next != owner);
    fleet.daemon(2).ended(upstream, fleet.now);
    fleet.makeRelays({ 1, 3, 5 });
    fleet.choose(2, 9);
    BOOST_TEST(fleet.ownerOf(upstream) == owner);
}

BOOST_AUTO_TEST_CASE(WhatHasEndedMakesRoom)
{
    Fleet fleet(20);
    BOOST_TEST(fleet.choose(1, 1).outcome.isGranted);
    BOOST_TEST(!fleet.choose(2, 1, { upstream }).outcome.isGranted);
    fleet.daemon(2).ended(upstream, fleet.now);
    fleet.daemon(1).ended(upstream, fleet.now);
    fleet.run(Milliseconds(5));
    BOOST_TEST(fleet.choose(3, 1).outcome.isGranted);
}

// Of two that ask at once, one gets the last place.
BOOST_AUTO_TEST_CASE(TheLastPlaceIsGivenOnce)
{
    Fleet fleet(20);
    size_t granted = 0;
    for (size_t daemon : { 1, 2, 1, 3 })
        fleet.daemon(daemon).choose(
            { { upstream, north, 2 } }, [&](auto const& outcome) { granted += outcome.isGranted ? 1 : 0; }, fleet.now);
    fleet.run(Milliseconds(5));
    BOOST_TEST(granted == 2u);
}

BOOST_AUTO_TEST_CASE(TheNextOfTheOrderTakesWhatTheFirstHasNoRoomFor)
{
    Fleet fleet(20);
    BOOST_TEST(fleet.choose(1, 1).outcome.isGranted);
    auto const next = fleet.choose(2, 1, { upstream, other });
    BOOST_TEST((next.outcome.upstream == other));
    BOOST_TEST(next.outcome.isGranted);
    BOOST_TEST(next.outcome.asks == 2u);
}

BOOST_AUTO_TEST_CASE(WhereNoneHasRoomTheLeastLoadedTakesIt)
{
    Fleet fleet(20);
    for (int request = 0; request < 3; ++request)
        fleet.choose(1, 9);
    fleet.choose(1, 9, { other });
    auto const chosen = fleet.choose(2, 1, { upstream, other });
    BOOST_TEST((chosen.outcome.upstream == other));
    BOOST_TEST(!chosen.outcome.isGranted);
    fleet.run(Milliseconds(5));
    // It counts all the same.
    BOOST_TEST(!fleet.choose(3, 2, { other }).outcome.isGranted);
}

// A request waits for an owner that is gone for some 25 ms at the most, and for the one
// after it no longer than that.
BOOST_AUTO_TEST_CASE(AnOwnerThatIsGoneCostsAFewMilliseconds)
{
    Fleet fleet(20);
    fleet.choose(2, 9);
    auto const owner = fleet.ownerOf(upstream);
    fleet.silent.insert(owner);
    auto const asker = owner == 4 ? size_t { 6 } : size_t { 4 };
    auto const first = fleet.choose(asker, 9);
    BOOST_TEST(first.outcome.isGranted);
    BOOST_TEST((first.after <= Milliseconds(30)));
    // From then on the next owner is asked at once.
    auto const second = fleet.choose(asker, 9);
    BOOST_TEST(second.outcome.isGranted);
    BOOST_TEST((second.after <= Milliseconds(2)));
}

BOOST_AUTO_TEST_CASE(WhereNoOwnerAnswersTheRequestGoesWithout)
{
    Fleet fleet(8);
    fleet.silent = { 1, 3, 5, 7 };
    auto const answered = fleet.choose(2, 9);
    BOOST_TEST(!answered.outcome.upstream.has_value());
    BOOST_TEST((answered.after <= Milliseconds(60)));
}

// An owner that has just become one knows of none that are in flight already.
BOOST_AUTO_TEST_CASE(ANewOwnerGoesByTheForecastUntilItKnows)
{
    Fleet fleet(20);
    fleet.forecast = 8;
    BOOST_TEST(!fleet.choose(2, 8).outcome.isGranted);
    fleet.daemon(2).ended(upstream, fleet.now);
    fleet.run(Milliseconds(2500));
    BOOST_TEST(fleet.choose(2, 8).outcome.isGranted);
}

BOOST_AUTO_TEST_CASE(WhatADaemonThatDiedHadInFlightIsForgotten)
{
    Fleet fleet(20);
    for (size_t request = 0; request < 4; ++request)
        fleet.choose(2, 9);
    auto const owner = fleet.ownerOf(upstream);
    fleet.silent.insert(2);
    fleet.run(Seconds(3));
    BOOST_TEST(fleet.daemon(owner).ledger().count(upstream) == 4u);
    fleet.run(Seconds(5));
    BOOST_TEST(fleet.daemon(owner).ledger().count(upstream) == 0u);
}

// What runs for long is said again before it is forgotten.
BOOST_AUTO_TEST_CASE(WhatRunsForLongStaysCounted)
{
    Fleet fleet(20);
    fleet.choose(2, 9);
    auto const owner = fleet.ownerOf(upstream);
    fleet.run(Seconds(40));
    BOOST_TEST(fleet.daemon(owner).ledger().count(upstream) == 1u);
}

// Each message says all that its sender has there, so one that was lost is made good.
BOOST_AUTO_TEST_CASE(LostMessagesLeaveNothingBehind)
{
    Fleet fleet(20, 0.1);
    std::vector<std::pair<size_t, UpstreamId>> running;
    for (size_t request = 0; request < 400; ++request) {
        auto const daemon = 1 + request % 20;
        auto const chosen = fleet.choose(daemon, 30).outcome.upstream;
        if (chosen)
            running.emplace_back(daemon, *chosen);
        if (running.size() < 10)
            continue;
        fleet.daemon(running.front().first).ended(running.front().second, fleet.now);
        running.erase(running.begin());
    }
    for (auto const& [daemon, id] : running)
        fleet.daemon(daemon).ended(id, fleet.now);
    fleet.run(Seconds(8));
    BOOST_TEST(fleet.ownerOf(upstream) == 0u);
}

namespace {

// What the users' sheet says of one deployment.
ColdBound const someBound { 8.9, 1.5, 5, Seconds(3) };
// How long a request takes at the most from its grant to its upstream.
constexpr Microseconds longestWay { 250000 };

// Sends that a cold upstream saw, with the way that each took.
class ColdUpstream {
public:
    // These daemons ask, each once in so long, and what is granted arrives.
    void ask(Fleet& fleet, std::vector<size_t> const& daemons, Microseconds duration, std::vector<UpstreamId> const& upstreams = { upstream }, Microseconds pause = Milliseconds(25))
    {
        std::vector<LedgerExchange::Candidate> candidates;
        candidates.reserve(upstreams.size());
        for (auto const id : upstreams)
            candidates.push_back({ id, north, 1000 });
        for (auto const until = fleet.now + duration; fleet.now < until;) {
            for (auto const daemon : daemons) {
                fleet.daemon(daemon).choose(
                    candidates, [&](auto const& outcome) {
                        if (!outcome.upstream)
                            return;
                        fleet.daemon(daemon).ended(*outcome.upstream, fleet.now);
                        if (*outcome.upstream != upstream)
                            return;
                        m_arrivals.push_back(fleet.now + Microseconds(static_cast<int64_t>(m_random() % static_cast<uint64_t>(longestWay.count()))));
                    },
                    fleet.now);
            }
            fleet.run(pause);
        }
    }

    size_t mostInASecond()
    {
        std::sort(m_arrivals.begin(), m_arrivals.end());
        size_t most = 0;
        for (size_t first = 0, last = 0; last < m_arrivals.size(); ++last) {
            while (m_arrivals[last] - m_arrivals[first] >= Seconds(1))
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    size_t arrivals() const { return m_arrivals.size(); }

private:
    std::mt19937_64 m_random { 3 };
    std::vector<Instant> m_arrivals;
};

std::vector<size_t> numbers(size_t first, size_t last)
{
    std::vector<size_t> result;
    for (size_t number = first; number <= last; ++number)
        result.push_back(number);
    return result;
}

Fleet fleetBeforeAColdUpstream(size_t size, double loss = 0)
{
    Fleet fleet(size, loss);
    fleet.coldBound = someBound;
    fleet.isCold = true;
    return fleet;
}

}

BOOST_AUTO_TEST_CASE(WhatDaemonsAllowAColdUpstreamFitsIntoItsBound)
{
    BOOST_TEST(someBound.most() == 18u);
    BOOST_TEST(someBound.forOwner() + 3 * someBound.forNextOwner() <= someBound.most());
    BOOST_TEST(someBound.forNextOwner() > 0u);
    for (double perSecond : { 0.2, 1.0, 3.7, 50.0 }) {
        for (double slack : { 0.0, 1.0, 40.0 }) {
            ColdBound const bound { perSecond, 1, slack, Seconds(1) };
            BOOST_TEST(bound.forOwner() + 3 * bound.forNextOwner() <= bound.most());
            BOOST_TEST(bound.forCaution() <= bound.most());
        }
    }
}

// Seventy daemons that all want a cold upstream send it what it can handle, in any second.
BOOST_AUTO_TEST_CASE(AColdUpstreamGetsWhatItCanHandleWhoeverAsks)
{
    auto fleet = fleetBeforeAColdUpstream(70);
    fleet.run(Seconds(4));
    ColdUpstream cold;
    cold.ask(fleet, numbers(1, 70), Seconds(8));
    BOOST_TEST_MESSAGE("most in a second " << cold.mostInASecond() << " of " << someBound.most() << ", " << cold.arrivals() << " in eight seconds");
    BOOST_TEST(cold.mostInASecond() <= someBound.most());
    BOOST_TEST(static_cast<double>(cold.arrivals()) >= 8 * 0.9 * someBound.perSecond);
}

// What was granted before it became cold counts as well.
BOOST_AUTO_TEST_CASE(AnUpstreamThatBecomesColdAmidARushKeepsItsBound)
{
    auto fleet = fleetBeforeAColdUpstream(70);
    fleet.isCold = false;
    fleet.hasRoomForCaution = true;
    fleet.run(Seconds(4));
    ColdUpstream cold;
    // Fewer than the three upstreams together can take, all of them for the first of them.
    cold.ask(fleet, numbers(1, 8), Seconds(3), { upstream, other, UpstreamId(79) }, Milliseconds(250));
    fleet.isCold = true;
    cold.ask(fleet, numbers(1, 70), Seconds(3));
    BOOST_TEST(cold.mostInASecond() <= someBound.most());
}

BOOST_AUTO_TEST_CASE(AColdUpstreamKeepsItsBoundWhereOwnersAreSilentAndChange)
{
    for (size_t lossPercent : { 0, 5, 20 }) {
        auto fleet = fleetBeforeAColdUpstream(40, static_cast<double>(lossPercent) / 100);
        fleet.run(Seconds(4));
        fleet.choose(2, 1000);
        auto const owner = fleet.ownerOf(upstream);
        fleet.daemon(2).ended(upstream, fleet.now);
        auto others = numbers(1, 40);
        std::erase(others, owner);
        ColdUpstream cold;
        cold.ask(fleet, others, Seconds(2));
        fleet.silent.insert(owner);
        cold.ask(fleet, others, Seconds(2));
        fleet.remove(owner);
        cold.ask(fleet, others, Seconds(6));
        BOOST_TEST_MESSAGE(lossPercent << " in 100 lost: most in a second " << cold.mostInASecond() << ", " << cold.arrivals() << " in ten seconds");
        BOOST_TEST(cold.mostInASecond() <= someBound.most());
        BOOST_TEST(cold.arrivals() > 20u);
    }
}

// Half of the daemons do not know the owner any more, and ask another one.
BOOST_AUTO_TEST_CASE(AColdUpstreamKeepsItsBoundWhileTwoTakeThemselvesForItsOwner)
{
    auto fleet = fleetBeforeAColdUpstream(40);
    fleet.run(Seconds(4));
    fleet.choose(2, 1000);
    auto const owner = fleet.ownerOf(upstream);
    fleet.daemon(2).ended(upstream, fleet.now);
    for (size_t number = 1; number <= 40; number += 2) {
        if (number != owner)
            fleet.forget(number, owner);
    }
    auto others = numbers(1, 40);
    std::erase(others, owner);
    ColdUpstream cold;
    // As long as daemons' views may differ.
    cold.ask(fleet, others, Milliseconds(2900));
    BOOST_TEST(cold.mostInASecond() <= someBound.most());
}

// One that is cold and has its part takes nothing for being the least loaded.
BOOST_AUTO_TEST_CASE(AnExhaustedUpstreamIsNotTheLeastLoaded)
{
    auto fleet = fleetBeforeAColdUpstream(20);
    fleet.run(Seconds(4));
    size_t granted = 0;
    while (granted < 100 && fleet.choose(2, 1000).outcome.isGranted)
        ++granted;
    BOOST_TEST(granted == someBound.forOwner());
    BOOST_TEST(!fleet.choose(2, 1000).outcome.upstream.has_value());
}

// The owner has not heard that the upstream is cold, or of the upstream at all.
BOOST_AUTO_TEST_CASE(AnOwnerGoesByWhatAnAskerKnows)
{
    Fleet fleet(20);
    fleet.run(Seconds(4));
    ColdNotice const notice { someBound, Seconds(2) };
    size_t granted = 0;
    for (size_t ask = 0; ask < 40; ++ask) {
        fleet.daemon(1 + ask % 20).choose(
            { { upstream, north, 1000, notice } }, [&](auto const& outcome) { granted += outcome.upstream ? 1 : 0; }, fleet.now);
        fleet.run(Milliseconds(5));
    }
    BOOST_TEST(granted == someBound.forOwner());
    fleet.run(Seconds(3));
    BOOST_TEST(fleet.choose(3, 1000).outcome.isGranted);
}

BOOST_AUTO_TEST_CASE(AnAskTellsHowColdAnUpstreamIs)
{
    LedgerAsk const ask { 7, upstream, 2, 9, ColdNotice { someBound, Milliseconds(1500) } };
    auto const read = decodeLedgerMessage(encodeLedgerMessage(ask));
    BOOST_REQUIRE(read);
    auto const& cold = std::get<LedgerAsk>(*read).cold;
    BOOST_REQUIRE(cold.has_value());
    BOOST_TEST(cold->bound.most() == someBound.most());
    BOOST_TEST(cold->bound.forOwner() == someBound.forOwner());
    BOOST_TEST((cold->left == Milliseconds(1500)));
}

BOOST_AUTO_TEST_CASE(AnAnswerTellsThatAnUpstreamIsExhausted)
{
    auto const answer = decodeLedgerMessage(encodeLedgerMessage(LedgerAnswer { 7, false, 4, true }));
    BOOST_REQUIRE(answer);
    BOOST_TEST(std::get<LedgerAnswer>(*answer).isExhausted);
    BOOST_TEST(!std::get<LedgerAnswer>(*decodeLedgerMessage(encodeLedgerMessage(LedgerAnswer { 7, false, 4 }))).isExhausted);
}

// 330 daemons with 14.5 requests a second each, which is the aim's size: the bytes that
// all of them send for it, with the seal, UDP and IP.
BOOST_AUTO_TEST_CASE(ARequestCostsAFewHundredBytes)
{
    constexpr double headerBytes = 53;
    constexpr double requestsPerSecond = 14.5;
    constexpr double allowedBytesPerSecond = 3000;
    auto const ask = encodeLedgerMessage(LedgerAsk { 1u << 20, UpstreamId::fromName("i-1"), 3, 30 });
    auto const answer = encodeLedgerMessage(LedgerAnswer { 1u << 20, true, 20 });
    auto const report = encodeLedgerMessage(LedgerReport { UpstreamId::fromName("i-1"), 3 });
    auto const bytes = 3 * headerBytes + static_cast<double>(ask.size() + answer.size() + report.size());
    BOOST_TEST_MESSAGE("bytes a request: " << bytes << ", bytes a second of a daemon: " << bytes * requestsPerSecond);
    BOOST_TEST(bytes * requestsPerSecond < allowedBytesPerSecond);
}

BOOST_AUTO_TEST_SUITE_END()

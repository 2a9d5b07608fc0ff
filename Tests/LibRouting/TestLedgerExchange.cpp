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
        hooks.forecast = [this](UpstreamId) { return UpstreamForecast { forecast, hold }; };
        auto& daemon = m_daemons[VMId(number)];
        daemon = std::make_unique<LedgerExchange>(m_peers[number - 1], LedgerExchange::Bounds {}, hooks);
        daemon->setPeers(m_peers, {});
    }

    void makeRelays(std::set<size_t> const& relays)
    {
        run(Milliseconds(5));
        std::vector<VMId> ids;
        ids.reserve(relays.size());
        for (auto const relay : relays)
            ids.emplace_back(relay);
        for (auto const& [id, each] : m_daemons)
            each->setPeers(m_peers, ids);
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
            list.push_back({ id, north, limit });
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
    double forecast { 0 };

private:
    struct Message {
        size_t from { 0 };
        VMId to;
        std::string bytes;
    };

    void send(size_t from, VMId to, std::string bytes)
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        if (uniform(m_random) >= m_loss)
            m_messages.push_back({ from, to, std::move(bytes) });
    }

    void deliver()
    {
        auto const messages = std::exchange(m_messages, {});
        for (auto const& message : messages) {
            if (!silent.contains(message.from) && !silent.contains(message.to.value()))
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
    auto const report = decodeLedgerMessage(encodeLedgerMessage(LedgerReport { upstream, 3 }));
    BOOST_REQUIRE(report);
    BOOST_TEST(std::get<LedgerReport>(*report).ownInFlight == 3u);
    BOOST_TEST(!decodeLedgerMessage("nothing of the kind"));
    BOOST_TEST(!decodeLedgerMessage(encodeLedgerMessage(LedgerAsk {}) + "x"));
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

#include <LibRouting/DetourExchange.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <random>
#include <set>

using namespace Stagepost;

namespace {

// UDP and IP headers, and what authenticates a datagram.
constexpr size_t datagramOverhead = 28 + 25;
constexpr Milliseconds step { 10 };
constexpr Milliseconds delay { 1 };

// A fleet of daemons that exchange datagrams, some of which have lost their links to the upstreams.
class DetourFleet {
public:
    DetourFleet(size_t count, unsigned seed)
        : m_random(seed)
    {
        std::vector<FleetPeer> peers;
        for (size_t number = 0; number < count; ++number)
            peers.push_back({ VMId(number + 1), HallId(number % 6) });
        for (auto const& peer : peers) {
            auto& member = *m_members.emplace_back(std::make_unique<Member>());
            DetourExchange::Hooks hooks;
            hooks.send = [this, from = peer.id](VMId to, std::string bytes) { enqueue(from, to, std::move(bytes)); };
            hooks.isAvailable = [&member] { return member.hasLinks; };
            hooks.load = [&member] { return member.load; };
            hooks.random = [this] { return m_random(); };
            member.exchange = std::make_unique<DetourExchange>(peer, DetourExchange::Bounds {}, std::move(hooks));
            member.exchange->setPeers(peers);
        }
    }

    struct Member {
        std::unique_ptr<DetourExchange> exchange;
        bool hasLinks { true };
        size_t load { 0 };
        size_t bytesSent { 0 };
    };

    Member& member(size_t number) { return *m_members[number]; }
    size_t size() const { return m_members.size(); }
    Instant now() const { return m_now; }
    std::mt19937_64& random() { return m_random; }

    void cut(size_t number)
    {
        member(number).hasLinks = false;
        member(number).exchange->setSearching(true, m_now);
    }

    void heal(size_t number)
    {
        member(number).hasLinks = true;
        member(number).exchange->setSearching(false, m_now);
    }

    void run(Milliseconds duration)
    {
        for (auto const end = m_now + duration; m_now < end;) {
            m_now += step;
            // Queries and their answers arrive within a step.
            deliver();
            deliver();
            for (auto const& member : m_members)
                member->exchange->tick(m_now);
        }
    }

    std::optional<VMId> choose(size_t number, std::vector<VMId> const& excluded = {})
    {
        std::optional<VMId> result;
        member(number).exchange->choose(
            excluded, [&](std::optional<VMId> chosen) { result = chosen; }, m_now);
        return result;
    }

private:
    struct Datagram {
        VMId from;
        VMId to;
        std::string bytes;
    };

    void enqueue(VMId from, VMId to, std::string bytes)
    {
        member(from.value() - 1).bytesSent += bytes.size() + datagramOverhead;
        m_datagrams.push_back({ from, to, std::move(bytes) });
    }

    void deliver()
    {
        for (auto const& datagram : std::exchange(m_datagrams, {}))
            BOOST_REQUIRE(member(datagram.to.value() - 1).exchange->receive(datagram.from, datagram.bytes, m_now + delay));
    }

    std::mt19937_64 m_random;
    Instant m_now { Seconds(1000) };
    std::vector<std::unique_ptr<Member>> m_members;
    std::deque<Datagram> m_datagrams;
};

}

BOOST_AUTO_TEST_SUITE(DetourExchangeTests)

BOOST_AUTO_TEST_CASE(NothingIsSentWhileLinksWork)
{
    DetourFleet fleet(12, 1);
    fleet.run(Milliseconds(5000));
    for (size_t number = 0; number < fleet.size(); ++number)
        BOOST_TEST(fleet.member(number).bytesSent == 0u);
}

// Guards against requests to a daemon that is not available any more: its answer to an earlier process of this daemon, which
// was under way for long, counts as heard just now.
BOOST_AUTO_TEST_CASE(AResponseToAnEarlierProcessIsNotTakenForOneToThisProcess)
{
    std::vector<FleetPeer> const peers { { VMId(1), HallId(1) }, { VMId(2), HallId(1) } };
    std::mt19937_64 random { 1 };
    auto const start = [&](FleetPeer const& peer, std::vector<std::string>& sent) {
        DetourExchange::Hooks hooks;
        hooks.send = [&sent](VMId, std::string const& bytes) { sent.push_back(bytes); };
        hooks.isAvailable = [] { return true; };
        hooks.load = [] { return size_t { 0 }; };
        hooks.random = [&random] { return random(); };
        auto exchange = std::make_unique<DetourExchange>(peer, DetourExchange::Bounds {}, std::move(hooks));
        exchange->setPeers(peers);
        return exchange;
    };
    std::vector<std::string> queries;
    std::vector<std::string> responses;
    Instant const now { Seconds(1000) };
    auto const other = start(peers[1], responses);
    auto process = start(peers[0], queries);
    process->setSearching(true, now);
    BOOST_REQUIRE(other->receive(VMId(1), queries.back(), now));
    process = start(peers[0], queries);
    process->setSearching(true, now);
    BOOST_REQUIRE(process->receive(VMId(2), responses.back(), now));
    BOOST_TEST(process->availableCount(now) == 0u);
    BOOST_REQUIRE(other->receive(VMId(1), queries.back(), now));
    BOOST_REQUIRE(process->receive(VMId(2), responses.back(), now));
    BOOST_TEST(process->availableCount(now) == 1u);
}

BOOST_AUTO_TEST_CASE(ADaemonWithoutLinksIsNeverChosen)
{
    DetourFleet fleet(12, 2);
    for (size_t number = 0; number < 4; ++number)
        fleet.cut(number);
    fleet.run(Milliseconds(300));
    for (size_t attempt = 0; attempt < 500; ++attempt) {
        auto const chosen = fleet.choose(attempt % 4);
        BOOST_REQUIRE(chosen);
        BOOST_TEST(chosen->value() > 4u);
        if (attempt % 10 == 0)
            fleet.run(step);
    }
}

// With the size of the whole fleet, and a single daemon left.
BOOST_AUTO_TEST_CASE(OneRemainingDaemonIsKnownToAllWithinASecond)
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        DetourFleet fleet(330, seed);
        for (size_t number = 1; number < fleet.size(); ++number)
            fleet.cut(number);
        fleet.run(Milliseconds(700));
        size_t unknowing = 0;
        for (size_t number = 1; number < fleet.size(); ++number)
            unknowing += fleet.choose(number) ? 0 : 1;
        BOOST_TEST(unknowing == 0u);
    }
}

// The users' limit for control, although it only has to hold in ordinary operation.
BOOST_AUTO_TEST_CASE(ACutHallSendsLittle)
{
    DetourFleet fleet(330, 3);
    for (size_t number = 0; number < fleet.size(); number += 6)
        fleet.cut(number);
    fleet.run(Milliseconds(10000));
    size_t most = 0;
    for (size_t number = 0; number < fleet.size(); ++number)
        most = std::max(most, fleet.member(number).bytesSent);
    BOOST_TEST_MESSAGE("most bytes sent by a daemon in 10 s: " << most);
    BOOST_TEST(most <= 10u * 9 * 1024);
}

BOOST_AUTO_TEST_CASE(RequestsSpreadOverTheDaemonsInReach)
{
    DetourFleet fleet(60, 4);
    for (size_t number = 0; number < 30; ++number)
        fleet.cut(number);
    fleet.run(Milliseconds(300));
    std::map<VMId, size_t> counts;
    size_t constexpr requests = 3000;
    for (size_t request = 0; request < requests; ++request) {
        auto const number = request % 30;
        auto const chosen = fleet.choose(number);
        BOOST_REQUIRE(chosen);
        ++counts[*chosen];
        fleet.member(number).exchange->started(*chosen);
        ++fleet.member(chosen->value() - 1).load;
        // Each lasts for a hundred requests.
        if (request % 10 == 0)
            fleet.run(step);
    }
    auto const most = std::max_element(counts.begin(), counts.end(), [](auto const& one, auto const& other) { return one.second < other.second; })->second;
    BOOST_TEST_MESSAGE("most requests at one of " << counts.size() << " daemons: " << most << ", mean " << requests / 30);
    BOOST_TEST(counts.size() == 30u);
    BOOST_TEST(most <= 2 * requests / 30);
}

BOOST_AUTO_TEST_CASE(ARequestWaitsOnlyWhileTheSearchIsNew)
{
    DetourFleet fleet(3, 5);
    for (size_t number = 0; number < 3; ++number)
        fleet.cut(number);
    bool isAnswered = false;
    fleet.member(0).exchange->choose(
        {}, [&](std::optional<VMId> chosen) {
            isAnswered = true;
            BOOST_TEST(!chosen);
        },
        fleet.now());
    BOOST_TEST(!isAnswered);
    fleet.run(Milliseconds(320));
    BOOST_TEST(isAnswered);
    // Nobody is in reach, which is known by now.
    isAnswered = false;
    fleet.member(0).exchange->choose(
        {}, [&](std::optional<VMId>) { isAnswered = true; }, fleet.now());
    BOOST_TEST(isAnswered);
}

BOOST_AUTO_TEST_CASE(AWaitingRequestGetsTheFirstDaemonThatAnswers)
{
    DetourFleet fleet(4, 6);
    fleet.cut(0);
    std::optional<VMId> chosen;
    fleet.member(0).exchange->choose(
        {}, [&](std::optional<VMId> id) { chosen = id; }, fleet.now());
    fleet.run(step);
    BOOST_TEST(chosen.has_value());
}

BOOST_AUTO_TEST_CASE(ADaemonThatHasLostItsLinksLaterIsForgotten)
{
    DetourFleet fleet(3, 7);
    fleet.cut(0);
    fleet.run(Milliseconds(200));
    fleet.cut(1);
    fleet.run(Milliseconds(600));
    for (int attempt = 0; attempt < 20; ++attempt)
        BOOST_TEST((fleet.choose(0) == VMId(3)));
}

BOOST_AUTO_TEST_CASE(ADaemonThatFailedARequestIsAvoidedUntilItAnswers)
{
    DetourFleet fleet(3, 8);
    fleet.cut(0);
    fleet.run(Milliseconds(100));
    auto& exchange = *fleet.member(0).exchange;
    exchange.started(VMId(2));
    exchange.ended(VMId(2), true, fleet.now());
    for (int attempt = 0; attempt < 20; ++attempt)
        BOOST_TEST((fleet.choose(0) == VMId(3)));
    fleet.run(Milliseconds(600));
    std::set<VMId> chosen;
    for (int attempt = 0; attempt < 50; ++attempt)
        chosen.insert(*fleet.choose(0));
    BOOST_TEST(chosen.size() == 2u);
}

BOOST_AUTO_TEST_CASE(MalformedMessagesAreRejected)
{
    DetourFleet fleet(2, 9);
    BOOST_TEST(!fleet.member(0).exchange->receive(VMId(2), "", fleet.now()));
    BOOST_TEST(!fleet.member(0).exchange->receive(VMId(2), "\x92\x07\x01", fleet.now()));
    auto const response = encodeDetourMessage(DetourResponse { 1, true, 2, { { VMId(9), Microseconds(5), 3 } } });
    for (size_t size = 0; size < response.size(); ++size)
        BOOST_TEST(!decodeDetourMessage(response.substr(0, size)));
    BOOST_TEST(decodeDetourMessage(response).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

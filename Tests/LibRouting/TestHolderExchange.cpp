#include <LibRouting/Routing.h>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace Stagepost;

namespace {

constexpr uint64_t context = 99;
constexpr UpstreamId first { 1 };
constexpr UpstreamId second { 2 };

Instant at(double seconds)
{
    return Instant(Microseconds(static_cast<int64_t>(seconds * 1e6)));
}

// Daemons that receive each other's messages immediately, except for unresponsive ones.
struct Fleet {
    explicit Fleet(size_t size)
    {
        std::vector<FleetPeer> peers;
        for (size_t number = 1; number <= size; ++number)
            peers.push_back({ VMId(number), HallId(1) });
        for (auto const& peer : peers) {
            HolderExchange::Hooks hooks { [this, from = peer.id](VMId to, std::string const& bytes) { deliver(from, to, bytes); }, [this] { return random(); } };
            daemons[peer.id] = std::make_unique<HolderExchange>(peer, HolderExchange::Bounds {}, hooks);
            daemons[peer.id]->setPeers(peers, {});
        }
    }

    void deliver(VMId from, VMId to, std::string const& bytes)
    {
        ++messages;
        if (!unresponsive.contains(to))
            BOOST_REQUIRE(daemons.at(to)->receive(from, bytes, now));
    }

    // Returns the holders, or nothing while the response is outstanding.
    std::optional<std::vector<UpstreamId>> place(size_t daemon, UpstreamId upstream)
    {
        response.reset();
        daemons.at(VMId(daemon))->recordPlacement(
            context, upstream, [this](auto const& holders) { response = holders; }, now);
        return response;
    }

    Instant now { Seconds(50) };
    std::set<VMId> unresponsive;
    std::mt19937_64 random { 1 };
    size_t messages { 0 };
    std::optional<std::vector<UpstreamId>> response;
    std::map<VMId, std::unique_ptr<HolderExchange>> daemons;
};

}

BOOST_AUTO_TEST_SUITE(HolderExchangeTests)

BOOST_AUTO_TEST_CASE(MessagesRoundTrip)
{
    auto const query = decodeHolderMessage(encodeHolderMessage(HolderQuery { 7, context, first }));
    BOOST_REQUIRE(query);
    BOOST_TEST((std::get<HolderQuery>(*query).context == context && std::get<HolderQuery>(*query).upstream == first));
    auto const response = decodeHolderMessage(encodeHolderMessage(HolderResponse { 7, { first, second } }));
    BOOST_REQUIRE(response);
    BOOST_TEST((std::get<HolderResponse>(*response).holders == std::vector { first, second }));
    BOOST_TEST(!decodeHolderMessage("nothing of the kind"));
    BOOST_TEST(!decodeHolderMessage(encodeHolderMessage(HolderQuery {}) + "x"));
}

BOOST_AUTO_TEST_CASE(RecordingAPlacementReturnsThePreviousHolders)
{
    Fleet fleet(9);
    BOOST_TEST(fleet.place(1, first).value().empty());
    BOOST_TEST((fleet.place(5, second).value() == std::vector { first }));
    BOOST_TEST((fleet.place(9, first).value() == std::vector { second }));
    BOOST_TEST(fleet.messages <= 6u);
}

// Guards against a source that has not had the context: the home answers a question of an earlier process of this daemon,
// about another context, whose number this process has used as well.
BOOST_AUTO_TEST_CASE(AResponseToAnEarlierProcessIsNotTakenForOneToThisProcess)
{
    std::vector<FleetPeer> const peers { { VMId(1), HallId(1) }, { VMId(2), HallId(1) } };
    std::mt19937_64 random { 1 };
    std::vector<std::string> queries;
    std::vector<std::string> responses;
    auto const start = [&](FleetPeer const& peer, std::vector<std::string>& sent) {
        HolderExchange::Hooks const hooks { [&sent](VMId, std::string const& bytes) { sent.push_back(bytes); }, [&random] { return random(); } };
        auto exchange = std::make_unique<HolderExchange>(peer, HolderExchange::Bounds {}, hooks);
        exchange->setPeers(peers, {});
        return exchange;
    };
    auto const home = start(peers[1], responses);
    auto process = start(peers[0], queries);
    // Places contexts until the other daemon is the home of one of them.
    uint64_t placed = context;
    auto const place = [&](HolderExchange::Callback const& callback) {
        for (queries.clear(); queries.empty(); ++placed)
            process->recordPlacement(placed, second, callback, at(1));
    };
    place([](auto const&) {});
    home->receive(VMId(1), encodeHolderMessage(HolderQuery { 0, placed - 1, first }), at(1)).value();
    responses.clear();
    home->receive(VMId(1), queries.front(), at(1)).value();
    auto const earlier = responses.front();

    process = start(peers[0], queries);
    std::optional<std::vector<UpstreamId>> holders;
    place([&](auto const& found) { holders = found; });
    holders.reset();
    process->receive(VMId(2), earlier, at(1)).value();
    BOOST_TEST(!holders.has_value());
    home->receive(VMId(1), queries.front(), at(1)).value();
    process->receive(VMId(2), responses.back(), at(1)).value();
    BOOST_REQUIRE(holders.has_value());
    BOOST_TEST(holders->empty());
}

BOOST_AUTO_TEST_CASE(OnlyTheMostRecentHoldersAreKept)
{
    ContextHolders holders(2);
    for (uint64_t upstream = 1; upstream <= 9; ++upstream)
        holders.recordPlacement(context, UpstreamId(upstream));
    auto const before = holders.recordPlacement(context, UpstreamId(10));
    BOOST_TEST(before.size() == 4u);
    BOOST_TEST((before.front() == UpstreamId(9)));
    holders.recordPlacement(1, first);
    holders.recordPlacement(2, first);
    BOOST_TEST(holders.size() == 2u);
    BOOST_TEST(holders.recordPlacement(context, first).empty());
}

// Relaying takes most of a daemon's send budget.
BOOST_AUTO_TEST_CASE(RelaysAreHomesOnlyIfAllDaemonsAreRelays)
{
    Fleet fleet(3);
    std::vector<FleetPeer> const peers { { VMId(1), HallId(1) }, { VMId(2), HallId(1) }, { VMId(3), HallId(1) } };
    for (auto const& [id, daemon] : fleet.daemons)
        daemon->setPeers(peers, { VMId(1), VMId(2) });
    for (uint64_t each = 0; each < 20; ++each) {
        fleet.messages = 0;
        fleet.daemons.at(VMId(3))->recordPlacement(
            each, first, [](auto const&) {}, fleet.now);
        BOOST_TEST(fleet.messages == 0u);
    }
    for (auto const& [id, daemon] : fleet.daemons)
        daemon->setPeers(peers, { VMId(1), VMId(2), VMId(3) });
    fleet.place(1, first);
    BOOST_TEST((fleet.place(2, second).value() == std::vector { first }));
}

// The first query times out after at most 25 ms without holders; later ones do not wait.
BOOST_AUTO_TEST_CASE(OnlyTheFirstQueryWaitsForAnUnresponsiveHome)
{
    Fleet fleet(9);
    for (size_t daemon = 1; daemon <= 9; ++daemon)
        fleet.unresponsive.insert(VMId(daemon));
    // Daemon 1 may be the home, which completes without a message; then daemon 2 is the sender.
    size_t const sender = fleet.place(1, first) ? 2 : 1;
    if (sender == 2)
        fleet.place(2, first);
    BOOST_TEST(!fleet.response.has_value());
    auto const deadline = fleet.daemons.at(VMId(sender))->nextTimeout();
    BOOST_REQUIRE(deadline.has_value());
    BOOST_TEST((*deadline - fleet.now <= Milliseconds(25)));
    fleet.now = *deadline;
    fleet.daemons.at(VMId(sender))->tick(fleet.now);
    BOOST_TEST(fleet.response.value().empty());
    BOOST_TEST(fleet.place(sender, first).value().empty());
}

BOOST_AUTO_TEST_SUITE_END()

#include <LibRouting/Routing.h>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <set>

using namespace Stagepost;

namespace {

constexpr uint64_t context = 99;
constexpr UpstreamId first { 1 };
constexpr UpstreamId second { 2 };

// Daemons whose messages arrive at once, but for those that are silent.
struct Fleet {
    explicit Fleet(size_t size)
    {
        std::vector<FleetPeer> peers;
        for (size_t number = 1; number <= size; ++number)
            peers.push_back({ VMId(number), HallId(1) });
        for (auto const& peer : peers) {
            HolderExchange::Hooks hooks { [this, from = peer.id](VMId to, std::string const& bytes) { deliver(from, to, bytes); } };
            daemons[peer.id] = std::make_unique<HolderExchange>(peer, HolderExchange::Bounds {}, hooks);
            daemons[peer.id]->setPeers(peers, {});
        }
    }

    void deliver(VMId from, VMId to, std::string const& bytes)
    {
        ++messages;
        if (!silent.contains(to))
            BOOST_REQUIRE(daemons.at(to)->receive(from, bytes, now));
    }

    // None where no answer has come yet.
    std::optional<std::vector<UpstreamId>> place(size_t daemon, UpstreamId upstream)
    {
        answer.reset();
        daemons.at(VMId(daemon))->placed(
            context, upstream, [this](auto const& holders) { answer = holders; }, now);
        return answer;
    }

    Instant now { Seconds(50) };
    std::set<VMId> silent;
    size_t messages { 0 };
    std::optional<std::vector<UpstreamId>> answer;
    std::map<VMId, std::unique_ptr<HolderExchange>> daemons;
};

}

BOOST_AUTO_TEST_SUITE(HolderExchangeTests)

BOOST_AUTO_TEST_CASE(MessagesComeBackAsTheyWereWritten)
{
    auto const ask = decodeHolderMessage(encodeHolderMessage(HolderAsk { 7, context, first }));
    BOOST_REQUIRE(ask);
    BOOST_TEST((std::get<HolderAsk>(*ask).context == context && std::get<HolderAsk>(*ask).upstream == first));
    auto const answer = decodeHolderMessage(encodeHolderMessage(HolderAnswer { 7, { first, second } }));
    BOOST_REQUIRE(answer);
    BOOST_TEST((std::get<HolderAnswer>(*answer).holders == std::vector { first, second }));
    BOOST_TEST(!decodeHolderMessage("nothing of the kind"));
    BOOST_TEST(!decodeHolderMessage(encodeHolderMessage(HolderAsk {}) + "x"));
}

BOOST_AUTO_TEST_CASE(WhoeverPlacesAContextLearnsWhereItWas)
{
    Fleet fleet(9);
    BOOST_TEST(fleet.place(1, first).value().empty());
    BOOST_TEST((fleet.place(5, second).value() == std::vector { first }));
    BOOST_TEST((fleet.place(9, first).value() == std::vector { second }));
    BOOST_TEST(fleet.messages <= 6u);
}

BOOST_AUTO_TEST_CASE(OnlyTheNewestHoldersAreKept)
{
    ContextHolders holders(2);
    for (uint64_t upstream = 1; upstream <= 9; ++upstream)
        holders.placed(context, UpstreamId(upstream));
    auto const before = holders.placed(context, UpstreamId(10));
    BOOST_TEST(before.size() == 4u);
    BOOST_TEST((before.front() == UpstreamId(9)));
    holders.placed(1, first);
    holders.placed(2, first);
    BOOST_TEST(holders.size() == 2u);
    BOOST_TEST(holders.placed(context, first).empty());
}

// What they tell otherwise takes all that a daemon may send.
BOOST_AUTO_TEST_CASE(RelaysAreHomesOnlyWhereThereIsNobodyElse)
{
    Fleet fleet(3);
    std::vector<FleetPeer> const peers { { VMId(1), HallId(1) }, { VMId(2), HallId(1) }, { VMId(3), HallId(1) } };
    for (auto const& [id, daemon] : fleet.daemons)
        daemon->setPeers(peers, { VMId(1), VMId(2) });
    for (uint64_t each = 0; each < 20; ++each) {
        fleet.messages = 0;
        fleet.daemons.at(VMId(3))->placed(
            each, first, [](auto const&) {}, fleet.now);
        BOOST_TEST(fleet.messages == 0u);
    }
    for (auto const& [id, daemon] : fleet.daemons)
        daemon->setPeers(peers, { VMId(1), VMId(2), VMId(3) });
    fleet.place(1, first);
    BOOST_TEST((fleet.place(2, second).value() == std::vector { first }));
}

// The request goes on with a guess, and the next one does not wait at all.
BOOST_AUTO_TEST_CASE(AHomeThatDoesNotAnswerCostsAFewMillisecondsOnce)
{
    Fleet fleet(9);
    for (size_t daemon = 1; daemon <= 9; ++daemon)
        fleet.silent.insert(VMId(daemon));
    // The home itself needs no message.
    size_t const asker = fleet.place(1, first) ? 2 : 1;
    if (asker == 2)
        fleet.place(2, first);
    BOOST_TEST(!fleet.answer.has_value());
    auto const due = fleet.daemons.at(VMId(asker))->nextTimeout();
    BOOST_REQUIRE(due.has_value());
    BOOST_TEST((*due - fleet.now <= Milliseconds(25)));
    fleet.now = *due;
    fleet.daemons.at(VMId(asker))->tick(fleet.now);
    BOOST_TEST(fleet.answer.value().empty());
    BOOST_TEST(fleet.place(asker, first).value().empty());
}

BOOST_AUTO_TEST_SUITE_END()

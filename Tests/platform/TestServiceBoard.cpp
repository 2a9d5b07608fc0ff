#include <boost/test/unit_test.hpp>
#include <stagepostd/ServiceBoard.h>

using namespace Stagepost;

namespace {

UpstreamRecord upstream(std::string instance, uint64_t incarnation)
{
    return { std::move(instance), "book", "10.0.0.1:80", "north", 4, false, Milliseconds(0), Incarnation(incarnation) };
}

struct World {
    void put(UpstreamRecord const& record) { board.apply({ record.instance, record }, now); }

    std::optional<ServicePlacement::Choice> choose(std::vector<UpstreamId> excluded = {})
    {
        ServicePlacement::Request wish;
        wish.excluded = std::move(excluded);
        return board.service("book").placement.choose(wish, now);
    }

    void fail(UpstreamId id, size_t times)
    {
        auto& placement = board.service("book").placement;
        for (size_t count = 0; count < times; ++count) {
            placement.started(id);
            placement.finished(id, SendOutcome::NoUsableAnswer, Milliseconds(1), Milliseconds(1), now);
        }
    }

    Instant now { Seconds(10) };
    std::vector<std::string> dropped;
    ServiceBoard board { { "north", {}, {} }, [] { return 7u; }, [this](Endpoint const& endpoint) { dropped.push_back(endpoint.toString()); } };
};

}

BOOST_AUTO_TEST_SUITE(ServiceBoardTests)

// The hall is emptied before the upstream's record comes, and after it.
BOOST_AUTO_TEST_CASE(UpstreamsOfAnEmptiedHallGetNothing)
{
    World world;
    auto const north = HallId::fromName("north");
    world.put(upstream("a", 5));
    world.board.setEmptied(north, true, world.now);
    world.put(upstream("b", 6));
    BOOST_TEST(!world.choose().has_value());
    world.board.setEmptied(north, false, world.now);
    BOOST_TEST(world.choose().has_value());
}

// Neither what its record says later, nor that the record was gone meanwhile, takes it back.
BOOST_AUTO_TEST_CASE(AnUpstreamThatSaidItLeavesGetsNothingWhateverItsRecordSays)
{
    World world;
    world.put(upstream("a", 5));
    world.board.noteLeaving(upstream("a", 5).id(), world.now);
    BOOST_TEST(!world.choose().has_value());
    world.put(upstream("a", 5));
    BOOST_TEST(!world.choose().has_value());
    world.board.apply({ "a", {} }, world.now);
    world.put(upstream("a", 5));
    BOOST_TEST(!world.choose().has_value());
    world.put(upstream("a", 6));
    BOOST_TEST(world.choose().has_value());
}

// What leaves by itself stays out when its hall is taken back.
BOOST_AUTO_TEST_CASE(AnUpstreamThatLeavesDoesNotComeBackWithItsHall)
{
    World world;
    auto leaving = upstream("a", 5);
    leaving.isLeaving = true;
    world.put(leaving);
    world.board.setEmptied(HallId::fromName("north"), true, world.now);
    world.board.setEmptied(HallId::fromName("north"), false, world.now);
    BOOST_TEST(!world.choose().has_value());
}

// Without its owner's word nothing goes to a cold upstream: the other daemons' sends count.
BOOST_AUTO_TEST_CASE(AColdUpstreamGetsNothingWithoutItsOwnersWord)
{
    World world;
    auto& placement = world.board.service("book").placement;
    placement.setColdStartLimit({ 9, 1.5, 5, Seconds(3) });
    auto cold = upstream("a", 5);
    cold.coldLeft = Milliseconds(2000);
    world.put(cold);
    BOOST_TEST(!world.choose().has_value());
    ServicePlacement::Request wish;
    auto const candidates = placement.candidatesForOwners(wish, world.now);
    BOOST_REQUIRE(candidates.size() == 1u);
    BOOST_REQUIRE(candidates.front().cold.has_value());
    BOOST_TEST((candidates.front().cold->left == Milliseconds(2000)));
    BOOST_TEST(placement.choiceFromOwners(wish, { cold.id(), true, 1 }, world.now).has_value());
    world.now += Seconds(3);
    BOOST_TEST(world.choose().has_value());
}

// An owner keeps the bound where the upstream might be cold: that alone refuses nobody.
BOOST_AUTO_TEST_CASE(CautionAloneRefusesNobody)
{
    World world;
    auto const only = upstream("a", 5);
    auto cold = upstream("b", 6);
    cold.coldLeft = Milliseconds(2000);
    world.board.service("book").placement.setColdStartLimit({ 9, 1.5, 5, Seconds(3) });
    world.put(only);
    world.put(cold);
    ServicePlacement::Request wish;
    wish.avoided = { only.id(), cold.id() };
    auto const choice = world.board.service("book").placement.choose(wish, world.now);
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST((choice->upstream == only.id()));
}

BOOST_AUTO_TEST_CASE(AnUpstreamIsWarmWhenItsRecordSaysSo)
{
    World world;
    world.board.service("book").placement.setColdStartLimit({ 9, 1.5, 5, Seconds(3) });
    auto cold = upstream("a", 5);
    cold.coldLeft = Milliseconds(2000);
    world.put(cold);
    world.put(upstream("a", 5));
    BOOST_TEST(world.choose().has_value());
    world.board.noteCold(cold.id(), Milliseconds(500), world.now);
    BOOST_TEST(!world.choose().has_value());
}

BOOST_AUTO_TEST_CASE(AHallThatIsTakenBackCountsAsJustStarted)
{
    World world;
    world.board.service("book").placement.setColdStartLimit({ 9, 1.5, 5, Seconds(3) });
    world.put(upstream("a", 5));
    world.board.setEmptied(HallId::fromName("north"), true, world.now);
    world.board.setEmptied(HallId::fromName("north"), false, world.now);
    BOOST_TEST(!world.choose().has_value());
    world.now += Seconds(3);
    BOOST_TEST(world.choose().has_value());
}

// An owner's leave that was given before the order is not used after it.
BOOST_AUTO_TEST_CASE(AGrantEndsWithTheOrderToEmptyItsHall)
{
    World world;
    world.put(upstream("a", 5));
    auto& placement = world.board.service("book").placement;
    ServicePlacement::Request wish;
    wish.context = 7;
    LedgerExchange::Outcome const granted { upstream("a", 5).id(), true, 1 };
    BOOST_TEST(placement.choiceFromOwners(wish, granted, world.now).has_value());
    world.board.setEmptied(HallId::fromName("north"), true, world.now);
    BOOST_TEST(!placement.choiceFromOwners(wish, granted, world.now).has_value());
}

// What the process before did and held says nothing of the one that has its name now:
// its breaker, what it has in flight, its silence and the connections to it.
BOOST_AUTO_TEST_CASE(AnUpstreamThatStartsAgainIsJudgedAnew)
{
    World world;
    auto const first = upstream("a", 5);
    auto const second = upstream("a", 6);
    world.put(first);
    world.fail(first.id(), 20);
    world.board.silence().sent(first.id(), HallId::fromName("north"), world.now);
    world.board.service("book").placement.started(first.id());
    BOOST_TEST(world.board.service("book").placement.ownInFlight().size() == 1u);
    world.put(second);
    BOOST_TEST((world.dropped == std::vector<std::string> { "10.0.0.1:80" }));
    BOOST_TEST(!world.board.target(first.id()));
    BOOST_REQUIRE(world.board.target(second.id()));
    BOOST_TEST(world.board.target(second.id())->instance == "a");
    BOOST_TEST(world.board.service("book").placement.ownInFlight().empty());
    BOOST_TEST(!world.board.silence().isSilent(second.id(), world.now + Seconds(5)));
    auto const chosen = world.choose();
    BOOST_REQUIRE(chosen);
    BOOST_TEST((chosen->upstream == second.id() && !chosen->needsNewConnection));
    // A late end of a request to the one before changes nothing at this one.
    world.fail(first.id(), 5);
    BOOST_TEST((world.choose()->upstream == second.id()));
}

// Whoever failed at the process before may be sent to the new one: it is another.
BOOST_AUTO_TEST_CASE(WhatFailedAtTheProcessBeforeMayGoToTheNewOne)
{
    World world;
    world.put(upstream("a", 5));
    world.put(upstream("a", 6));
    auto const chosen = world.choose({ upstream("a", 5).id() });
    BOOST_REQUIRE(chosen);
    BOOST_TEST((chosen->upstream == upstream("a", 6).id()));
}

BOOST_AUTO_TEST_CASE(AnUpstreamThatGoesOrChangesItsServiceIsNoneOfItAnyMore)
{
    World world;
    auto record = upstream("a", 5);
    world.put(record);
    record.service = "chat";
    world.put(record);
    BOOST_TEST(!world.choose());
    BOOST_TEST(world.board.target(record.id())->service == "chat");
    world.board.apply({ "a", {} }, world.now);
    BOOST_TEST(!world.board.target(record.id()));
    world.board.apply({ "a", {} }, world.now);
    BOOST_TEST(world.board.upstreamCount() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

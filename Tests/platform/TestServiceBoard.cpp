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
        ServicePlacement::Wish wish;
        wish.excluded = std::move(excluded);
        return board.service("book").placement.choose(wish, now);
    }

    void fail(UpstreamId id, size_t times)
    {
        auto& placement = board.service("book").placement;
        for (size_t count = 0; count < times; ++count) {
            placement.started(id);
            placement.finished(id, SendOutcome::Broke, Milliseconds(1), Milliseconds(1), now);
        }
    }

    Instant now { Seconds(10) };
    std::vector<std::string> dropped;
    ServiceBoard board { { "north", {}, {} }, [] { return 7u; }, [this](Endpoint const& endpoint) { dropped.push_back(endpoint.toString()); } };
};

}

BOOST_AUTO_TEST_SUITE(ServiceBoardTests)

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
    BOOST_TEST((chosen->upstream == second.id() && !chosen->isInDoubt));
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

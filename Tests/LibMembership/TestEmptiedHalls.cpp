#include <LibMembership/EmptiedHalls.h>
#include <LibMembership/StateMessage.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

namespace {

Instant at(double seconds)
{
    return Instant(Microseconds(static_cast<int64_t>(seconds * 1e6)));
}

struct World {
    std::vector<std::string> changes;
    EmptiedHalls halls { {}, [this](HallOrder const& order) { changes.push_back((order.isEmptied ? "+" : "-") + order.hall); } };

    std::vector<std::string> takeChanges() { return std::exchange(changes, {}); }
};

using Changes = std::vector<std::string>;

}

BOOST_AUTO_TEST_SUITE(EmptiedHallsTests)

BOOST_AUTO_TEST_CASE(AnOrderHoldsUntilItIsTakenBack)
{
    World world;
    world.halls.replace({ { "north", true } }, 5, at(1));
    BOOST_TEST((world.takeChanges() == Changes { "+north" }));
    world.halls.apply({}, 6, at(2));
    BOOST_TEST(world.halls.contains("north"));
    world.halls.apply({ { "south", true }, { "north", false } }, 8, at(3));
    BOOST_TEST((world.takeChanges() == Changes { "-north", "+south" }));
    BOOST_TEST((*world.halls.age().provenAt() == at(3)));
}

// In one read, only the last word counts: nothing flaps in between.
BOOST_AUTO_TEST_CASE(AnOrderThatIsTakenBackAndGivenAgainInOneReadChangesNothing)
{
    World world;
    world.halls.replace({ { "north", true } }, 5, at(1));
    world.takeChanges();
    world.halls.apply({ { "north", false }, { "north", true } }, 7, at(2));
    BOOST_TEST(world.takeChanges().empty());
    BOOST_TEST(world.halls.contains("north"));
}

// A whole list names what is, not what was taken back.
BOOST_AUTO_TEST_CASE(WhatAWholeListLacksIsTakenBack)
{
    World world;
    world.halls.replace({ { "north", true }, { "south", true } }, 5, at(1));
    world.takeChanges();
    world.halls.replace({ { "south", true } }, 9, at(2));
    BOOST_TEST((world.takeChanges() == Changes { "-north" }));
}

BOOST_AUTO_TEST_CASE(WhatIsLateOnItsWayTakesNothingBack)
{
    World world;
    world.halls.replace({ { "north", true } }, 9, at(4));
    world.takeChanges();
    world.halls.replace({}, 5, at(3));
    world.halls.apply({ { "north", false } }, 8, at(3));
    world.halls.takeTold({ 7, {} }, at(5));
    BOOST_TEST(world.takeChanges().empty());
    BOOST_TEST(world.halls.contains("north"));
}

BOOST_AUTO_TEST_CASE(WhatOthersTellIsTakenByItsPlace)
{
    World world;
    world.halls.takeTold({ 9, { "north" } }, {});
    BOOST_TEST((world.takeChanges() == Changes { "+north" }));
    BOOST_TEST(!world.halls.age().isKnown());
    world.halls.takeTold({ 10, {} }, at(2));
    BOOST_TEST((world.takeChanges() == Changes { "-north" }));
}

// The store comes back from a copy that is older than the order. Operators write it again, or
// it was lost for good.
BOOST_AUTO_TEST_CASE(AnOrderThatTheStoreHasLostHoldsForAWhile)
{
    World world;
    world.halls.replace({ { "north", true }, { "south", true } }, 9, at(1));
    world.takeChanges();
    world.halls.replaceAfterReturn({}, 100, at(10));
    world.halls.replace({}, 101, at(10.5));
    BOOST_TEST(world.takeChanges().empty());
    world.halls.apply({ { "south", true } }, 102, at(11));
    world.halls.tick(at(11.9));
    BOOST_TEST(world.takeChanges().empty());
    world.halls.tick(at(12.1));
    BOOST_TEST((world.takeChanges() == Changes { "-north" }));
    BOOST_TEST(world.halls.contains("south"));
}

// Whoever was told while it held learns that it has gone, at the same place.
BOOST_AUTO_TEST_CASE(ANewerProofAtTheSamePlaceIsTaken)
{
    World world;
    world.halls.takeTold({ 100, { "north" } }, at(11));
    world.takeChanges();
    world.halls.takeTold({ 100, {} }, at(10));
    BOOST_TEST(world.takeChanges().empty());
    world.halls.takeTold({ 100, {} }, {});
    BOOST_TEST(world.takeChanges().empty());
    world.halls.takeTold({ 100, {} }, at(12.5));
    BOOST_TEST((world.takeChanges() == Changes { "-north" }));
}

BOOST_AUTO_TEST_CASE(AMessageCarriesThemAndOneOfAnEarlierVersionDoesNot)
{
    StateMessage message { StateMessage::Kind::Answer, 1, 2, { 3, 4, 5 }, {}, {}, {}, {} };
    auto const earlier = StateMessage::decode(message.encode());
    BOOST_REQUIRE(earlier.has_value());
    BOOST_TEST(!earlier->emptiedHalls.has_value());
    message.emptiedHalls = EmptiedHallsState { 7, { "north", "south" } };
    auto const later = StateMessage::decode(message.encode());
    BOOST_REQUIRE(later.has_value());
    BOOST_TEST((later->emptiedHalls == message.emptiedHalls));
}

BOOST_AUTO_TEST_SUITE_END()

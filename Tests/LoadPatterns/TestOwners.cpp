#include <LoadPatterns/Patterns.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;
using namespace Stagepost::LoadPatterns;

BOOST_AUTO_TEST_SUITE(OwnersTests)

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundAtTheAimsSize)
{
    auto pattern = startOfALargeFleet();
    pattern.daemons = 330;
    play(pattern, "330 daemons, all contexts read first", 0, tolerableAtStart, 20);
}

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWhereMessagesAreLateAndLost)
{
    auto pattern = startOfALargeFleet();
    pattern.messageTime = Milliseconds(4);
    pattern.lostMessages = 3;
    play(pattern, "large fleet, late and lost messages", 0, tolerableAtStart);
}

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWithOneContextThatAllAskFor)
{
    auto pattern = startOfALargeFleet();
    pattern.hot = HotContext { 0.06, 3, 8 };
    play(pattern, "large fleet, owners, one hot context", 0, tolerableAtStart);
}

// The mean falls when a rush is over, and what came in it is still there.
BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWhenARushIsOver)
{
    auto pattern = startOfALargeFleet();
    pattern.seconds = 14;
    pattern.surge = 3;
    pattern.surgeFrom = 4;
    pattern.surgeUntil = 7;
    play(pattern, "large fleet, owners, a rush that ends", 0, tolerableInCalm);
}

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWhenAllDaemonsStartAgain)
{
    auto pattern = startOfALargeFleet();
    pattern.seconds = 14;
    pattern.restartAt = 6;
    play(pattern, "large fleet, all daemons start again", 0, tolerableAtStart);
}

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWhenAHallComesBack)
{
    auto pattern = startOfALargeFleet();
    pattern.seconds = 14;
    pattern.absence = Absence { pattern.upstreams / 5, 3, 7 };
    play(pattern, "large fleet, a fifth comes back", 0, tolerableAtStart);
}

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWhenAThirdComesBackCold)
{
    auto pattern = startOfALargeFleet();
    pattern.seconds = 14;
    pattern.absence = Absence { pattern.upstreams / 3, 5, 5.5, true };
    play(pattern, "large fleet, a third comes back cold", 0, tolerableAtStart);
}

// The context's homes are found again once all has been read: what owners turn away for
// the sake of the bound costs hardly any reading then.
BOOST_AUTO_TEST_CASE(ALargeFleetThatHasBeenUpPlacesByContext)
{
    auto pattern = startOfALargeFleet();
    pattern.seconds = 40;
    auto const asked = StreamFleet(pattern, {}, 1).play();
    pattern.asksOwners = false;
    auto const unasked = StreamFleet(pattern, {}, 1).play();
    BOOST_TEST_MESSAGE("from second 20 on reused " << asked.reusedShare(20) << " with owners, " << unasked.reusedShare(20) << " without, beyond the bound " << asked.worstBeyondBound(20) << ", " << unasked.worstBeyondBound(20));
    BOOST_TEST(asked.reusedShare(20) > unasked.reusedShare(20) - 0.01);
    BOOST_TEST(asked.worstBeyondBound(20) < tolerableAtStart);
}

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundOfASmallFleetFromItsFirstSecond)
{
    auto pattern = smallFleet();
    pattern.kinds = { { 0.23, 17, 1.6, 10500, 1.2, 1, 1300 }, { 0.41, 30, 1.2, 700, 0.6, 0, 130 }, { 0.36, 58, 0.15, 2000, 0.8, 2, 360 } };
    pattern.runsBeforeTraffic = true;
    pattern.readsLikeEngines = true;
    pattern.asksOwners = true;
    play(pattern, "small fleet, owners", 0, tolerableAtStart, 20);
}

BOOST_AUTO_TEST_SUITE_END()

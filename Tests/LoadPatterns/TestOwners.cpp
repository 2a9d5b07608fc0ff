#include <LoadPatterns/Patterns.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;
using namespace Stagepost::LoadPatterns;

BOOST_AUTO_TEST_SUITE(OwnersTests)

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundAtTheAimsSize)
{
    auto pattern = largeFleetAtStart();
    pattern.daemons = 330;
    checkBound(pattern, "330 daemons, all contexts read first", 0, maxBeyondBoundAtStart, 20);
}

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWhereMessagesAreLateAndLost)
{
    auto pattern = largeFleetAtStart();
    pattern.messageLatency = Milliseconds(4);
    pattern.messageLossPercent = 3;
    checkBound(pattern, "large fleet, late and lost messages", 0, maxBeyondBoundAtStart);
}

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWithOneContextThatAllAskFor)
{
    auto pattern = largeFleetAtStart();
    pattern.hot = HotContext { 0.06, 3, 8 };
    checkBound(pattern, "large fleet, owners, one hot context", 0, maxBeyondBoundAtStart);
}

// The mean falls after a surge while requests of the surge are still in flight.
BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWhenARushIsOver)
{
    auto pattern = largeFleetAtStart();
    pattern.seconds = 14;
    pattern.surgeFactor = 3;
    pattern.surgeFromSecond = 4;
    pattern.surgeUntilSecond = 7;
    checkBound(pattern, "large fleet, owners, a rush that ends", 0, maxBeyondBoundInCalm);
}

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWhenAllDaemonsStartAgain)
{
    auto pattern = largeFleetAtStart();
    pattern.seconds = 14;
    pattern.restartAtSecond = 6;
    checkBound(pattern, "large fleet, all daemons start again", 0, maxBeyondBoundAtStart);
}

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWhenAHallComesBack)
{
    auto pattern = largeFleetAtStart();
    pattern.seconds = 14;
    pattern.outage = UpstreamOutage { pattern.upstreams / 5, 3, 7 };
    checkBound(pattern, "large fleet, a fifth comes back", 0, maxBeyondBoundAtStart);
}

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWhenAThirdComesBackCold)
{
    auto pattern = largeFleetAtStart();
    pattern.seconds = 14;
    pattern.outage = UpstreamOutage { pattern.upstreams / 3, 5, 5.5, true };
    checkBound(pattern, "large fleet, a third comes back cold", 0, maxBeyondBoundAtStart);
}

// Once all contexts are prefilled, requests reach the preferred upstreams of their contexts again:
// refusals by owners for the sake of the bound then cause hardly any prefill.
BOOST_AUTO_TEST_CASE(ALargeFleetThatHasBeenUpPlacesByContext)
{
    auto pattern = largeFleetAtStart();
    pattern.seconds = 40;
    auto const asked = FleetSimulation(pattern, {}, 1).simulate();
    pattern.asksOwners = false;
    auto const unasked = FleetSimulation(pattern, {}, 1).simulate();
    BOOST_TEST_MESSAGE("from second 20 on context reuse " << asked.reusedShare(20) << " with owners, " << unasked.reusedShare(20) << " without, beyond the bound " << asked.worstBeyondBound(20) << ", " << unasked.worstBeyondBound(20));
    BOOST_TEST(asked.reusedShare(20) > unasked.reusedShare(20) - 0.01);
    BOOST_TEST(asked.worstBeyondBound(20) < maxBeyondBoundAtStart);
}

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundOfASmallFleetFromItsFirstSecond)
{
    auto pattern = smallFleet();
    pattern.kinds = { { 0.23, 17, 1.6, 10500, 1.2, 1, 1300 }, { 0.41, 30, 1.2, 700, 0.6, 0, 130 }, { 0.36, 58, 0.15, 2000, 0.8, 2, 360 } };
    pattern.startsBeforeTraffic = true;
    pattern.modelsPrefill = true;
    pattern.asksOwners = true;
    checkBound(pattern, "small fleet, owners", 0, maxBeyondBoundAtStart, 20);
}

namespace {

LoadPattern withOutages(LoadPattern pattern, DaemonOutages::Kind kind)
{
    auto const isPause = kind == DaemonOutages::Kind::Pause;
    pattern.daemonOutages = DaemonOutages { kind, 1.0 / 3, 4, isPause ? 2.0 : 0.3, 4 };
    return pattern;
}

LoadPattern mediumFleet()
{
    auto pattern = smallFleet();
    pattern.daemons = 24;
    pattern.upstreams = 12;
    pattern.requestsPerSecond = 95;
    pattern.seconds = 24;
    pattern.kinds = { { 1, 30, 0.7, 900, 1 } };
    pattern.startsBeforeTraffic = true;
    pattern.asksOwners = true;
    return pattern;
}

// One context gets a tenth of the requests.
LoadPattern fleetWithAHotContext()
{
    auto pattern = fleetOfThreeHalls();
    pattern.seconds = 24;
    pattern.hot = HotContext { 0.1, 2, 24 };
    return pattern;
}

LoadPattern fleetOfTheAimsSize()
{
    auto pattern = largeFleetAtStart();
    pattern.daemons = 330;
    pattern.seconds = 14;
    return pattern;
}

}

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWhileAThirdOfTheDaemonsIsRestarted)
{
    checkBound(withOutages(mediumFleet(), DaemonOutages::Kind::Restart), "a third is restarted", 0, maxBeyondBoundInCalm, 20);
}

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWhileAThirdOfTheDaemonsIsPaused)
{
    checkBound(withOutages(mediumFleet(), DaemonOutages::Kind::Pause), "a third is paused", 0, maxBeyondBoundInCalm, 20);
}

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWithAHotContextWhileAThirdOfTheDaemonsIsRestarted)
{
    checkBound(withOutages(fleetWithAHotContext(), DaemonOutages::Kind::Restart), "a hot context, a third is restarted", 0, maxBeyondBound, 8);
}

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWithAHotContextWhileAThirdOfTheDaemonsIsPaused)
{
    checkBound(withOutages(fleetWithAHotContext(), DaemonOutages::Kind::Pause), "a hot context, a third is paused", 0, maxBeyondBound, 8);
}

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundAtTheAimsSizeWhileAThirdOfTheDaemonsIsRestarted)
{
    checkBound(withOutages(fleetOfTheAimsSize(), DaemonOutages::Kind::Restart), "330 daemons, a third is restarted", 0, maxBeyondBoundInCalm);
}

BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundAtTheAimsSizeWhileAThirdOfTheDaemonsIsPaused)
{
    checkBound(withOutages(fleetOfTheAimsSize(), DaemonOutages::Kind::Pause), "330 daemons, a third is paused", 0, maxBeyondBoundInCalm);
}

BOOST_AUTO_TEST_SUITE_END()

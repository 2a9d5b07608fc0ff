#include <LoadPatterns/Patterns.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;
using namespace Stagepost::LoadPatterns;

BOOST_AUTO_TEST_SUITE(OrdersTests)

namespace {

// A third of the upstreams returns cold.
LoadPattern hallReturningCold()
{
    auto pattern = fleetOfThreeHalls();
    pattern.seconds = 16;
    pattern.coldStartLimit = { 8.9, 1.5, 5, Seconds(3) };
    pattern.outage = UpstreamOutage { 30, 4, 8, true, true };
    return pattern;
}

void checkColdReturn(LoadPattern const& pattern, std::string const& name)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        auto const outcome = FleetSimulation(pattern, {}, seed).simulate();
        BOOST_TEST_MESSAGE(name << ", seed " << seed << ": " << outcome.maxColdRequestsPerSecond << " at most per second while cold, " << pattern.coldStartLimit.fleetLimit() << " allowed, " << outcome.unplaced << " not placed, in time from second 8 " << outcome.inTimeShare(8, 16) << ", reused " << outcome.reusedShare(8));
        BOOST_TEST(outcome.maxColdRequestsPerSecond <= pattern.coldStartLimit.fleetLimit());
        BOOST_TEST(outcome.unplaced == 0u);
        BOOST_TEST(outcome.inTimeShare(8, 16) > 0.95);
    }
}

}

BOOST_AUTO_TEST_CASE(AHallThatComesBackColdIsNotOverrun)
{
    checkColdReturn(hallReturningCold(), "a third comes back cold");
}

BOOST_AUTO_TEST_CASE(AHallThatComesBackColdInABurstIsNotOverrun)
{
    auto pattern = hallReturningCold();
    pattern.surgeFactor = 1.7;
    pattern.surgeFromSecond = 7;
    pattern.surgeUntilSecond = 12;
    checkColdReturn(pattern, "a third comes back cold in a burst");
}

// Four times the traffic for eight seconds: requests of the surge are still in flight when the mean
// has fallen.
BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWhenALongRushIsOver)
{
    auto pattern = hallReturningCold();
    pattern.outage.reset();
    pattern.surgeFactor = 4;
    pattern.surgeFromSecond = 2;
    pattern.surgeUntilSecond = 10;
    pattern.countsInterval = Milliseconds(700);
    pattern.countsAge = Milliseconds(1000);
    checkBound(pattern, "a long rush that ends", 0, maxBeyondBoundInCalm, 8);
}

// A third of the upstreams is taken out as a surge ends, and both lower the mean.
BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWhenAHallIsEmptiedAsARushEnds)
{
    auto pattern = hallReturningCold();
    pattern.outage = UpstreamOutage { 30, 8, 15, false, false, 0, true };
    pattern.surgeFactor = 1.6;
    pattern.surgeFromSecond = 4;
    pattern.surgeUntilSecond = 9;
    checkBound(pattern, "a hall is emptied as a rush ends", 4, maxBeyondBoundInCalm, 8);
}

// The same without a surge.
BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWhenAHallIsEmptied)
{
    auto pattern = hallReturningCold();
    pattern.outage = UpstreamOutage { 30, 5, 15, false, false, 0, true };
    checkBound(pattern, "a hall is emptied", 4, maxBeyondBoundInCalm, 8);
}

// Two thirds of the upstreams are taken out: the mean load of the rest alone would exceed the bound,
// so that requests must be refused, the most urgent ones last.
BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWhenTwoHallsAreEmptied)
{
    auto pattern = hallReturningCold();
    pattern.outage = UpstreamOutage { 60, 5, 12, false, false, 0, true };
    checkBound(pattern, "two halls are emptied", 4, maxBeyondBoundInCalm, 8);
    auto const outcome = FleetSimulation(pattern, {}, 1).simulate();
    BOOST_TEST_MESSAGE("two halls are emptied: refused " << outcome.refusedShare(6, 12) << ", in time " << outcome.inTimeShare(6, 12));
    BOOST_TEST(outcome.refusedShare(0, 5) == 0);
    BOOST_TEST(outcome.refusedShare(13, 16) == 0);
}

// A third of the upstreams returns without its contexts, which the upstreams that served their
// requests meanwhile hold.
BOOST_AUTO_TEST_CASE(ContextsOfAHallThatComesBackAreCopiedFromWhoHoldsThem)
{
    auto pattern = hallReturningCold();
    pattern.outage->losesContexts = true;
    auto const simulateReturn = [&](bool asksHolders, uint64_t seed) {
        pattern.asksHolders = asksHolders;
        return FleetSimulation(pattern, {}, seed).simulate();
    };
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        auto const guessed = simulateReturn(false, seed);
        auto const asked = simulateReturn(true, seed);
        BOOST_TEST_MESSAGE("a third comes back, seed " << seed << ": redundant prefills " << guessed.redundantPrefills << " (" << guessed.transferredContexts << " transferred) with guessed sources, " << asked.redundantPrefills << " (" << asked.transferredContexts << ") with holders asked");
        BOOST_TEST(2 * asked.redundantPrefills < guessed.redundantPrefills);
    }
}

// The daemons learn only after 1.5 s that the upstreams are cold.
BOOST_AUTO_TEST_CASE(AHallWhoseColdnessIsToldLateIsNotOverrun)
{
    auto pattern = hallReturningCold();
    pattern.outage->coldReportDelaySeconds = 1.5;
    checkColdReturn(pattern, "a third comes back cold, reported late");
}

BOOST_AUTO_TEST_CASE(AHallThatComesBackColdKeepsItsBoundWhereMessagesAreLost)
{
    auto pattern = hallReturningCold();
    pattern.messageLatency = Milliseconds(4);
    pattern.messageLossPercent = 5;
    checkColdReturn(pattern, "a third comes back cold, messages lost");
}

BOOST_AUTO_TEST_SUITE_END()

#include <LoadPatterns/FleetSimulation.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;
using namespace Stagepost::LoadPatterns;

namespace {

// Seven daemons and upstreams with 48 slots, a third of which are in use.
LoadPattern smallFleetWithSurge()
{
    LoadPattern pattern;
    pattern.daemons = 7;
    pattern.upstreams = 18;
    pattern.slots = 48;
    pattern.requestsPerSecond = 270;
    pattern.kinds = { { 0.24, 60, 1.6, 10500, 0.6, 1 }, { 0.34, 110, 1.2, 700, 0.3, 0 }, { 0.42, 190, 0.3, 2000, 0.4, 2 } };
    pattern.countsInterval = Milliseconds(350);
    pattern.countsAge = Milliseconds(400);
    pattern.surgeFactor = 4;
    pattern.surgeFromSecond = 10;
    pattern.surgeUntilSecond = 18;
    return pattern;
}

// The same load on each upstream, and counts as old as a large fleet's.
LoadPattern largeFleetWithSurge()
{
    auto pattern = smallFleetWithSurge();
    pattern.daemons = 147;
    pattern.upstreams = 90;
    pattern.requestsPerSecond = 1350;
    for (auto& kind : pattern.kinds)
        kind.contexts *= 5;
    pattern.countsInterval = Milliseconds(700);
    pattern.countsAge = Milliseconds(1000);
    return pattern;
}

void checkSurge(LoadPattern pattern, std::string const& name, double minInTimeAfterwards)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        pattern.admitsAll = true;
        auto const ungated = FleetSimulation(pattern, {}, seed).simulate();
        pattern.admitsAll = false;
        auto const gated = FleetSimulation(pattern, {}, seed).simulate();
        BOOST_TEST_MESSAGE(name << ", seed " << seed << ": in time in the surge " << ungated.inTimeShare(10, 18) << " without admission control, " << gated.inTimeShare(10, 18) << " with " << gated.refusedShare(10, 18) << " refused; in the four seconds after it " << ungated.inTimeShare(18, 22) << ", " << gated.inTimeShare(18, 22));
        BOOST_TEST(gated.refusedShare(5, 10) < 0.002);
        BOOST_TEST(gated.inTimeShare(10, 18) > ungated.inTimeShare(10, 18) + 0.1);
        BOOST_TEST(gated.inTimeShare(18, 22) > minInTimeAfterwards);
    }
}

}

// A third of the upstreams is five times slower, with 1.5 times the traffic. The limits guard
// against a regression.
void checkSlowThird(LoadPattern pattern, std::string const& name, double minInTime)
{
    pattern.slowUpstreams = pattern.upstreams / 3;
    pattern.slowdownFactor = 5;
    pattern.slowFromSecond = 10;
    pattern.slowUntilSecond = 18;
    pattern.surgeFactor = 1.5;
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        auto const outcome = FleetSimulation(pattern, {}, seed).simulate();
        BOOST_TEST_MESSAGE(name << ", a third slow, seed " << seed << ": in time " << outcome.inTimeShare(10, 18) << ", refused " << outcome.refusedShare(10, 18) << ", in the four seconds after it " << outcome.inTimeShare(18, 22));
        BOOST_TEST(outcome.inTimeShare(10, 18) > minInTime);
        BOOST_TEST(outcome.inTimeShare(18, 22) > minInTime);
    }
}

BOOST_AUTO_TEST_SUITE(SurgeTests)

BOOST_AUTO_TEST_CASE(ASurgeBeyondAllPlacesOfASmallFleet)
{
    checkSurge(smallFleetWithSurge(), "small fleet", 0.9);
}

BOOST_AUTO_TEST_CASE(ASurgeBeyondAllPlacesOfALargeFleet)
{
    // With counts 1.5 s old the gate refuses requests a little longer after the surge.
    checkSurge(largeFleetWithSurge(), "large fleet", 0.8);
}

BOOST_AUTO_TEST_CASE(AThirdOfASmallFleetsUpstreamsIsSlow)
{
    checkSlowThird(smallFleetWithSurge(), "small fleet", 0.9);
}

BOOST_AUTO_TEST_CASE(AThirdOfALargeFleetsUpstreamsIsSlow)
{
    // The counts reflect the slowdown 1.5 s late.
    checkSlowThird(largeFleetWithSurge(), "large fleet", 0.85);
}

BOOST_AUTO_TEST_SUITE_END()

#include <LoadPatterns/Patterns.h>

#include <boost/test/unit_test.hpp>

namespace Stagepost::LoadPatterns {

LoadPattern largeFleet()
{
    LoadPattern pattern;
    pattern.kinds = { { 0.23, 287, 1.1, 10500 }, { 0.41, 513, 0.95, 700 }, { 0.36, 991, 0.12, 2000 } };
    // The values that TestMembership finds for a fleet of this size.
    pattern.countsInterval = Milliseconds(700);
    pattern.countsAge = Milliseconds(920);
    return pattern;
}

LoadPattern smallFleet()
{
    LoadPattern pattern;
    pattern.daemons = 6;
    pattern.upstreams = 9;
    pattern.requestsPerSecond = 46;
    pattern.kinds = { { 0.23, 17, 1.6, 10500 }, { 0.41, 30, 1.2, 700 }, { 0.36, 58, 0.15, 2000 } };
    pattern.countsInterval = Milliseconds(500);
    pattern.countsAge = Milliseconds(500);
    return pattern;
}

LoadPattern fleetOfThreeHalls()
{
    LoadPattern pattern;
    pattern.daemons = 73;
    pattern.upstreams = 90;
    pattern.requestsPerSecond = 435;
    pattern.kinds = { { 0.18, 312, 1.6, 10500, 1.2, 1, 1300 }, { 0.55, 371, 1.2, 700, 0.5, 0, 130 }, { 0.27, 477, 0.15, 2000, 0.6, 2, 360 } };
    pattern.countsInterval = Milliseconds(500);
    pattern.countsAge = Milliseconds(600);
    pattern.batchPercent = 12;
    pattern.startsBeforeTraffic = true;
    pattern.modelsPrefill = true;
    pattern.asksOwners = true;
    return pattern;
}

LoadPattern largeFleetAtStart()
{
    auto pattern = largeFleet();
    pattern.kinds = { { 0.23, 287, 1.1, 10500, 1.2, 1, 1300 }, { 0.41, 513, 0.95, 700, 0.6, 0, 130 }, { 0.36, 991, 0.05, 2000, 0.8, 2, 360 } };
    pattern.seconds = 9;
    pattern.startsBeforeTraffic = true;
    pattern.batchPercent = 12;
    pattern.modelsPrefill = true;
    pattern.asksOwners = true;
    return pattern;
}

void checkBound(LoadPattern const& pattern, std::string const& name, size_t fromSecond, double limit, uint64_t seeds)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        auto const outcome = FleetSimulation(pattern, {}, seed).simulate();
        BOOST_TEST_MESSAGE(name << ", seed " << seed << ": beyond the bound " << outcome.worstBeyondBound(fromSecond) << " in the worst five seconds, reused " << outcome.reusedShare(fromSecond));
        BOOST_TEST(outcome.worstBeyondBound(fromSecond) < limit);
    }
}

}

#include <LoadPatterns/StreamFleet.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;
using namespace Stagepost::LoadPatterns;

namespace {

// What the users allow of any five seconds, where it is more than a few requests.
constexpr double allowedBeyondBound = 0.03;
// In a calm time a third of that is left to what the pattern does not show.
constexpr double tolerableInCalm = 0.02;
// Half of it where traffic begins, of which the pattern shows less than there is.
constexpr double tolerableAtStart = 0.015;

// Of 295 daemons each sends some two requests a second, and nearly all of an
// upstream's load is known a second or two late, while an answer takes less.
StreamPattern largeFleet()
{
    StreamPattern pattern;
    pattern.kinds = { { 0.23, 287, 1.1, 10500 }, { 0.41, 513, 0.95, 700 }, { 0.36, 991, 0.12, 2000 } };
    // As TestMembership finds them for a fleet of this size.
    pattern.countsInterval = Milliseconds(700);
    pattern.countsAge = Milliseconds(920);
    return pattern;
}

// Six daemons whose counts are half a second old.
StreamPattern smallFleet()
{
    StreamPattern pattern;
    pattern.daemons = 6;
    pattern.upstreams = 9;
    pattern.requestsPerSecond = 46;
    pattern.kinds = { { 0.23, 17, 1.6, 10500 }, { 0.41, 30, 1.2, 700 }, { 0.36, 58, 0.15, 2000 } };
    pattern.countsInterval = Milliseconds(500);
    pattern.countsAge = Milliseconds(500);
    return pattern;
}

ServicePlacement::Bounds usersBounds()
{
    return {};
}

// The first seconds of a large fleet: nobody has read anything yet, engines that read
// hold up their streams, and requests come in clumps.
StreamPattern startOfALargeFleet()
{
    auto pattern = largeFleet();
    pattern.kinds = { { 0.23, 287, 1.1, 10500, 1.2, 1, 1300 }, { 0.41, 513, 0.95, 700, 0.6, 0, 130 }, { 0.36, 991, 0.05, 2000, 0.8, 2, 360 } };
    pattern.seconds = 9;
    pattern.runsBeforeTraffic = true;
    pattern.clumpShare = 12;
    pattern.readsLikeEngines = true;
    return pattern;
}

void play(StreamPattern const& pattern, std::string const& name, size_t fromSecond, double tolerable, uint64_t seeds = 4)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        auto const outcome = StreamFleet(pattern, usersBounds(), seed).play();
        BOOST_TEST_MESSAGE(name << ", seed " << seed << ": beyond the bound " << outcome.worstBeyondBound(fromSecond) << " in the worst five seconds, reused " << outcome.reusedShare(fromSecond));
        BOOST_TEST(outcome.worstBeyondBound(fromSecond) < tolerable);
    }
}

}

BOOST_AUTO_TEST_SUITE(BoundOnLoadTests)

BOOST_AUTO_TEST_CASE(ALargeFleetKeepsTheBoundInACalmTime)
{
    play(largeFleet(), "large fleet", 5, tolerableInCalm);
}

BOOST_AUTO_TEST_CASE(ALargeFleetKeepsTheBoundFromItsFirstSecond)
{
    play(largeFleet(), "large fleet, cold", 0, allowedBeyondBound);
}

// The daemons wait for their traffic, which comes in clumps: until they have told one
// another of it, each upstream gets whatever its contexts draw. With nothing done about
// it 1.7 to 2.0 in 100 requests go beyond the bound here, and 2.6 where long prompts
// keep all other requests of an upstream waiting (the logs of 295 daemons).
BOOST_AUTO_TEST_CASE(ALargeFleetKeepsTheBoundWhenItsTrafficBegins)
{
    auto pattern = largeFleet();
    pattern.seconds = 7;
    pattern.runsBeforeTraffic = true;
    pattern.clumpShare = 12;
    play(pattern, "large fleet, traffic begins", 0, tolerableAtStart);
}

// A fleet of 295 daemons sent 144 of 3,426 requests of five seconds, from its first second
// on, to upstreams that held more than twice the mean and three more. All daemons went by
// counts one by one and believed them to be 0.2 to 0.9 s old; in truth they were older than
// requests stay. So one upstream got ten requests a second until it held 15 (the mean was
// 4.1), then none for 1.1 s, then ten a second again. Its last request before the gap, which
// was sent at 5.25 s, and its first one after it, sent at 6.40 s:
//     5.3914 event=request outcome=answered ... placed_by=count counts_age_ms=775 hold_ms=801 took_us=137794
//     7.3107 event=request outcome=answered ... placed_by=count counts_age_ms=1026 hold_ms=1065 took_us=914369
BOOST_AUTO_TEST_CASE(ALargeFleetKeepsTheBoundWhileAllContextsAreReadFirst)
{
    play(startOfALargeFleet(), "large fleet, all contexts read first", 0, tolerableAtStart, 20);
}

BOOST_AUTO_TEST_CASE(ALargeFleetKeepsTheBoundWithOneContextThatAllAskFor)
{
    auto pattern = largeFleet();
    pattern.hot = HotContext { 0.06, 10, 20 };
    play(pattern, "large fleet, one hot context", 5, allowedBeyondBound);
}

// A rush is known after a second and a half, and spread by then.
BOOST_AUTO_TEST_CASE(ALargeFleetSpreadsOneContextThatAllAskForWithinThreeSeconds)
{
    auto pattern = largeFleet();
    pattern.hot = HotContext { 0.06, 10, 20 };
    play(pattern, "large fleet, three seconds into a hot context", 13, allowedBeyondBound);
}

BOOST_AUTO_TEST_CASE(ASmallFleetKeepsTheBound)
{
    play(smallFleet(), "small fleet", 5, tolerableInCalm);
}

BOOST_AUTO_TEST_SUITE_END()

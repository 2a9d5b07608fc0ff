#include <LoadPatterns/Patterns.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;
using namespace Stagepost::LoadPatterns;

BOOST_AUTO_TEST_SUITE(BoundOnLoadTests)

BOOST_AUTO_TEST_CASE(ALargeFleetKeepsTheBoundInACalmTime)
{
    checkBound(largeFleet(), "large fleet", 5, maxBeyondBoundInCalm);
}

BOOST_AUTO_TEST_CASE(ALargeFleetKeepsTheBoundFromItsFirstSecond)
{
    checkBound(largeFleet(), "large fleet, cold", 0, maxBeyondBound);
}

// Idle daemons receive batches of requests: until they have exchanged counts, each upstream gets all
// requests for its contexts. Without a countermeasure 1.7 to 2.0 % of the requests exceed the bound
// in this simulation, and 2.6 % if long prompts delay all other requests of an upstream (from the
// logs of 295 daemons).
BOOST_AUTO_TEST_CASE(ALargeFleetKeepsTheBoundWhenItsTrafficBegins)
{
    auto pattern = largeFleet();
    pattern.seconds = 7;
    pattern.startsBeforeTraffic = true;
    pattern.batchPercent = 12;
    pattern.asksOwners = true;
    checkBound(pattern, "large fleet, traffic begins", 0, maxBeyondBoundAtStart);
}

// Guards against oscillation from outdated counts. In its first five seconds a fleet of 295 daemons
// sent 144 of 3,426 requests to upstreams beyond the bound (twice the mean plus three). All daemons
// placed by counts that they took to be 0.2 to 0.9 s old but that were older than a request lasts.
// One upstream got ten requests per second until it held 15 (mean 4.1), none for 1.1 s, then ten per
// second again. Its last request before the gap, sent at 5.25 s, and its first after it, at 6.40 s:
//     5.3914 event=request outcome=answered ... placed_by=count counts_age_ms=775 hold_ms=801 took_us=137794
//     7.3107 event=request outcome=answered ... placed_by=count counts_age_ms=1026 hold_ms=1065 took_us=914369
// With the age known, all daemons placed by shares and 51 of 3,430 requests exceeded the bound,
// because requests sent within the age of the counts remain unknown. With the upstream's owner asked
// before each send, none of 3,397 did.
BOOST_AUTO_TEST_CASE(ALargeFleetKeepsTheBoundWhileAllContextsAreReadFirst)
{
    checkBound(largeFleetAtStart(), "large fleet, all contexts read first", 0, maxBeyondBoundAtStart, 20);
}

BOOST_AUTO_TEST_CASE(ALargeFleetKeepsTheBoundWithOneContextThatAllAskFor)
{
    auto pattern = largeFleet();
    pattern.hot = HotContext { 0.06, 10, 20 };
    pattern.asksOwners = true;
    checkBound(pattern, "large fleet, one hot context", 5, maxBeyondBound);
}

// A surge appears in the counts after 1.5 s and must be spread by then.
BOOST_AUTO_TEST_CASE(ALargeFleetSpreadsOneContextThatAllAskForWithinThreeSeconds)
{
    auto pattern = largeFleet();
    pattern.hot = HotContext { 0.06, 10, 20 };
    pattern.asksOwners = true;
    checkBound(pattern, "large fleet, three seconds into a hot context", 13, maxBeyondBound);
}

BOOST_AUTO_TEST_CASE(ASmallFleetKeepsTheBound)
{
    checkBound(smallFleet(), "small fleet", 5, maxBeyondBoundInCalm);
}

BOOST_AUTO_TEST_SUITE_END()

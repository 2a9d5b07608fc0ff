#include <boost/test/unit_test.hpp>
#include <stagepostd/StallDetector.h>

using namespace Stagepost;

namespace {

Instant at(double seconds)
{
    return Instant(Microseconds(static_cast<int64_t>(seconds * 1e6)));
}

struct World {
    World() { detector.start(at(100)); }

    Metrics metrics;
    StallDetector detector { metrics, { Milliseconds(100), Seconds(2) } };
};

}

BOOST_AUTO_TEST_SUITE(StallDetectorTests)

BOOST_AUTO_TEST_CASE(TimelyChecksDetectNoStall)
{
    World world;
    BOOST_TEST(world.detector.check(at(100.05), 0).count() == 0);
    BOOST_TEST(world.detector.tick(at(100.1), 0).count() == 0);
    BOOST_TEST(world.detector.tick(at(100.24), 0).count() == 0);
    BOOST_TEST(!world.detector.needsRevalidation({}, at(100.24)));
}

// A request between two ticks can detect the stall. Each stall is reported once.
BOOST_AUTO_TEST_CASE(FirstCheckReportsTheStallOnce)
{
    World world;
    BOOST_TEST(world.detector.check(at(103), 1).count() == 2900000);
    BOOST_TEST(world.detector.check(at(103), 1).count() == 0);
    BOOST_TEST(world.detector.tick(at(103.05), 1).count() == 0);
}

BOOST_AUTO_TEST_CASE(StateFromBeforeALongStallNeedsRevalidation)
{
    World world;
    world.detector.check(at(103), 0);
    BOOST_TEST(world.detector.needsRevalidation({}, at(103.1)));
    BOOST_TEST(world.detector.needsRevalidation(at(102.9), at(103.1)));
    BOOST_TEST(!world.detector.needsRevalidation(at(103.05), at(103.1)));
}

BOOST_AUTO_TEST_CASE(RevalidationTimesOutAfterASecond)
{
    World world;
    world.detector.check(at(103), 0);
    BOOST_TEST(!world.detector.needsRevalidation(at(99), at(104.1)));
}

BOOST_AUTO_TEST_CASE(ShortStallNeedsNoRevalidation)
{
    World world;
    BOOST_TEST(world.detector.check(at(101), 0).count() == 900000);
    BOOST_TEST(!world.detector.needsRevalidation(at(100), at(101)));
}

BOOST_AUTO_TEST_SUITE_END()

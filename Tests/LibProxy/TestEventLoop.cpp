#include <LibProxy/EventLoop.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

BOOST_AUTO_TEST_SUITE(EventLoopTests)

// stagepostctl runs the loop once per request. If no work was left when a run ended, the
// next run returned immediately, and the next response was written into the stack frame
// of a function that had returned.
BOOST_AUTO_TEST_CASE(RunsAgainAfterItsWorkIsDone)
{
    EventLoop loop;
    size_t runs = 0;
    for (size_t round = 1; round <= 3; ++round) {
        loop.post([&] {
            ++runs;
            loop.stop();
        });
        loop.run();
        BOOST_TEST(runs == round);
    }
    loop.runFor(Milliseconds(1));
    loop.post([&] {
        ++runs;
        loop.stop();
    });
    loop.run();
    BOOST_TEST(runs == 4u);
}

BOOST_AUTO_TEST_CASE(StopBeforeRunEndsTheRun)
{
    EventLoop loop;
    loop.stop();
    bool hasRun = false;
    loop.post([&] { hasRun = true; });
    loop.run();
    BOOST_TEST(!hasRun);
    loop.runFor(Milliseconds(5));
    BOOST_TEST(hasRun);
}

BOOST_AUTO_TEST_SUITE_END()

#include <LibProxy/EventLoop.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

BOOST_AUTO_TEST_SUITE(EventLoopTests)

// The operator's tool makes one call after the other, each with a run of the loop that
// ends with its answer. Where nothing else was left to do at that moment, the next run
// ended at once, and the next call's answer was written into a function that had returned.
BOOST_AUTO_TEST_CASE(ALoopThatHasNothingLeftRunsAgain)
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

BOOST_AUTO_TEST_CASE(AStopBeforeTheRunEndsIt)
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

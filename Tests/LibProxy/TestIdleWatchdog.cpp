#include <LibProxy/Detail/IdleWatchdog.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

BOOST_AUTO_TEST_SUITE(IdleWatchdogTests)

BOOST_AUTO_TEST_CASE(ExpiresWhenTheCallbackStopsExtending)
{
    Net::io_context context;
    int calls = 0;
    int expired = 0;
    IdleWatchdog watchdog(context, Milliseconds(1), std::nullopt, [&] { ++expired; });
    watchdog.setExtendCallback([&] { return ++calls < 3; });
    context.run();
    BOOST_TEST(calls == 3);
    BOOST_TEST(expired == 1);
    BOOST_TEST(watchdog.hasExpired());
    BOOST_TEST(!watchdog.hasReachedDeadline());
}

BOOST_AUTO_TEST_CASE(DeadlineIsNotExtended)
{
    Net::io_context context;
    int expired = 0;
    auto const deadline = IdleWatchdog::Clock::now() + Milliseconds(20);
    IdleWatchdog watchdog(context, Milliseconds(1), deadline, [&] { ++expired; });
    watchdog.setExtendCallback([] { return true; });
    context.run();
    BOOST_TEST(expired == 1);
    BOOST_TEST(watchdog.hasReachedDeadline());
}

BOOST_AUTO_TEST_SUITE_END()

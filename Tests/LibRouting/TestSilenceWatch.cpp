#include <LibRouting/Routing.h>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace Stagepost;

namespace {

HallId const north(1);
HallId const south(2);

Instant at(double seconds)
{
    return Instant(Microseconds(static_cast<int64_t>(seconds * 1e6)));
}

// Answers that begin after 60 to 100 ms: what a sound upstream usually takes.
void seeUsualAnswers(SilenceWatch& watch, UpstreamId upstream, HallId hall, double until)
{
    for (int answer = 20; answer > 0; --answer) {
        auto const sentAt = until - answer * 0.1;
        watch.sent(upstream, hall, at(sentAt));
        watch.answerBegan(upstream, Milliseconds(60 + 10 * (answer % 5)), at(sentAt + 0.08));
        watch.ended(upstream, at(sentAt + 0.08));
    }
}

// A request that finds no connection.
void failToConnect(SilenceWatch& watch, UpstreamId upstream, HallId hall, double sentAt, double endedAt)
{
    watch.sent(upstream, hall, at(sentAt));
    watch.unreached(upstream);
    watch.ended(upstream, at(endedAt));
}

ServicePlacement placementWith(SilenceWatch const& watch)
{
    return { {}, watch, [engine = std::mt19937_64(1)]() mutable { return engine(); } };
}

}

BOOST_AUTO_TEST_SUITE(SilenceWatchTests)

BOOST_AUTO_TEST_CASE(AnUpstreamIsSilentOnceAnAnswerIsOverdue)
{
    SilenceWatch watch;
    seeUsualAnswers(watch, UpstreamId(1), north, 10);
    BOOST_TEST(watch.patience().count() > 100000);
    BOOST_TEST(watch.patience().count() < 250000);
    watch.sent(UpstreamId(1), north, at(10));
    BOOST_TEST(!watch.isSilent(UpstreamId(1), at(10.09)));
    BOOST_TEST(watch.isSilent(UpstreamId(1), at(10.3)));
    watch.answerBegan(UpstreamId(1), Milliseconds(310), at(10.31));
    BOOST_TEST(!watch.isSilent(UpstreamId(1), at(10.31)));
}

BOOST_AUTO_TEST_CASE(AStreamThatPausesIsSilentAndOneThatGoesOnIsNot)
{
    SilenceWatch watch;
    watch.sent(UpstreamId(1), north, at(10));
    watch.answerBegan(UpstreamId(1), Milliseconds(80), at(10.08));
    for (int event = 1; event <= 20; ++event)
        watch.answerWentOn(UpstreamId(1), Milliseconds(50), at(10.08 + event * 0.05));
    BOOST_TEST(!watch.isSilent(UpstreamId(1), at(11.1)));
    BOOST_TEST(watch.isSilent(UpstreamId(1), at(12)));
}

// A daemon that was suspended for ten seconds must not take the whole fleet of upstreams for gone.
BOOST_AUTO_TEST_CASE(TimeInWhichThisDaemonStoodStillIsNoSilence)
{
    SilenceWatch watch;
    for (uint64_t number = 1; number <= 3; ++number) {
        seeUsualAnswers(watch, UpstreamId(number), north, 10);
        watch.sent(UpstreamId(number), north, at(10));
    }
    BOOST_TEST((watch.reach(north, at(20.05)) != Reach::Heard));
    watch.stoodStill(Seconds(10));
    BOOST_TEST((watch.reach(north, at(20.05)) == Reach::Heard));
    BOOST_TEST(watch.isSilent(UpstreamId(1), at(20.4)));
}

BOOST_AUTO_TEST_CASE(SlowUpstreamsAreNotSilent)
{
    SilenceWatch watch;
    for (int answer = 0; answer < 30; ++answer)
        watch.answerBegan(UpstreamId(1), Milliseconds(900 + 50 * (answer % 4)), at(answer));
    watch.sent(UpstreamId(1), north, at(40));
    BOOST_TEST(!watch.isSilent(UpstreamId(1), at(41)));
}

BOOST_AUTO_TEST_CASE(ARequestThatIsGivenUpUnheardLeavesTheDoubt)
{
    SilenceWatch watch;
    watch.sent(UpstreamId(1), north, at(10));
    watch.ended(UpstreamId(1), at(12));
    BOOST_TEST(watch.isSilent(UpstreamId(1), at(20)));
    watch.sent(UpstreamId(1), north, at(20));
    watch.connected(UpstreamId(1), at(20.01));
    BOOST_TEST(!watch.isSilent(UpstreamId(1), at(20.02)));
    // One whose caller left soon leaves none.
    watch.ended(UpstreamId(1), at(20.05));
    BOOST_TEST(!watch.isSilent(UpstreamId(1), at(30)));
}

BOOST_AUTO_TEST_CASE(OneSilentUpstreamIsNoSilentHall)
{
    SilenceWatch watch;
    watch.sent(UpstreamId(1), north, at(10));
    BOOST_TEST((watch.reach(north, at(11)) == Reach::Heard));
    watch.sent(UpstreamId(2), north, at(10.9));
    watch.connected(UpstreamId(2), at(10.95));
    BOOST_TEST((watch.reach(north, at(11)) == Reach::Heard));
}

BOOST_AUTO_TEST_CASE(AHallOfWhichNothingIsHeardIsLeftButForATrialNowAndThen)
{
    SilenceWatch watch;
    for (uint64_t upstream : { 1, 2 })
        watch.sent(UpstreamId(upstream), north, at(10));
    watch.sent(UpstreamId(5), south, at(10));
    watch.answerBegan(UpstreamId(5), Milliseconds(80), at(10.4));
    // The first request after it was noticed is a trial.
    BOOST_TEST((watch.reach(north, at(10.5)) == Reach::Doubtful));
    BOOST_TEST((watch.reach(south, at(10.5)) == Reach::Heard));
    failToConnect(watch, UpstreamId(3), north, 10.5, 10.54);
    BOOST_TEST((watch.reach(north, at(10.6)) == Reach::Silent));
    BOOST_TEST((watch.reach(north, at(10.95)) == Reach::Doubtful));
    watch.sent(UpstreamId(4), north, at(10.95));
    watch.connected(UpstreamId(4), at(10.96));
    BOOST_TEST((watch.reach(north, at(10.96)) == Reach::Heard));
}

BOOST_AUTO_TEST_CASE(ConnectionsThatDoNotComeUpAreSilenceAtOnce)
{
    SilenceWatch watch;
    for (uint64_t upstream : { 1, 2 })
        failToConnect(watch, UpstreamId(upstream), north, 10, 10.04);
    BOOST_TEST((watch.reach(north, at(10.05)) != Reach::Heard));
    watch.forget(UpstreamId(1));
    BOOST_TEST((watch.reach(north, at(10.05)) == Reach::Heard));
}

// Placement.

BOOST_AUTO_TEST_CASE(ContextsLeaveASilentHallAndReturnToIt)
{
    SilenceWatch watch;
    auto placement = placementWith(watch);
    for (uint64_t number = 1; number <= 8; ++number)
        placement.putUpstream({ UpstreamId(number), false, 8, false, number <= 4 ? north : south });
    auto const inNorth = [&](double now) {
        size_t count = 0;
        for (uint64_t context = 1; context <= 100; ++context) {
            ServicePlacement::Wish wish;
            wish.context = context;
            count += placement.choose(wish, at(now))->upstream.value() <= 4 ? 1 : 0;
        }
        return count;
    };
    BOOST_TEST(inNorth(10) > 30u);
    for (uint64_t upstream : { 1, 2, 3 })
        failToConnect(watch, UpstreamId(upstream), north, 10, 10.05);
    // The trial is under way.
    watch.sent(UpstreamId(4), north, at(10.1));
    BOOST_TEST(inNorth(10.2) == 0u);
    watch.connected(UpstreamId(4), at(10.3));
    BOOST_TEST(inNorth(10.31) > 30u);
}

BOOST_AUTO_TEST_CASE(NoSilentUpstreamIsNamedAsTheSourceOfAContext)
{
    SilenceWatch watch;
    auto placement = placementWith(watch);
    for (uint64_t number = 1; number <= 6; ++number)
        placement.putUpstream({ UpstreamId(number), false, 8, false, number <= 2 ? north : south });
    // Its hall has others that are heard.
    watch.sent(UpstreamId(6), south, at(9));
    for (uint64_t upstream : { 1, 2 })
        failToConnect(watch, UpstreamId(upstream), north, 10, 10.05);
    watch.sent(UpstreamId(3), south, at(10));
    watch.answerBegan(UpstreamId(3), Milliseconds(60), at(10.06));
    for (uint64_t context = 1; context <= 50; ++context) {
        ServicePlacement::Wish wish;
        wish.context = context;
        auto const source = placement.choose(wish, at(10.1))->contextSource->value();
        BOOST_TEST((source >= 3 && source <= 5));
    }
}

BOOST_AUTO_TEST_CASE(WhereEveryHallIsSilentAnyUpstreamIsTried)
{
    SilenceWatch watch;
    auto placement = placementWith(watch);
    for (uint64_t number = 1; number <= 2; ++number) {
        placement.putUpstream({ UpstreamId(number), false, 8, false, north });
        watch.sent(UpstreamId(number), north, at(10));
    }
    watch.sent(UpstreamId(1), north, at(10.9));
    auto const choice = placement.choose({}, at(11));
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->isInDoubt);
}

BOOST_AUTO_TEST_CASE(WhatOnlyFailedToConnectMayBeTriedByAnyRequest)
{
    ServicePlacement::Wish once;
    SilenceWatch watch;
    auto placement = placementWith(watch);
    for (uint64_t number = 1; number <= 2; ++number)
        placement.putUpstream({ UpstreamId(number), false, 8, false, HallId(number) });
    for (int failure = 0; failure < 2; ++failure) {
        placement.started(UpstreamId(1));
        placement.finished(UpstreamId(1), SendOutcome::Unreachable, {}, {}, at(10));
    }
    BOOST_TEST((placement.choose(once, at(10.1))->upstream == UpstreamId(2)));
    auto const trial = placement.choose(once, at(10.9));
    BOOST_TEST((trial->upstream == UpstreamId(1)));
    BOOST_TEST(trial->isInDoubt);
}

BOOST_AUTO_TEST_SUITE_END()

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

// Adds answers that start after 60 to 100 ms, as those of a healthy upstream.
void addNormalAnswers(SilenceDetector& detector, UpstreamId upstream, HallId hall, double until)
{
    for (int answer = 20; answer > 0; --answer) {
        auto const sentAt = until - answer * 0.1;
        detector.sent(upstream, hall, at(sentAt));
        detector.answerStarted(upstream, Milliseconds(60 + 10 * (answer % 5)), at(sentAt + 0.08));
        detector.ended(upstream, at(sentAt + 0.08));
    }
}

// Adds a request for which no connection is established.
void addFailedConnection(SilenceDetector& detector, UpstreamId upstream, HallId hall, double sentAt, double endedAt)
{
    detector.sent(upstream, hall, at(sentAt));
    detector.connectFailed(upstream);
    detector.ended(upstream, at(endedAt));
}

ServicePlacement placementWith(SilenceDetector const& detector)
{
    return { {}, detector, [engine = std::mt19937_64(1)]() mutable { return engine(); } };
}

}

BOOST_AUTO_TEST_SUITE(SilenceDetectorTests)

BOOST_AUTO_TEST_CASE(AnUpstreamIsSilentOnceAnAnswerIsOverdue)
{
    SilenceDetector detector;
    addNormalAnswers(detector, UpstreamId(1), north, 10);
    BOOST_TEST(detector.timeout().count() > 100000);
    BOOST_TEST(detector.timeout().count() < 250000);
    detector.sent(UpstreamId(1), north, at(10));
    BOOST_TEST(!detector.isSilent(UpstreamId(1), at(10.09)));
    BOOST_TEST(detector.isSilent(UpstreamId(1), at(10.3)));
    detector.answerStarted(UpstreamId(1), Milliseconds(310), at(10.31));
    BOOST_TEST(!detector.isSilent(UpstreamId(1), at(10.31)));
}

BOOST_AUTO_TEST_CASE(AStalledStreamIsSilentAndAContinuingOneIsNot)
{
    SilenceDetector detector;
    detector.sent(UpstreamId(1), north, at(10));
    detector.answerStarted(UpstreamId(1), Milliseconds(80), at(10.08));
    for (int event = 1; event <= 20; ++event)
        detector.answerContinued(UpstreamId(1), Milliseconds(50), at(10.08 + event * 0.05));
    BOOST_TEST(!detector.isSilent(UpstreamId(1), at(11.1)));
    BOOST_TEST(detector.isSilent(UpstreamId(1), at(12)));
}

// A daemon that was suspended for ten seconds must not consider all upstreams silent.
BOOST_AUTO_TEST_CASE(ASuspensionOfThisDaemonIsNotSilence)
{
    SilenceDetector detector;
    for (uint64_t number = 1; number <= 3; ++number) {
        addNormalAnswers(detector, UpstreamId(number), north, 10);
        detector.sent(UpstreamId(number), north, at(10));
    }
    BOOST_TEST((detector.reach(north, at(20.05)) != Reach::Reachable));
    detector.excludePause(Seconds(10));
    BOOST_TEST((detector.reach(north, at(20.05)) == Reach::Reachable));
    BOOST_TEST(detector.isSilent(UpstreamId(1), at(20.4)));
}

BOOST_AUTO_TEST_CASE(SlowUpstreamsAreNotSilent)
{
    SilenceDetector detector;
    for (int answer = 0; answer < 30; ++answer)
        detector.answerStarted(UpstreamId(1), Milliseconds(900 + 50 * (answer % 4)), at(answer));
    detector.sent(UpstreamId(1), north, at(40));
    BOOST_TEST(!detector.isSilent(UpstreamId(1), at(41)));
}

BOOST_AUTO_TEST_CASE(AnUpstreamStaysSilentAfterItsUnansweredRequestEnds)
{
    SilenceDetector detector;
    detector.sent(UpstreamId(1), north, at(10));
    detector.ended(UpstreamId(1), at(12));
    BOOST_TEST(detector.isSilent(UpstreamId(1), at(20)));
    detector.sent(UpstreamId(1), north, at(20));
    detector.connected(UpstreamId(1), at(20.01));
    BOOST_TEST(!detector.isSilent(UpstreamId(1), at(20.02)));
    // A request whose caller disconnects soon doesn't make the upstream silent.
    detector.ended(UpstreamId(1), at(20.05));
    BOOST_TEST(!detector.isSilent(UpstreamId(1), at(30)));
}

BOOST_AUTO_TEST_CASE(OneSilentUpstreamDoesNotMakeAHallSilent)
{
    SilenceDetector detector;
    detector.sent(UpstreamId(1), north, at(10));
    BOOST_TEST((detector.reach(north, at(11)) == Reach::Reachable));
    detector.sent(UpstreamId(2), north, at(10.9));
    detector.connected(UpstreamId(2), at(10.95));
    BOOST_TEST((detector.reach(north, at(11)) == Reach::Reachable));
}

BOOST_AUTO_TEST_CASE(ASilentHallGetsOnlyOccasionalTrials)
{
    SilenceDetector detector;
    for (uint64_t upstream : { 1, 2 })
        detector.sent(UpstreamId(upstream), north, at(10));
    detector.sent(UpstreamId(5), south, at(10));
    detector.answerStarted(UpstreamId(5), Milliseconds(80), at(10.4));
    // The first request after the hall became silent is a trial.
    BOOST_TEST((detector.reach(north, at(10.5)) == Reach::TrialDue));
    BOOST_TEST((detector.reach(south, at(10.5)) == Reach::Reachable));
    addFailedConnection(detector, UpstreamId(3), north, 10.5, 10.54);
    BOOST_TEST((detector.reach(north, at(10.6)) == Reach::Silent));
    BOOST_TEST((detector.reach(north, at(10.95)) == Reach::TrialDue));
    detector.sent(UpstreamId(4), north, at(10.95));
    detector.connected(UpstreamId(4), at(10.96));
    BOOST_TEST((detector.reach(north, at(10.96)) == Reach::Reachable));
}

BOOST_AUTO_TEST_CASE(FailedConnectionsAreSilenceAtOnce)
{
    SilenceDetector detector;
    for (uint64_t upstream : { 1, 2 })
        addFailedConnection(detector, UpstreamId(upstream), north, 10, 10.04);
    BOOST_TEST((detector.reach(north, at(10.05)) != Reach::Reachable));
    detector.remove(UpstreamId(1));
    BOOST_TEST((detector.reach(north, at(10.05)) == Reach::Reachable));
}

// Placement with a silence detector.

BOOST_AUTO_TEST_CASE(ContextsLeaveASilentHallAndReturnToIt)
{
    SilenceDetector detector;
    auto placement = placementWith(detector);
    for (uint64_t number = 1; number <= 8; ++number)
        placement.putUpstream({ UpstreamId(number), false, 8, false, number <= 4 ? north : south });
    auto const inNorth = [&](double now) {
        size_t count = 0;
        for (uint64_t context = 1; context <= 100; ++context) {
            ServicePlacement::Request request;
            request.context = context;
            count += placement.choose(request, at(now))->upstream.value() <= 4 ? 1 : 0;
        }
        return count;
    };
    BOOST_TEST(inNorth(10) > 30u);
    for (uint64_t upstream : { 1, 2, 3 })
        addFailedConnection(detector, UpstreamId(upstream), north, 10, 10.05);
    // The trial is in progress.
    detector.sent(UpstreamId(4), north, at(10.1));
    BOOST_TEST(inNorth(10.2) == 0u);
    detector.connected(UpstreamId(4), at(10.3));
    BOOST_TEST(inNorth(10.31) > 30u);
}

BOOST_AUTO_TEST_CASE(ASilentUpstreamIsNotUsedAsContextSource)
{
    SilenceDetector detector;
    auto placement = placementWith(detector);
    for (uint64_t number = 1; number <= 6; ++number)
        placement.putUpstream({ UpstreamId(number), false, 8, false, number <= 2 ? north : south });
    // Upstream 6 is silent, but its hall isn't.
    detector.sent(UpstreamId(6), south, at(9));
    for (uint64_t upstream : { 1, 2 })
        addFailedConnection(detector, UpstreamId(upstream), north, 10, 10.05);
    detector.sent(UpstreamId(3), south, at(10));
    detector.answerStarted(UpstreamId(3), Milliseconds(60), at(10.06));
    for (uint64_t context = 1; context <= 50; ++context) {
        ServicePlacement::Request request;
        request.context = context;
        auto const source = placement.choose(request, at(10.1))->contextSource->value();
        BOOST_TEST((source >= 3 && source <= 5));
    }
}

BOOST_AUTO_TEST_CASE(AnyUpstreamIsChosenIfAllHallsAreSilent)
{
    SilenceDetector detector;
    auto placement = placementWith(detector);
    for (uint64_t number = 1; number <= 2; ++number) {
        placement.putUpstream({ UpstreamId(number), false, 8, false, north });
        detector.sent(UpstreamId(number), north, at(10));
    }
    detector.sent(UpstreamId(1), north, at(10.9));
    auto const choice = placement.choose({}, at(11));
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->needsNewConnection);
}

BOOST_AUTO_TEST_CASE(AnyRequestMayBeTheTrialAfterFailedConnections)
{
    ServicePlacement::Request once;
    SilenceDetector detector;
    auto placement = placementWith(detector);
    for (uint64_t number = 1; number <= 2; ++number)
        placement.putUpstream({ UpstreamId(number), false, 8, false, HallId(number) });
    for (int failure = 0; failure < 2; ++failure) {
        placement.started(UpstreamId(1));
        placement.finished(UpstreamId(1), SendOutcome::ConnectFailed, {}, {}, at(10));
    }
    BOOST_TEST((placement.choose(once, at(10.1))->upstream == UpstreamId(2)));
    auto const trial = placement.choose(once, at(10.9));
    BOOST_TEST((trial->upstream == UpstreamId(1)));
    BOOST_TEST(trial->needsNewConnection);
}

// As after a partition of this daemon from all upstreams, on connections that were open before.
BOOST_AUTO_TEST_CASE(AllAreSilentOnlyWhileNoUpstreamSendsAnything)
{
    SilenceDetector detector;
    Milliseconds const limit { 400 };
    addNormalAnswers(detector, UpstreamId(1), north, 10);
    BOOST_TEST(!detector.areAllSilent(limit, at(20)));
    detector.sent(UpstreamId(1), north, at(20));
    detector.sent(UpstreamId(2), south, at(20));
    BOOST_TEST(!detector.areAllSilent(limit, at(20.1)));
    BOOST_TEST(detector.areAllSilent(limit, at(20.5)));
    detector.answerStarted(UpstreamId(2), Milliseconds(500), at(20.5));
    BOOST_TEST(!detector.areAllSilent(limit, at(20.51)));
}

BOOST_AUTO_TEST_CASE(SilenceByLostLinksIsForgotten)
{
    SilenceDetector detector;
    addNormalAnswers(detector, UpstreamId(1), north, 10);
    addFailedConnection(detector, UpstreamId(2), south, 10, 10.04);
    addFailedConnection(detector, UpstreamId(3), south, 10, 10.04);
    detector.sent(UpstreamId(1), north, at(10));
    BOOST_TEST((detector.reach(south, at(11)) != Reach::Reachable));
    BOOST_TEST(detector.isSilent(UpstreamId(1), at(11)));
    detector.forgetSilence(at(11));
    BOOST_TEST((detector.reach(south, at(11)) == Reach::Reachable));
    BOOST_TEST(!detector.isSilent(UpstreamId(1), at(11)));
}

// Otherwise the callers of a daemon whose links are back would wait for the breakers' trials.
BOOST_AUTO_TEST_CASE(UpstreamsTakeRequestsAtOnceWhenTheLinksAreBack)
{
    SilenceDetector const detector;
    auto placement = placementWith(detector);
    for (uint64_t number = 1; number <= 2; ++number) {
        placement.putUpstream({ UpstreamId(number), false, 4, false, north });
        for (int failure = 0; failure < 4; ++failure) {
            placement.started(UpstreamId(number));
            placement.finished(UpstreamId(number), SendOutcome::ConnectFailed, Microseconds(0), Microseconds(0), at(10));
        }
    }
    BOOST_TEST(placement.choose({}, at(10.1))->needsNewConnection);
    placement.forgetUnreachable();
    BOOST_TEST(!placement.choose({}, at(10.1))->needsNewConnection);
}

BOOST_AUTO_TEST_SUITE_END()

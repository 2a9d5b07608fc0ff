#include <LibRouting/Routing.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

namespace {

Instant at(double seconds)
{
    return Instant(Microseconds(static_cast<int64_t>(seconds * 1e6)));
}

struct Fixture {
    double share { 1 };
    RetryBudget budget { { 0.2, 50, Seconds(10) }, [this](Instant) { return share; } };

    RequestAttempts attempts(bool isRepeatable, size_t maxSends, bool isStream = false)
    {
        AttemptLimits limits;
        limits.isRepeatable = isRepeatable;
        limits.isStream = isStream;
        limits.maxSends = maxSends;
        limits.objective = Milliseconds(400);
        limits.gapObjective = Milliseconds(300);
        limits.deadline = at(12);
        return { limits, budget };
    }
};

FailedAttempt broken(Verdict verdict)
{
    FailedAttempt attempt;
    attempt.verdict = verdict;
    return attempt;
}

FailedAttempt rejected()
{
    FailedAttempt attempt;
    attempt.verdict = NotRunProof::upstreamSaidSo();
    attempt.isRejected = true;
    return attempt;
}

FailedAttempt unconnected()
{
    FailedAttempt attempt;
    attempt.verdict = NotRunProof::notConnected();
    attempt.isUnconnected = true;
    return attempt;
}

}

BOOST_AUTO_TEST_SUITE(RequestAttemptsTests)

BOOST_AUTO_TEST_CASE(RequestThatMayHaveRunIsSentAgainOnlyIfRepeatable)
{
    Fixture fixture;
    auto once = fixture.attempts(false, 2);
    once.recordSend();
    BOOST_TEST(!once.recordFailure(UpstreamId(1), broken(Verdict::mayHaveRun), at(10)));
    BOOST_TEST((once.verdict() == Verdict::mayHaveRun));
    auto again = fixture.attempts(true, 2);
    again.recordSend();
    BOOST_TEST(again.recordFailure(UpstreamId(1), broken(Verdict::mayHaveRun), at(10)));
    again.recordSend();
    BOOST_TEST(!again.recordFailure(UpstreamId(2), broken(Verdict::ran), at(10)));
}

// Guards against a request that is refused as not run on a path that forgot a send.
BOOST_AUTO_TEST_CASE(ASendThatHasNotEndedMayHaveRun)
{
    Fixture fixture;
    auto attempts = fixture.attempts(false, 2);
    BOOST_TEST(attempts.verdict().proofName() == "nothing-sent");
    attempts.recordSend();
    BOOST_TEST((attempts.verdict() == Verdict::mayHaveRun));
    BOOST_TEST(!attempts.mayDetour(at(10)));
    BOOST_TEST(attempts.recordFailure(UpstreamId(1), rejected(), at(10)));
    BOOST_TEST(attempts.verdict().proofName() == "upstream-said-so");
    attempts.beginDetour();
    BOOST_TEST((attempts.verdict() == Verdict::mayHaveRun));
    attempts.endDetour(NotRunProof::otherDaemonSaidSo());
    BOOST_TEST(attempts.verdict().proofName() == "other-daemon-said-so");
    attempts.recordSend();
    attempts.recordMove(UpstreamId(2));
    BOOST_TEST((attempts.verdict() == Verdict::mayHaveRun));
}

BOOST_AUTO_TEST_CASE(RejectedRequestIsSentAgainOnce)
{
    Fixture fixture;
    auto once = fixture.attempts(false, 2);
    once.recordSend();
    BOOST_TEST(once.recordFailure(UpstreamId(1), rejected(), at(10)));
    once.recordSend();
    BOOST_TEST(!once.recordFailure(UpstreamId(2), rejected(), at(10)));
    BOOST_TEST((once.verdict().isNotRun()));
}

// Guards against giving up on a request that may run once because its upstream's address was
// reassigned to another service, while there is time left and other upstreams would execute it.
BOOST_AUTO_TEST_CASE(RejectionDoesNotCountAsExecution)
{
    Fixture fixture;
    auto once = fixture.attempts(false, 1);
    once.recordSend();
    BOOST_TEST(once.recordFailure(UpstreamId(1), rejected(), at(10)));
    once.recordSend();
    BOOST_TEST(once.sends() == 1u);
    BOOST_TEST(!once.recordFailure(UpstreamId(2), broken(Verdict::mayHaveRun), at(10)));
    // A rejection doesn't use up the second execution that the route allows.
    auto again = fixture.attempts(true, 2);
    again.recordSend();
    BOOST_TEST(again.recordFailure(UpstreamId(1), broken(Verdict::ran), at(10)));
    again.recordSend();
    BOOST_TEST(again.recordFailure(UpstreamId(2), rejected(), at(10)));
    again.recordSend();
    BOOST_TEST(!again.recordFailure(UpstreamId(3), broken(Verdict::ran), at(10)));
    BOOST_TEST(again.rejections() == 1u);
}

// Guards against answers that are given up for a retry that others take first: many upstreams fall silent at the
// same moment, and each request saw the same last retry.
BOOST_AUTO_TEST_CASE(OnlyOneSilentRequestTakesTheLastRetry)
{
    Fixture fixture;
    fixture.share = 0.024;
    auto first = fixture.attempts(true, 2, true);
    auto second = fixture.attempts(true, 2, true);
    first.recordSend();
    second.recordSend();
    BOOST_TEST(second.couldSendAgain(3, at(5)));
    auto taken = first.reserveMove(3, at(5));
    BOOST_REQUIRE(taken.has_value());
    BOOST_TEST(!second.couldSendAgain(3, at(5)));
    BOOST_TEST(!second.reserveMove(3, at(5)).has_value());
    // The silent upstream has gone on.
    taken.reset();
    auto again = second.reserveMove(3, at(5));
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(second.spendMove(*again, at(5)));
    BOOST_TEST(!first.reserveMove(3, at(5)).has_value());
    second.recordMove(UpstreamId(1));
    BOOST_TEST((second.failedUpstreams() == std::vector { UpstreamId(1) }));
    BOOST_TEST((second.verdict() == Verdict::mayHaveRun));
}

// Guards against answers that are given up by one rule and could not be sent again by another.
BOOST_AUTO_TEST_CASE(SilentRequestMovesOnlyIfItMayBeSentAgain)
{
    Fixture fixture;
    auto late = fixture.attempts(true, 2, true);
    late.recordSend();
    BOOST_TEST(!late.reserveMove(3, at(11.999)).has_value());
    auto rejectedTwice = fixture.attempts(true, 3, true);
    for (size_t upstream = 1; upstream <= 2; ++upstream) {
        rejectedTwice.recordSend();
        rejectedTwice.recordFailure(UpstreamId(upstream), rejected(), at(5));
    }
    rejectedTwice.recordSend();
    BOOST_TEST(!rejectedTwice.reserveMove(5, at(5)).has_value());
    auto once = fixture.attempts(false, 1, true);
    once.recordSend();
    BOOST_TEST(!once.reserveMove(3, at(5)).has_value());
}

// Each attempt adds load, even a rejected one, so retries after rejections need budget.
BOOST_AUTO_TEST_CASE(RejectionIsFinalWithoutRetryBudget)
{
    Fixture fixture;
    fixture.share = 0;
    auto once = fixture.attempts(false, 1);
    once.recordSend();
    BOOST_TEST(!once.recordFailure(UpstreamId(1), rejected(), at(10)));
}

// Guards against requests that upstreams have rejected and that reach further ones through other daemons, beyond the
// budget of all daemons.
BOOST_AUTO_TEST_CASE(DetourOfARequestThatHasArrivedCountsAsRetry)
{
    Fixture fixture;
    auto rejectedOnce = fixture.attempts(true, 2);
    rejectedOnce.recordSend();
    rejectedOnce.recordFailure(UpstreamId(1), rejected(), at(10));
    rejectedOnce.recordSend();
    rejectedOnce.recordFailure(UpstreamId(2), unconnected(), at(10));
    BOOST_TEST(rejectedOnce.hasArrived());
    BOOST_TEST(rejectedOnce.mayDetour(at(10)));
    auto const before = fixture.budget.usage(at(10)).retries;
    rejectedOnce.recordDetourSend(at(10));
    BOOST_TEST(fixture.budget.usage(at(10)).retries == before + 1);
    fixture.share = 0;
    BOOST_TEST(!rejectedOnce.mayDetour(at(10)));
    auto neverArrived = fixture.attempts(true, 2);
    neverArrived.recordSend();
    neverArrived.recordFailure(UpstreamId(1), unconnected(), at(10));
    BOOST_TEST(!neverArrived.hasArrived());
    BOOST_TEST(neverArrived.mayDetour(at(10)));
    neverArrived.recordDetourSend(at(10));
    BOOST_TEST(fixture.budget.usage(at(10)).retries == before + 1);
}

// If all queues are long, moving to another upstream gives up the position in the queue.
BOOST_AUTO_TEST_CASE(FirstByteTimeoutGrowsWithUsualWaits)
{
    Fixture fixture;
    auto again = fixture.attempts(true, 2);
    again.recordSend();
    BOOST_TEST((again.timeouts(3, { Milliseconds(90), {} }, at(10)).firstByte == Milliseconds(200)));
    BOOST_TEST((again.timeouts(3, { Milliseconds(700), {} }, at(10)).firstByte == Milliseconds(700)));
    BOOST_TEST((again.timeouts(3, { Seconds(60), {} }, at(10)).firstByte == Milliseconds(2000)));
    // A long prompt extends the timeout up to the objective.
    BOOST_TEST((again.timeouts(3, { Milliseconds(90), Milliseconds(350) }, at(10)).firstByte == Milliseconds(350)));
    BOOST_TEST((again.timeouts(3, { Milliseconds(90), Seconds(60) }, at(10)).firstByte == Milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(ConnectFailureDoesNotCountAsSend)
{
    Fixture fixture;
    auto once = fixture.attempts(false, 1);
    size_t tried = 0;
    do {
        once.recordSend();
        ++tried;
    } while (once.recordFailure(UpstreamId(tried), unconnected(), at(10)));
    BOOST_TEST(tried == 5u);
    BOOST_TEST(once.sends() == 0u);
    BOOST_TEST((once.verdict().isNotRun()));
}

BOOST_AUTO_TEST_CASE(NoRetryAfterTheCallerLeftOrTheDeadlinePassed)
{
    Fixture fixture;
    for (auto const change : { &FailedAttempt::isCallerLost, &FailedAttempt::deadlinePassed, &FailedAttempt::cannotBeContinued }) {
        auto attempts = fixture.attempts(true, 2);
        attempts.recordSend();
        auto attempt = broken(Verdict::mayHaveRun);
        attempt.*change = true;
        BOOST_TEST(!attempts.recordFailure(UpstreamId(1), attempt, at(10)));
    }
    auto late = fixture.attempts(true, 2);
    late.recordSend();
    BOOST_TEST(!late.recordFailure(UpstreamId(1), broken(Verdict::mayHaveRun), at(11.999)));
    BOOST_TEST(late.isOver(at(11.999)));
}

BOOST_AUTO_TEST_CASE(TimeoutsAreShortOnlyIfAnotherUpstreamMayBeTried)
{
    Fixture fixture;
    auto again = fixture.attempts(true, 2, true);
    again.recordSend();
    auto const first = again.timeouts(3, {}, at(10));
    BOOST_TEST((first.firstByte == Milliseconds(200)));
    BOOST_TEST((first.betweenParts == Milliseconds(900)));
    BOOST_TEST((again.timeouts(1, {}, at(10)).firstByte == Milliseconds(2000)));
    BOOST_TEST(again.recordFailure(UpstreamId(1), broken(Verdict::mayHaveRun), at(10)));
    again.recordSend();
    BOOST_TEST((again.timeouts(3, {}, at(10)).firstByte == Milliseconds(2000)));
    auto once = fixture.attempts(false, 1, true);
    once.recordSend();
    BOOST_TEST((once.timeouts(3, {}, at(10)).firstByte == Milliseconds(2000)));
    BOOST_TEST((once.timeouts(3, {}, at(10)).betweenParts == Milliseconds(2000)));
    BOOST_TEST((once.timeouts(3, {}, at(10)).connect == Milliseconds(50)));
}

BOOST_AUTO_TEST_CASE(UnrepeatableRequestsAndDoubtfulUpstreamsNeedFreshConnections)
{
    Fixture fixture;
    ServicePlacement::Choice sound { UpstreamId(1), {}, false };
    ServicePlacement::Choice doubtful { UpstreamId(1), {}, true };
    BOOST_TEST(!fixture.attempts(true, 2).needsFreshConnection(sound));
    BOOST_TEST(fixture.attempts(true, 2).needsFreshConnection(doubtful));
    BOOST_TEST(!fixture.attempts(false, 1, true).needsFreshConnection(sound));
    BOOST_TEST(fixture.attempts(false, 1, true).needsFreshConnection(doubtful));
    BOOST_TEST(fixture.attempts(false, 1).needsFreshConnection(sound));
}

// A rejection that arrives twice would say of the second send that it has not run.
BOOST_AUTO_TEST_CASE(RejectedUnrepeatableStreamsNeedFreshConnections)
{
    Fixture fixture;
    ServicePlacement::Choice const sound { UpstreamId(2), {}, false };
    for (bool const isRepeatable : { false, true }) {
        auto attempts = fixture.attempts(isRepeatable, 1, true);
        attempts.recordSend();
        BOOST_TEST(!attempts.needsFreshConnection(sound));
        BOOST_TEST(attempts.recordFailure(UpstreamId(1), rejected(), at(10)));
        attempts.recordSend();
        BOOST_TEST(attempts.needsFreshConnection(sound) == !isRepeatable);
    }
}

// A request that may have run goes to another daemon only where it might also be sent again here.
BOOST_AUTO_TEST_CASE(AnotherDaemonGetsOnlyWhatMayStillBeSent)
{
    Fixture fixture;
    auto unsent = fixture.attempts(false, 1);
    unsent.recordSend();
    unsent.recordFailure(UpstreamId(1), unconnected(), at(0));
    BOOST_TEST(unsent.mayDetour(at(0)));
    auto unsafe = fixture.attempts(false, 2);
    unsafe.recordSend();
    unsafe.recordFailure(UpstreamId(1), broken(Verdict::mayHaveRun), at(0));
    BOOST_TEST(!unsafe.mayDetour(at(0)));
    auto safe = fixture.attempts(true, 2);
    safe.recordSend();
    safe.recordFailure(UpstreamId(1), broken(Verdict::mayHaveRun), at(0));
    BOOST_TEST(safe.mayDetour(at(0)));
    safe.recordSend();
    safe.recordFailure(UpstreamId(2), broken(Verdict::mayHaveRun), at(0));
    BOOST_TEST(!safe.mayDetour(at(0)));
}

BOOST_AUTO_TEST_SUITE_END()

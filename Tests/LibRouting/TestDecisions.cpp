#include <LibRouting/FakeFleet.h>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace Stagepost;

namespace {

Instant at(double seconds)
{
    return Instant(Microseconds(static_cast<int64_t>(seconds * 1e6)));
}

WaitingRequest waiting(uint64_t lease, uint64_t organisation, Priority priority, double weight = 1)
{
    WaitingRequest request;
    request.lease = LeaseId(lease);
    request.organisation = OrganisationId(organisation);
    request.priority = priority;
    request.weight = weight;
    request.expiresAt = at(100);
    return request;
}

}

BOOST_AUTO_TEST_SUITE(DecisionTests)

BOOST_AUTO_TEST_CASE(CapStaysBetweenMinCapAndLoadMultiple)
{
    PoolPolicy policy;
    BOOST_TEST(admissionCap(policy, 0) == policy.minCap);
    BOOST_TEST(rc::check("the cap is within loadMultiple and above the mean load", [policy](uint32_t thousandths) {
        auto const mean = 8 + static_cast<double>(thousandths % 200000) / 1000;
        auto const cap = static_cast<double>(admissionCap(policy, mean));
        RC_ASSERT(cap <= mean * policy.loadMultiple);
        RC_ASSERT((cap > mean || cap == static_cast<double>(policy.maxInFlight)));
    }));
}

BOOST_AUTO_TEST_CASE(CapRampsUpAfterAnUpstreamReturns)
{
    PoolPolicy policy;
    BOOST_TEST(rampedCap(policy, 80, Microseconds(0)) == policy.minCap);
    BOOST_TEST(rampedCap(policy, 80, policy.returnRamp / 2) < admissionCap(policy, 80));
    BOOST_TEST(rampedCap(policy, 80, policy.returnRamp) == admissionCap(policy, 80));
}

BOOST_AUTO_TEST_CASE(UrgentRequestsGoFirstWithoutStarvingBulkRequests)
{
    FairQueue queue(0.1);
    for (uint64_t lease = 1; lease <= 100; ++lease) {
        queue.push(waiting(lease, 1, Priority::Urgent));
        queue.push(waiting(1000 + lease, 2, Priority::Bulk));
    }
    size_t bulk = 0;
    for (int count = 0; count < 50; ++count)
        bulk += queue.pop()->priority == Priority::Bulk;
    BOOST_TEST(bulk >= 4u);
    BOOST_TEST(bulk <= 5u);
}

BOOST_AUTO_TEST_CASE(OrganisationsAreServedInProportionToTheirWeights)
{
    FairQueue queue(0.1);
    for (uint64_t lease = 1; lease <= 300; ++lease)
        queue.push(waiting(lease, 1, Priority::Bulk, 1));
    for (uint64_t lease = 1001; lease <= 1300; ++lease)
        queue.push(waiting(lease, 2, Priority::Bulk, 2));
    size_t second = 0;
    for (int count = 0; count < 90; ++count)
        second += queue.pop()->organisation == OrganisationId(2);
    BOOST_TEST(second >= 59u);
    BOOST_TEST(second <= 61u);
}

BOOST_AUTO_TEST_CASE(BurstOfOneOrganisationDoesNotDelayAnother)
{
    FairQueue queue(0.1);
    for (uint64_t lease = 1; lease <= 500; ++lease)
        queue.push(waiting(lease, 1, Priority::Bulk));
    queue.push(waiting(9999, 2, Priority::Bulk));
    BOOST_TEST(queue.countAhead(Priority::Bulk, OrganisationId(3), 1) <= 2u);
    int position = 0;
    while (queue.pop()->lease != LeaseId(9999))
        ++position;
    BOOST_TEST(position <= 1);
}

BOOST_AUTO_TEST_CASE(QueueServesEachRequestExactlyOnce)
{
    BOOST_TEST(rc::check("each pushed request is popped once", [](std::vector<uint16_t> const& requests) {
        FairQueue queue(0.2);
        std::set<uint64_t> in;
        for (size_t index = 0; index < requests.size(); ++index) {
            auto const priority = requests[index] % 2 ? Priority::Urgent : Priority::Bulk;
            queue.push(waiting(index + 1, requests[index] % 5, priority, 1 + requests[index] % 3));
            in.insert(index + 1);
        }
        while (auto const next = queue.pop())
            RC_ASSERT(in.erase(next->lease.value()) == 1u);
        RC_ASSERT(in.empty());
        RC_ASSERT(queue.size() == 0u);
    }));
}

BOOST_AUTO_TEST_CASE(RequestIsRefusedAtOnceIfItsWaitWouldPassTheDeadline)
{
    PoolPolicy policy;
    policy.maxInFlight = 1;
    policy.minCap = 1;
    UpstreamOwner owner(policy, UpstreamOwner::Start::FreshUpstream, at(0));
    LeaseRequest request;
    request.priority = Priority::Urgent;
    request.isFinalAttempt = true;
    request.maxWait = Microseconds(1000);
    request.lease = LeaseId(1);
    owner.requestLease(request, VMId(1), 1, 1, at(0));
    request.lease = LeaseId(2);
    auto const response = owner.requestLease(request, VMId(1), 1, 1, at(0));
    BOOST_TEST((response.kind == LeaseResponseKind::Refused && response.reason == RefusalReason::DeadlineTooNear));
    BOOST_TEST((response.estimate > request.maxWait));
}

BOOST_AUTO_TEST_CASE(QueueLengthIsBounded)
{
    PoolPolicy policy;
    policy.maxInFlight = 1;
    policy.minCap = 1;
    policy.queueLength = 3;
    UpstreamOwner owner(policy, UpstreamOwner::Start::FreshUpstream, at(0));
    LeaseRequest request;
    request.isFinalAttempt = true;
    request.maxWait = Microseconds(60000000);
    LeaseResponseKind last = LeaseResponseKind::Granted;
    for (uint64_t lease = 1; lease <= 5; ++lease) {
        request.lease = LeaseId(lease);
        last = owner.requestLease(request, VMId(1), 1, 1, at(0)).kind;
    }
    BOOST_TEST((last == LeaseResponseKind::Refused));
    BOOST_TEST(owner.queued() == 3u);
}

BOOST_AUTO_TEST_CASE(CircuitBreakerOpensOnFailuresAndAllowsSingleTrials)
{
    CircuitBreaker breaker(3, Microseconds(1000000));
    for (int failure = 0; failure < 3; ++failure) {
        BOOST_TEST(breaker.allows(at(1)));
        breaker.failed(at(1));
    }
    BOOST_TEST(!breaker.allows(at(1.5)));
    BOOST_TEST(breaker.allows(at(2.1)));
    BOOST_TEST(!breaker.allows(at(2.1)));
    breaker.failed(at(2.2));
    BOOST_TEST(!breaker.allows(at(3.5)));
    BOOST_TEST(breaker.allows(at(4.3)));
    BOOST_TEST(breaker.succeeded());
    BOOST_TEST(breaker.allows(at(4.4)));
}

BOOST_AUTO_TEST_CASE(LoadReportCountsOnlyAboveTheKnownLeases)
{
    UpstreamOwner owner({}, UpstreamOwner::Start::FreshUpstream, at(0));
    owner.handleLoadReport(5, at(1));
    BOOST_TEST(owner.load() == 5u);
    LeaseRequest request;
    request.lease = LeaseId(1);
    request.priority = Priority::Urgent;
    owner.requestLease(request, VMId(1), 1, 100, at(1));
    owner.handleLoadReport(0, at(2));
    BOOST_TEST(owner.load() == 1u);
}

BOOST_AUTO_TEST_CASE(NewOwnerAssumesTheMeanLoadDuringATakeover)
{
    UpstreamOwner owner({}, UpstreamOwner::Start::Takeover, at(0));
    size_t granted = 0;
    for (uint64_t lease = 1; lease <= 50; ++lease) {
        LeaseRequest request;
        request.lease = LeaseId(lease);
        request.priority = Priority::Urgent;
        request.isFinalAttempt = true;
        granted += owner.requestLease(request, VMId(1), 1, 20, at(0.1)).kind == LeaseResponseKind::Granted;
    }
    // The owner assumes the mean load of 20 and admits up to 0.9 times the cap of 23.
    BOOST_TEST(granted <= 1u);
}

BOOST_AUTO_TEST_CASE(RetriesRespectVerdictDeadlineAndBudget)
{
    RetryPolicy retries(0.1);
    RetryContext context;
    context.deadline = at(10);
    context.isRepeatable = false;
    context.verdict = Verdict::mayHaveRun;
    BOOST_TEST((retries.decide(context, at(1)) == RetryDecision::MayHaveRun));
    context.verdict = NotRunProof::nothingSent();
    BOOST_TEST((retries.decide(context, at(1)) == RetryDecision::Retry));
    BOOST_TEST((retries.decide(context, at(11)) == RetryDecision::DeadlineTooNear));
    context.attempts = 3;
    BOOST_TEST((retries.decide(context, at(1)) == RetryDecision::TooManyTries));
    context.attempts = 1;
    for (int request = 0; request < 1000; ++request)
        retries.recordFirstAttempt();
    int allowed = 0;
    while (retries.decide(context, at(1)) == RetryDecision::Retry)
        ++allowed;
    BOOST_TEST(allowed <= static_cast<int>(RetryPolicy::maxSavedRetries));
}

BOOST_AUTO_TEST_CASE(OrganisationLimitHoldsAcrossTheFleet)
{
    Tests::FakeFleet fleet(5, 1);
    fleet.limits = { 20, 1e6 };
    fleet.run(1);
    size_t admitted = 0;
    // Sends ten times the limit, 90 % of it through one daemon.
    for (int step = 0; step < 6000; ++step) {
        auto const entry = step % 10 == 0 ? 1 : 0;
        auto& controller = *fleet.controllers.at(fleet.members[entry].id);
        if (!controller.admitOrganisation(OrganisationId(1), fleet.events.now()) && fleet.events.now() > at(11))
            ++admitted;
        controller.organisationFinished(OrganisationId(1));
        fleet.run(0.005);
    }
    // The limit allows 400 requests in the counted 20 s of the 30 s. At least three quarters
    // must be used.
    BOOST_TEST(admitted <= 420u);
    BOOST_TEST(admitted >= 300u);
}

BOOST_AUTO_TEST_CASE(MessagesRoundTripAndMalformedDatagramsAreRejected)
{
    VMId const entry { 0x1234567800000001 };
    VMId const owner { 2 };
    LeaseRequest request;
    request.lease = makeLeaseId(entry, 7);
    request.upstream = UpstreamId(3);
    request.chat = ChatId(4);
    request.mode = LeaseRequestMode::OnlyIfHeld;
    request.isFinalAttempt = true;
    request.maxWait = Microseconds(5000);
    auto const bytes = encodeMessages({ request, PoolReport { PoolId(1), 5, 2 } });
    auto const decoded = decodeMessages(bytes, entry, owner);
    BOOST_REQUIRE(decoded.has_value());
    auto const& read = std::get<LeaseRequest>(decoded->at(0));
    BOOST_TEST((read.lease == request.lease && read.mode == request.mode && read.isFinalAttempt && read.maxWait == request.maxWait));
    BOOST_TEST(rc::check("random bytes are rejected or decode to a bounded number of messages", [entry, owner](std::string const& garbage) {
        auto const result = decodeMessages(garbage, entry, owner);
        bool const isHarmless = !result.has_value() || result->size() <= garbage.size();
        RC_ASSERT(isHarmless);
    }));
    BOOST_TEST(rc::check("a damaged datagram never crashes a controller", [bytes](uint16_t position, uint8_t change) {
        Tests::FakeFleet fleet(2, 1);
        auto damaged = bytes;
        damaged[position % damaged.size()] = static_cast<char>(change);
        (void)fleet.controllers.begin()->second->receive(fleet.members[1].id, damaged, fleet.events.now());
        fleet.run(0.1);
    }));
}

BOOST_AUTO_TEST_SUITE_END()

#include <LibRouting/Routing.h>
#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck.h>

using namespace Stagepost;

namespace {

// Requests sent before the back-off became known arrive within this time.
constexpr Microseconds inTransitTime { 500000 };
constexpr size_t maxArrivalsPerBackoff = 2;

struct RequestedBackoff {
    Instant at;
    Microseconds duration;
};

// Returns the maximum number of arrivals during a back-off, not counting its first inTransitTime.
size_t maxArrivalsWithin(std::vector<RequestedBackoff> const& backoffs, std::vector<Instant> const& arrivals)
{
    size_t most = 0;
    for (auto const& backoff : backoffs) {
        auto const count = std::count_if(arrivals.begin(), arrivals.end(), [&](Instant arrival) { return arrival > backoff.at + inTransitTime && arrival < backoff.at + backoff.duration; });
        most = std::max(most, static_cast<size_t>(count));
    }
    return most;
}

SilenceDetector const idleSilenceDetector;

struct Fixture {
    explicit Fixture(size_t upstreams)
    {
        for (size_t number = 1; number <= upstreams; ++number)
            placement.putUpstream({ UpstreamId(number), false, 4, false, HallId(1) });
    }

    std::optional<UpstreamId> choose(std::optional<uint64_t> context = {}, std::vector<UpstreamId> excluded = {})
    {
        ServicePlacement::Request request;
        request.context = context;
        request.excluded = std::move(excluded);
        auto const choice = placement.choose(request, now);
        return choice ? std::optional(choice->upstream) : std::nullopt;
    }

    Instant now { Seconds(100) };
    ServicePlacement placement { {}, idleSilenceDetector, [engine = std::make_shared<std::mt19937_64>(1)] { return (*engine)(); } };
};

}

BOOST_AUTO_TEST_SUITE(UpstreamBackoffTests)

// An upstream requests back-offs of varying length again and again, in answers to trials and to
// requests that were already in transit.
BOOST_AUTO_TEST_CASE(AtMostTwoRequestsOfADaemonArriveDuringABackoff)
{
    BOOST_TEST(rc::check("any back-off", [](uint64_t seed) {
        std::mt19937_64 random(seed);
        UpstreamBackoff backoff;
        std::vector<RequestedBackoff> backoffs;
        std::vector<Instant> arrivals;
        Instant now { Seconds(10) };
        auto const requestBackoff = [&] {
            RequestedBackoff const next { now, Milliseconds(600 + static_cast<int64_t>(random() % 5000)) };
            backoffs.push_back(next);
            backoff.requested(next.duration, now);
        };
        requestBackoff();
        for (int step = 0; step < 3000; ++step) {
            now += Milliseconds(static_cast<int64_t>(random() % 20));
            bool const isRequestInTransit = now - backoffs.back().at < inTransitTime && random() % 40 == 0;
            if (isRequestInTransit)
                requestBackoff();
            if (!backoff.isTrialDue(now) && backoff.isActive(now))
                continue;
            backoff.trialStarted();
            arrivals.push_back(now);
            if (random() % 3)
                requestBackoff();
        }
        RC_ASSERT(maxArrivalsWithin(backoffs, arrivals) <= maxArrivalsPerBackoff);
    }));
}

BOOST_AUTO_TEST_CASE(ABackingOffUpstreamGetsNoRequestsWhileAnotherIsAvailable)
{
    Fixture fixture(3);
    fixture.placement.backoffRequested(UpstreamId(2), Seconds(3), fixture.now);
    for (uint64_t context = 0; context < 200; ++context) {
        fixture.now += Milliseconds(10);
        BOOST_TEST((fixture.choose() != UpstreamId(2)));
        BOOST_TEST((fixture.choose(context) != UpstreamId(2)));
    }
    BOOST_TEST(fixture.placement.backingOffCount(fixture.now) == 1u);
    fixture.now += Seconds(2);
    BOOST_TEST(fixture.placement.backingOffCount(fixture.now) == 0u);
}

BOOST_AUTO_TEST_CASE(NoOwnerIsAskedAboutABackingOffUpstream)
{
    Fixture fixture(2);
    ServicePlacement::Request request;
    request.context = 7;
    fixture.placement.backoffRequested(UpstreamId(1), Seconds(3), fixture.now);
    auto const candidates = fixture.placement.candidatesForOwners(request, fixture.now);
    BOOST_REQUIRE(candidates.size() == 1u);
    BOOST_TEST((candidates.front().upstream == UpstreamId(2)));
    // A grant that was requested before the back-off isn't used either.
    PermitExchange::Outcome granted;
    granted.upstream = UpstreamId(1);
    granted.isGranted = true;
    BOOST_TEST(!fixture.placement.choiceFromOwners(request, granted, fixture.now).has_value());
}

BOOST_AUTO_TEST_CASE(SingleTrialsAreSentWhileAllUpstreamsBackOff)
{
    Fixture fixture(2);
    for (auto const number : { 1, 2 })
        fixture.placement.backoffRequested(UpstreamId(static_cast<uint64_t>(number)), Seconds(4), fixture.now);
    BOOST_TEST(!fixture.choose().has_value());
    fixture.now += Milliseconds(2100);
    BOOST_TEST((fixture.choose().has_value() && fixture.choose().has_value()));
    BOOST_TEST(!fixture.choose().has_value());
    fixture.now += Seconds(2);
    BOOST_TEST(fixture.choose().has_value());
}

// If no other upstream is available for a retry, the daemon keeps waiting for a slow answer.
BOOST_AUTO_TEST_CASE(ABackingOffUpstreamIsNotAvailableForRetries)
{
    Fixture fixture(2);
    BOOST_TEST(fixture.placement.sizeForRetry({}, fixture.now) == 2u);
    fixture.placement.backoffRequested(UpstreamId(2), Seconds(3), fixture.now);
    BOOST_TEST(fixture.placement.sizeForRetry({}, fixture.now) == 1u);
    BOOST_TEST(fixture.placement.sizeForRetry({ UpstreamId(2) }, fixture.now) == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

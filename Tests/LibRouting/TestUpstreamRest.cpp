#include <LibRouting/Routing.h>
#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck.h>

using namespace Stagepost;

namespace {

constexpr Microseconds onTheWay { 500000 };
constexpr size_t mostInARest = 2;

struct RestAsked {
    Instant at;
    Microseconds duration;
};

// Of what arrives between half a second after an ask and the end of what it asked for.
size_t mostWithin(std::vector<RestAsked> const& asks, std::vector<Instant> const& arrivals)
{
    size_t most = 0;
    for (auto const& ask : asks) {
        auto const count = std::count_if(arrivals.begin(), arrivals.end(), [&](Instant arrival) { return arrival > ask.at + onTheWay && arrival < ask.at + ask.duration; });
        most = std::max(most, static_cast<size_t>(count));
    }
    return most;
}

SilenceWatch const nobodySilent;

struct World {
    explicit World(size_t upstreams)
    {
        for (size_t number = 1; number <= upstreams; ++number)
            placement.putUpstream({ UpstreamId(number), false, 4, false, HallId(1) });
    }

    std::optional<UpstreamId> choose(std::optional<uint64_t> context = {}, std::vector<UpstreamId> excluded = {})
    {
        ServicePlacement::Wish wish;
        wish.context = context;
        wish.excluded = std::move(excluded);
        auto const choice = placement.choose(wish, now);
        return choice ? std::optional(choice->upstream) : std::nullopt;
    }

    Instant now { Seconds(100) };
    ServicePlacement placement { {}, nobodySilent, [engine = std::make_shared<std::mt19937_64>(1)] { return (*engine)(); } };
};

}

BOOST_AUTO_TEST_SUITE(UpstreamRestTests)

// An upstream that asks for rest again and again, for other lengths each time, by answers to
// trials and to requests that were on their way.
BOOST_AUTO_TEST_CASE(NoRestSeesMoreThanTwoRequestsOfOneDaemon)
{
    BOOST_TEST(rc::check("any rest", [](uint64_t seed) {
        std::mt19937_64 random(seed);
        UpstreamRest rest;
        std::vector<RestAsked> asks;
        std::vector<Instant> arrivals;
        Instant now { Seconds(10) };
        auto const ask = [&] {
            RestAsked const next { now, Milliseconds(600 + static_cast<int64_t>(random() % 5000)) };
            asks.push_back(next);
            rest.asked(next.duration, now);
        };
        ask();
        for (int step = 0; step < 3000; ++step) {
            now += Milliseconds(static_cast<int64_t>(random() % 20));
            bool const isLate = now - asks.back().at < onTheWay && random() % 40 == 0;
            if (isLate)
                ask();
            if (!rest.isTrialDue(now) && rest.isResting(now))
                continue;
            rest.tried();
            arrivals.push_back(now);
            if (random() % 3)
                ask();
        }
        RC_ASSERT(mostWithin(asks, arrivals) <= mostInARest);
    }));
}

BOOST_AUTO_TEST_CASE(AnUpstreamThatWantsRestGetsNothingWhileAnotherTakesRequests)
{
    World world(3);
    world.placement.askedForRest(UpstreamId(2), Seconds(3), world.now);
    for (uint64_t context = 0; context < 200; ++context) {
        world.now += Milliseconds(10);
        BOOST_TEST((world.choose() != UpstreamId(2)));
        BOOST_TEST((world.choose(context) != UpstreamId(2)));
    }
    BOOST_TEST(world.placement.restingCount(world.now) == 1u);
    world.now += Seconds(2);
    BOOST_TEST(world.placement.restingCount(world.now) == 0u);
}

BOOST_AUTO_TEST_CASE(NoOwnerIsAskedAboutAnUpstreamThatWantsRest)
{
    World world(2);
    ServicePlacement::Wish wish;
    wish.context = 7;
    world.placement.askedForRest(UpstreamId(1), Seconds(3), world.now);
    auto const candidates = world.placement.candidatesForOwners(wish, world.now);
    BOOST_REQUIRE(candidates.size() == 1u);
    BOOST_TEST((candidates.front().upstream == UpstreamId(2)));
    // Nor is a grant used that was asked for before.
    LedgerExchange::Outcome granted;
    granted.upstream = UpstreamId(1);
    granted.isGranted = true;
    BOOST_TEST(!world.placement.chosenByOwners(wish, granted, world.now).has_value());
}

BOOST_AUTO_TEST_CASE(WhereAllWantRestSingleRequestsAreTried)
{
    World world(2);
    for (auto const number : { 1, 2 })
        world.placement.askedForRest(UpstreamId(static_cast<uint64_t>(number)), Seconds(4), world.now);
    BOOST_TEST(!world.choose().has_value());
    world.now += Milliseconds(2100);
    BOOST_TEST((world.choose().has_value() && world.choose().has_value()));
    BOOST_TEST(!world.choose().has_value());
    world.now += Seconds(2);
    BOOST_TEST(world.choose().has_value());
}

// A slow answer is waited for where a second try would find nobody.
BOOST_AUTO_TEST_CASE(AnUpstreamThatWantsRestIsNoneToSendARequestAgainTo)
{
    World world(2);
    BOOST_TEST(world.placement.sizeForRetry({}, world.now) == 2u);
    world.placement.askedForRest(UpstreamId(2), Seconds(3), world.now);
    BOOST_TEST(world.placement.sizeForRetry({}, world.now) == 1u);
    BOOST_TEST(world.placement.sizeForRetry({ UpstreamId(2) }, world.now) == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

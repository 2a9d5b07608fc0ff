#include <LibRouting/Routing.h>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>
#include <set>

using namespace Stagepost;

namespace {

Instant const start { Seconds(1000) };
SilenceDetector const idleSilenceDetector;

RandomHook seeded(uint64_t seed)
{
    return [engine = std::make_shared<std::mt19937_64>(seed)] { return (*engine)(); };
}

ServicePlacement placementOf(size_t upstreams)
{
    ServicePlacement placement({}, idleSilenceDetector, seeded(1));
    for (size_t number = 1; number <= upstreams; ++number)
        placement.putUpstream({ UpstreamId(number), false, 4, false, HallId(1) });
    return placement;
}

}

BOOST_AUTO_TEST_SUITE(BrittleLimitTests)

BOOST_AUTO_TEST_CASE(OnlyAnAnnouncementActivatesTheLimit)
{
    BrittleLimit limit;
    BOOST_TEST(!limit.isActive(start));
    limit.announced(start);
    BOOST_TEST(limit.isActive(start + Seconds(9)));
    BOOST_TEST(!limit.isActive(start + Seconds(11)));
    limit.announced(start);
    limit.revoked();
    BOOST_TEST(!limit.isActive(start));
}

BOOST_AUTO_TEST_CASE(NothingWaitsAtABrittleUpstream)
{
    BrittleLimit limit;
    BOOST_TEST(limit.limit(8, start) == 8u);
    // For want of memory, two wait although slots are free.
    limit.reported({ 5, 2, 8 }, start);
    BOOST_TEST(limit.limit(8, start) == 7u);
    BOOST_TEST(limit.limit(8, start + Seconds(1)) == 8u);
}

BOOST_AUTO_TEST_CASE(ARejectionLowersTheLimitForAWhile)
{
    BrittleLimit limit;
    limit.reported({ 6, 0, 8 }, start);
    limit.rejected(start);
    BOOST_TEST(limit.limit(8, start) == 5u);
    BOOST_TEST(limit.limit(8, start + Seconds(3)) == 6u);
    BOOST_TEST(limit.limit(8, start + Seconds(20)) == 8u);
    limit.reported({ 0, 0, 8 }, start);
    limit.rejected(start);
    BOOST_TEST(limit.limit(8, start) == 1u);
}

BOOST_AUTO_TEST_CASE(OwnersAreAskedForEachRequestToBrittleUpstreams)
{
    auto placement = placementOf(3);
    BOOST_TEST(placement.candidatesForOwners({}, start).empty());
    placement.brittlenessAnnounced(UpstreamId(2), true, start);
    BOOST_TEST(placement.isBrittle(start));
    auto const candidates = placement.candidatesForOwners({}, start);
    std::set<UpstreamId> asked;
    for (auto const& candidate : candidates) {
        asked.insert(candidate.upstream);
        BOOST_TEST(candidate.limit <= 4u);
        BOOST_REQUIRE(candidate.hardLimit);
        BOOST_TEST(*candidate.hardLimit == 4u);
    }
    BOOST_TEST(asked.size() == 3u);
    placement.brittlenessAnnounced(UpstreamId(2), false, start);
    BOOST_TEST(placement.candidatesForOwners({}, start).empty());
}

// No owner responds.
BOOST_AUTO_TEST_CASE(WithoutOwnersABrittleUpstreamIsNotFilledBeyondItsSlots)
{
    auto placement = placementOf(2);
    placement.brittlenessAnnounced(UpstreamId(1), true, start);
    size_t sent = 0;
    while (auto const choice = placement.choose({}, start)) {
        placement.started(choice->upstream);
        BOOST_REQUIRE(++sent <= 8u);
    }
    BOOST_TEST(sent == 8u);
}

// A request that crashes upstreams by itself must be recognised also while they are brittle.
BOOST_AUTO_TEST_CASE(OnlyAFullBrittleUpstreamMayHaveCrashedUnderLoad)
{
    auto placement = placementOf(2);
    UpstreamId const upstream(1);
    auto const finishOne = [&](SendOutcome outcome, Instant now) { placement.finished(upstream, outcome, Milliseconds(1), Milliseconds(1), now); };
    for (int request = 0; request < 4; ++request)
        placement.started(upstream);
    finishOne(SendOutcome::NoUsableAnswer, start);
    BOOST_TEST(!placement.mayHaveCrashedUnderLoad(upstream, start));
    placement.started(upstream);
    placement.brittlenessAnnounced(upstream, true, start);
    finishOne(SendOutcome::NoUsableAnswer, start);
    // The others that it breaks off at the same time find it less full.
    finishOne(SendOutcome::NoUsableAnswer, start);
    BOOST_TEST(placement.mayHaveCrashedUnderLoad(upstream, start));
    auto const later = start + Seconds(3);
    finishOne(SendOutcome::NoUsableAnswer, later);
    BOOST_TEST(!placement.mayHaveCrashedUnderLoad(upstream, later));
    finishOne(SendOutcome::Refused, later);
    BOOST_TEST(placement.mayHaveCrashedUnderLoad(upstream, later));
}

BOOST_AUTO_TEST_CASE(ARejectionKeepsRequestsFromABrittleUpstream)
{
    auto placement = placementOf(2);
    placement.brittlenessAnnounced(UpstreamId(1), true, start);
    placement.started(UpstreamId(1));
    placement.finished(UpstreamId(1), SendOutcome::Refused, Milliseconds(1), Milliseconds(1), start);
    for (int attempt = 0; attempt < 20; ++attempt)
        BOOST_TEST((placement.choose({}, start + Milliseconds(10 * attempt))->upstream == UpstreamId(2)));
}

BOOST_AUTO_TEST_SUITE_END()

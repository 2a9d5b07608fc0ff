#include <LibMembership/LoadAggregator.h>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace Stagepost;

namespace {

UpstreamList listOfSize(size_t size)
{
    UpstreamList list;
    for (uint64_t number = 1; number <= size; ++number)
        list.push_back(UpstreamId(number));
    return list;
}

Instant at(int64_t milliseconds)
{
    return Instant(Milliseconds(milliseconds));
}

uint64_t countAt(InFlightTotals const& totals, uint64_t upstream)
{
    auto const found = totals.find(UpstreamId(upstream));
    return found == totals.end() ? 0 : found->second;
}

}

BOOST_AUTO_TEST_SUITE(LoadAggregatorTests)

BOOST_AUTO_TEST_CASE(UnpackedCountsEqualThePackedOnes)
{
    BOOST_TEST(rc::check("any counts", [](std::vector<uint8_t> const& counts) {
        auto const list = listOfSize(counts.size());
        std::vector<UpstreamInFlight> inFlight;
        for (size_t index = 0; index < counts.size(); ++index) {
            if (counts[index] > 100)
                inFlight.push_back({ list[index], counts[index] });
        }
        InFlightTotals totals;
        add(totals, inFlight);
        auto const unpacked = unpackCounts(list, packCounts(list, totals));
        RC_ASSERT(unpacked.has_value());
        RC_ASSERT(unpacked->size() == inFlight.size());
        for (size_t index = 0; index < inFlight.size(); ++index) {
            RC_ASSERT(unpacked->at(index).upstream == inFlight[index].upstream);
            RC_ASSERT(unpacked->at(index).count == inFlight[index].count);
        }
    }));
}

BOOST_AUTO_TEST_CASE(CountsOfIdleUpstreamsTakeAFewBytes)
{
    BOOST_TEST(packCounts(listOfSize(880), {}).size() == 8u);
    BOOST_TEST(packCounts(listOfSize(880), { { UpstreamId(3), 1 } }).size() <= 13u);
}

// Guards against an age of zero for counts of zero. In a fleet without traffic, daemons treated
// such counts as current, and for seconds after traffic began they relied on individual counts
// that were 1 s old.
BOOST_AUTO_TEST_CASE(TotalsWithoutRequestsAreAsOldAsTheOldestCounts)
{
    AgedTotals totals;
    totals.add({}, Milliseconds(300));
    totals.add({}, Milliseconds(900));
    totals.add({}, {});
    BOOST_TEST((totals.age() == Milliseconds(900)));
    totals.add({ { UpstreamId(1), 2 } }, Milliseconds(400));
    BOOST_TEST((totals.age() == Milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(CountsThatCannotBeDecodedYetHaveNoAge)
{
    auto const known = std::make_shared<UpstreamList const>(listOfSize(3));
    LoadAggregator aggregator([&](uint64_t hash) { return hash == 1 ? known : nullptr; });
    aggregator.setFromGroup(VMId(1), { 1, packCounts(*known, {}), Milliseconds(100) }, at(1000000));
    aggregator.setFromGroup(VMId(2), { 2, packCounts(listOfSize(4), {}), Milliseconds(100) }, at(1000000));
    BOOST_TEST((aggregator.groupTotals(at(1000200)).age() == Milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(LargeCountsSaturate)
{
    auto const list = listOfSize(2);
    auto const unpacked = unpackCounts(list, packCounts(list, { { UpstreamId(2), 70000 }, { UpstreamId(9), 1 } }));
    BOOST_REQUIRE(unpacked.has_value());
    BOOST_REQUIRE(unpacked->size() == 1u);
    BOOST_TEST(unpacked->front().count == 255u);
}

BOOST_AUTO_TEST_CASE(CountsThatDoNotMatchTheirListAreRefused)
{
    auto const packed = packCounts(listOfSize(5), { { UpstreamId(2), 7 }, { UpstreamId(5), 1 } });
    BOOST_TEST(unpackCounts(listOfSize(5), packed).has_value());
    BOOST_TEST(!unpackCounts(listOfSize(4), packed).has_value());
    BOOST_TEST(!unpackCounts(listOfSize(6), packed).has_value());
    BOOST_TEST(!unpackCounts(listOfSize(5), packed.substr(0, packed.size() - 1)).has_value());
    BOOST_TEST(!unpackCounts(listOfSize(1), std::string(1, '\0')).has_value());
    BOOST_TEST(rc::check("any bytes", [](std::string const& bytes) {
        auto const counts = unpackCounts(listOfSize(30), bytes);
        bool const isBounded = !counts || counts->size() <= 30;
        RC_ASSERT(isBounded);
    }));
}

// Daemons learn of a new upstream at different times.
BOOST_AUTO_TEST_CASE(CountsOfAnUnknownListAreDecodedOnceItIsKnown)
{
    size_t known = 2;
    LoadAggregator aggregator([&](uint64_t hash) { return hash <= known ? std::make_shared<UpstreamList const>(listOfSize(hash)) : nullptr; });
    aggregator.setFromGroup(VMId(1), { 2, packCounts(listOfSize(2), { { UpstreamId(1), 5 } }), {} }, at(0));
    BOOST_TEST(countAt(aggregator.allTotals(at(0)).counts(), 1) == 5u);
    aggregator.setFromGroup(VMId(1), { 3, packCounts(listOfSize(3), { { UpstreamId(1), 6 }, { UpstreamId(3), 1 } }), {} }, at(100));
    BOOST_TEST(countAt(aggregator.allTotals(at(0)).counts(), 1) == 5u);
    known = 3;
    BOOST_TEST(countAt(aggregator.allTotals(at(0)).counts(), 1) == 6u);
    BOOST_TEST(countAt(aggregator.allTotals(at(0)).counts(), 3) == 1u);
}

// A daemon that is cut off may use another list for a long time. Its last decoded counts must
// still expire.
BOOST_AUTO_TEST_CASE(OldCountsExpireEvenIfNewerOnesCannotBeDecoded)
{
    LoadAggregator aggregator([](uint64_t hash) { return hash == 1 ? std::make_shared<UpstreamList const>(listOfSize(1)) : nullptr; });
    auto const one = packCounts(listOfSize(1), { { UpstreamId(1), 1 } });
    aggregator.setFromGroup(VMId(1), { 1, one, {} }, at(0));
    BOOST_TEST(countAt(aggregator.allTotals(at(0)).counts(), 1) == 1u);
    for (int64_t time = 500; time <= 5000; time += 500) {
        aggregator.setFromGroup(VMId(1), { 2, one, {} }, at(time));
        aggregator.expire(at(time), Milliseconds(1000), Milliseconds(1000));
    }
    BOOST_TEST(countAt(aggregator.allTotals(at(0)).counts(), 1) == 0u);
    BOOST_TEST(aggregator.group().size() == 1u);
}

BOOST_AUTO_TEST_CASE(UnreadableCountsAreCounted)
{
    LoadAggregator aggregator([](uint64_t) { return std::make_shared<UpstreamList const>(listOfSize(1)); });
    aggregator.setFromGroup(VMId(1), { 1, packCounts(listOfSize(9), { { UpstreamId(1), 1 } }), {} }, at(0));
    BOOST_TEST(aggregator.allTotals(at(0)).counts().empty());
    BOOST_TEST(aggregator.unreadableCounts() == 1u);
}

BOOST_AUTO_TEST_CASE(CountsExpireAfterTheTimeoutOfTheirSender)
{
    LoadAggregator aggregator([](uint64_t) { return std::make_shared<UpstreamList const>(listOfSize(1)); });
    auto const one = packCounts(listOfSize(1), { { UpstreamId(1), 1 } });
    aggregator.setFromGroup(VMId(1), { 1, one, {} }, at(0));
    aggregator.setFromRelay(VMId(2), { 1, one, {} }, at(0));
    BOOST_TEST(countAt(aggregator.groupTotals(at(0)).counts(), 1) == 1u);
    BOOST_TEST(countAt(aggregator.allTotals(at(0)).counts(), 1) == 2u);
    aggregator.expire(at(2000), Milliseconds(1000), Milliseconds(5000));
    BOOST_TEST(countAt(aggregator.allTotals(at(0)).counts(), 1) == 1u);
    BOOST_TEST(aggregator.group().empty());
    aggregator.expire(at(6000), Milliseconds(1000), Milliseconds(5000));
    BOOST_TEST(aggregator.allTotals(at(0)).counts().empty());
}

// Each request contributes its own age: the mean is weighted by the counts.
BOOST_AUTO_TEST_CASE(TheAgeOfTotalsIsTheMeanOverTheirRequests)
{
    LoadAggregator aggregator([](uint64_t) { return std::make_shared<UpstreamList const>(listOfSize(1)); });
    auto const counted = [](uint64_t count) { return packCounts(listOfSize(1), { { UpstreamId(1), count } }); };
    aggregator.setFromGroup(VMId(1), { 1, counted(3), {} }, at(0));
    aggregator.setFromRelay(VMId(2), { 1, counted(1), Milliseconds(400) }, at(500));
    BOOST_TEST((aggregator.groupTotals(at(1000)).age() == Milliseconds(1000)));
    // Three requests of 1 s and one of 0.9 s.
    BOOST_TEST((aggregator.allTotals(at(1000)).age() == Milliseconds(975)));
    aggregator.setFromHall(HallId(3), { 1, counted(4), Milliseconds(1025) }, at(1000));
    BOOST_TEST((aggregator.hallTotals(at(1000)).age() == Milliseconds(975)));
    BOOST_TEST((aggregator.allTotals(at(1000)).age() == Milliseconds(1000)));
    BOOST_TEST((AgedTotals().age() == Milliseconds(0)));
}

BOOST_AUTO_TEST_SUITE_END()

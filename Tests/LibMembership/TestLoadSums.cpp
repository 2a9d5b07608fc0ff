#include <LibMembership/LoadSums.h>
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

BOOST_AUTO_TEST_SUITE(LoadSumsTests)

BOOST_AUTO_TEST_CASE(CountsComeBackAsTheyWerePacked)
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
        auto const back = unpackCounts(list, packCounts(list, totals));
        RC_ASSERT(back.has_value());
        RC_ASSERT(back->size() == inFlight.size());
        for (size_t index = 0; index < inFlight.size(); ++index) {
            RC_ASSERT(back->at(index).upstream == inFlight[index].upstream);
            RC_ASSERT(back->at(index).count == inFlight[index].count);
        }
    }));
}

BOOST_AUTO_TEST_CASE(AnIdleFleetOfUpstreamsTakesAFewBytes)
{
    BOOST_TEST(packCounts(listOfSize(880), {}).size() == 8u);
    BOOST_TEST(packCounts(listOfSize(880), { { UpstreamId(3), 1 } }).size() <= 13u);
}

// Daemons of a fleet whose traffic had not begun believed what they were told to be of now,
// and went by counts one by one for seconds after its begin, each 1 s old.
BOOST_AUTO_TEST_CASE(NothingInFlightIsAsOldAsTheOldestWordOfIt)
{
    AgedTotals totals;
    totals.add({}, Milliseconds(300));
    totals.add({}, Milliseconds(900));
    totals.add({}, {});
    BOOST_TEST((totals.age() == Milliseconds(900)));
    totals.add({ { UpstreamId(1), 2 } }, Milliseconds(400));
    BOOST_TEST((totals.age() == Milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(WhatCannotBeReadYetHasNoAge)
{
    auto const known = std::make_shared<UpstreamList const>(listOfSize(3));
    LoadSums sums([&](uint64_t hash) { return hash == 1 ? known : nullptr; });
    sums.takeFromGroup(VMId(1), { 1, packCounts(*known, {}), Milliseconds(100) }, at(1000000));
    sums.takeFromGroup(VMId(2), { 2, packCounts(listOfSize(4), {}), Milliseconds(100) }, at(1000000));
    BOOST_TEST((sums.ofGroup(at(1000200)).age() == Milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(LargeCountsSaturate)
{
    auto const list = listOfSize(2);
    auto const back = unpackCounts(list, packCounts(list, { { UpstreamId(2), 70000 }, { UpstreamId(9), 1 } }));
    BOOST_REQUIRE(back.has_value());
    BOOST_REQUIRE(back->size() == 1u);
    BOOST_TEST(back->front().count == 255u);
}

BOOST_AUTO_TEST_CASE(CountsThatDoNotFitTheirListAreRefused)
{
    auto const packed = packCounts(listOfSize(5), { { UpstreamId(2), 7 }, { UpstreamId(5), 1 } });
    BOOST_TEST(unpackCounts(listOfSize(5), packed).has_value());
    BOOST_TEST(!unpackCounts(listOfSize(4), packed).has_value());
    BOOST_TEST(!unpackCounts(listOfSize(6), packed).has_value());
    BOOST_TEST(!unpackCounts(listOfSize(5), packed.substr(0, packed.size() - 1)).has_value());
    BOOST_TEST(!unpackCounts(listOfSize(1), std::string(1, '\0')).has_value());
    BOOST_TEST(rc::check("any bytes", [](std::string const& junk) {
        auto const counts = unpackCounts(listOfSize(30), junk);
        bool const isBounded = !counts || counts->size() <= 30;
        RC_ASSERT(isBounded);
    }));
}

// Daemons learn of a new upstream at different moments.
BOOST_AUTO_TEST_CASE(CountsByAListThatIsNotKnownYetCountOnceItIs)
{
    size_t known = 2;
    LoadSums sums([&](uint64_t hash) { return hash <= known ? std::make_shared<UpstreamList const>(listOfSize(hash)) : nullptr; });
    sums.takeFromGroup(VMId(1), { 2, packCounts(listOfSize(2), { { UpstreamId(1), 5 } }), {} }, at(0));
    BOOST_TEST(countAt(sums.ofAll(at(0)).counts(), 1) == 5u);
    sums.takeFromGroup(VMId(1), { 3, packCounts(listOfSize(3), { { UpstreamId(1), 6 }, { UpstreamId(3), 1 } }), {} }, at(100));
    BOOST_TEST(countAt(sums.ofAll(at(0)).counts(), 1) == 5u);
    known = 3;
    BOOST_TEST(countAt(sums.ofAll(at(0)).counts(), 1) == 6u);
    BOOST_TEST(countAt(sums.ofAll(at(0)).counts(), 3) == 1u);
}

// A daemon that is cut off may go by another list for long; its last counts that
// could be read must not count for ever.
BOOST_AUTO_TEST_CASE(OldCountsEndEvenWhereNewerOnesCannotBeRead)
{
    LoadSums sums([](uint64_t hash) { return hash == 1 ? std::make_shared<UpstreamList const>(listOfSize(1)) : nullptr; });
    auto const one = packCounts(listOfSize(1), { { UpstreamId(1), 1 } });
    sums.takeFromGroup(VMId(1), { 1, one, {} }, at(0));
    BOOST_TEST(countAt(sums.ofAll(at(0)).counts(), 1) == 1u);
    for (int64_t time = 500; time <= 5000; time += 500) {
        sums.takeFromGroup(VMId(1), { 2, one, {} }, at(time));
        sums.forget(at(time), Milliseconds(1000), Milliseconds(1000));
    }
    BOOST_TEST(countAt(sums.ofAll(at(0)).counts(), 1) == 0u);
    BOOST_TEST(sums.group().size() == 1u);
}

BOOST_AUTO_TEST_CASE(CountsThatContradictTheirListAreCounted)
{
    LoadSums sums([](uint64_t) { return std::make_shared<UpstreamList const>(listOfSize(1)); });
    sums.takeFromGroup(VMId(1), { 1, packCounts(listOfSize(9), { { UpstreamId(1), 1 } }), {} }, at(0));
    BOOST_TEST(sums.ofAll(at(0)).counts().empty());
    BOOST_TEST(sums.unreadableCounts() == 1u);
}

BOOST_AUTO_TEST_CASE(WhatWasToldLongAgoIsForgotten)
{
    LoadSums sums([](uint64_t) { return std::make_shared<UpstreamList const>(listOfSize(1)); });
    auto const one = packCounts(listOfSize(1), { { UpstreamId(1), 1 } });
    sums.takeFromGroup(VMId(1), { 1, one, {} }, at(0));
    sums.takeFromRelay(VMId(2), { 1, one, {} }, at(0));
    BOOST_TEST(countAt(sums.ofGroup(at(0)).counts(), 1) == 1u);
    BOOST_TEST(countAt(sums.ofAll(at(0)).counts(), 1) == 2u);
    sums.forget(at(2000), Milliseconds(1000), Milliseconds(5000));
    BOOST_TEST(countAt(sums.ofAll(at(0)).counts(), 1) == 1u);
    BOOST_TEST(sums.group().empty());
    sums.forget(at(6000), Milliseconds(1000), Milliseconds(5000));
    BOOST_TEST(sums.ofAll(at(0)).counts().empty());
}

// A request that was counted twice as long ago weighs as much as two.
BOOST_AUTO_TEST_CASE(SumsTellHowOldTheirRequestsAre)
{
    LoadSums sums([](uint64_t) { return std::make_shared<UpstreamList const>(listOfSize(1)); });
    auto const counted = [](uint64_t count) { return packCounts(listOfSize(1), { { UpstreamId(1), count } }); };
    sums.takeFromGroup(VMId(1), { 1, counted(3), {} }, at(0));
    sums.takeFromRelay(VMId(2), { 1, counted(1), Milliseconds(400) }, at(500));
    BOOST_TEST((sums.ofGroup(at(1000)).age() == Milliseconds(1000)));
    // Three of a second and one of 0.9 s.
    BOOST_TEST((sums.ofAll(at(1000)).age() == Milliseconds(975)));
    sums.takeFromHall(HallId(3), { 1, counted(4), Milliseconds(1025) }, at(1000));
    BOOST_TEST((sums.ofHall(at(1000)).age() == Milliseconds(975)));
    BOOST_TEST((sums.ofAll(at(1000)).age() == Milliseconds(1000)));
    BOOST_TEST((AgedTotals().age() == Milliseconds(0)));
}

BOOST_AUTO_TEST_SUITE_END()

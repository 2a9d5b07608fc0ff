#include <LibMembership/UpstreamDirectory.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

namespace {

Instant at(double seconds)
{
    return Instant(Microseconds(static_cast<int64_t>(seconds * 1e6)));
}

UpstreamRecord record(std::string instance, bool isLeaving = false)
{
    return { std::move(instance), "chat", "10.0.0.1:80", "north", 4, isLeaving, Milliseconds(0) };
}

struct Directory {
    size_t changes { 0 };
    // The newest that was told of each upstream.
    std::map<std::string, std::optional<UpstreamRecord>> told;
    UpstreamDirectory directory { {}, [this](UpstreamChange const& change) {
                                     ++changes;
                                     told[change.instance] = change.record;
                                 } };

    // A read that was answered at once.
    void confirm(double seconds) { directory.confirm(at(seconds)); }
    // Whether the upstream is in use.
    bool has(std::string const& instance) const { return told.contains(instance) && told.at(instance).has_value(); }
};

}

BOOST_AUTO_TEST_SUITE(UpstreamDirectoryTests)

BOOST_AUTO_TEST_CASE(WhatIsTakenAwayIsGoneAtOnce)
{
    Directory world;
    world.confirm(1);
    world.directory.replace({ record("a"), record("b") }, at(1));
    world.confirm(1.5);
    world.directory.remove("a", at(1.5));
    BOOST_TEST(!world.has("a"));
    BOOST_TEST(world.has("b"));
}

BOOST_AUTO_TEST_CASE(ARecordThatSaysTheSameChangesNothing)
{
    Directory world;
    world.confirm(1);
    world.directory.put(record("a"), at(1));
    auto const changes = world.changes;
    world.directory.put(record("a"), at(1));
    BOOST_TEST(world.changes == changes);
    world.directory.put(record("a", true), at(1));
    BOOST_TEST(world.changes == changes + 1);
}

UpstreamRecord startedAt(std::string instance, uint64_t incarnation, bool isLeaving = false)
{
    auto result = record(std::move(instance), isLeaving);
    result.incarnation = Incarnation(incarnation);
    return result;
}

// A process that starts again under its name holds nothing of what the one before held,
// so it is another upstream to all that decides by upstreams.
BOOST_AUTO_TEST_CASE(AnotherStartIsAnotherUpstream)
{
    Directory world;
    world.directory.replace({ startedAt("a", 5), record("b") }, at(1));
    auto const before = world.directory.hash();
    world.directory.put(startedAt("a", 6), at(2));
    BOOST_TEST(world.directory.hash() != before);
    BOOST_TEST((startedAt("a", 5).id() != startedAt("a", 6).id()));
    BOOST_TEST((record("a").id() == UpstreamId::fromName("a")));
    // Counts that go by the list before name the start before.
    auto const listBefore = world.directory.listAt(before);
    auto const list = world.directory.listAt(world.directory.hash());
    BOOST_REQUIRE((listBefore && list));
    BOOST_TEST((listBefore->front() == startedAt("a", 5).id() && list->front() == startedAt("a", 6).id()));
    auto const changes = world.directory.changesSince(before);
    BOOST_REQUIRE((changes && changes->size() == 1u));
    BOOST_TEST((changes->front().record->incarnation == Incarnation(6)));
}

// The store does a call that it answers late up to some six seconds after the process
// that made it has died; and another daemon may not have heard of the new start.
BOOST_AUTO_TEST_CASE(ALateWordOfAnEarlierStartChangesNothing)
{
    Directory world;
    world.directory.replace({ startedAt("a", 6) }, at(1));
    auto const changes = world.changes;
    world.directory.put(startedAt("a", 5, true), at(2));
    world.directory.put(record("a", true), at(3));
    world.directory.replace({ startedAt("a", 5, true) }, at(4));
    world.directory.tick(at(9));
    BOOST_TEST(world.changes == changes);
    BOOST_TEST(!world.told["a"]->isLeaving);
    // The new process says that it is there: what was said late is forgotten.
    world.directory.put(startedAt("a", 6), at(9.5));
    world.directory.tick(at(30));
    BOOST_TEST(world.changes == changes);
}

BOOST_AUTO_TEST_CASE(AClockThatWasSetBackIsBelievedInTheEnd)
{
    Directory world;
    world.directory.replace({ startedAt("a", 6, true) }, at(1));
    world.directory.put(startedAt("a", 5), at(2));
    world.directory.tick(at(11));
    BOOST_TEST((world.told["a"]->incarnation == Incarnation(6)));
    world.directory.tick(at(13));
    BOOST_TEST((world.told["a"]->incarnation == Incarnation(5) && !world.told["a"]->isLeaving));
}

// A daemon that had been cut off from the store for four seconds was told half a second
// after it had asked (age_ms=465) that an upstream's record was gone, and gave it requests
// for two seconds from then on, in which records that lapsed may come back: until 2,288 ms
// after the upstream had left, where 2,000 are allowed.
BOOST_AUTO_TEST_CASE(TheGraceCountsFromTheReadThatEndedTheOutage)
{
    Directory world;
    world.confirm(5.3);
    world.directory.replace({ record("a"), record("b") }, at(5.3));
    world.directory.confirm(at(10.584));
    world.directory.remove("a", at(11.049));
    BOOST_TEST(world.has("a"));
    world.directory.tick(at(12.55));
    BOOST_TEST(world.has("a"));
    world.directory.tick(at(12.6));
    BOOST_TEST(!world.has("a"));
}

// It may have left after the return, and then the bound on leaving holds.
BOOST_AUTO_TEST_CASE(WhatLeavesAfterTheReturnIsOutWithinTheBoundOnLeaving)
{
    Directory world;
    world.confirm(1);
    world.directory.replace({ record("a"), record("b"), record("c") }, at(1));
    // The store is back: what went meanwhile may have lapsed.
    world.directory.confirm(at(10.5));
    world.directory.remove("a", at(10.6));
    world.directory.confirm(at(11.0));
    world.directory.remove("b", at(11.5));
    BOOST_TEST((world.has("a") && world.has("b")));
    world.directory.tick(at(12.1));
    BOOST_TEST(world.has("b"));
    // 1.7 s after the last read that still named it.
    world.directory.tick(at(12.25));
    BOOST_TEST(!world.has("b"));
    BOOST_TEST(world.has("a"));
    world.directory.tick(at(12.65));
    BOOST_TEST(!world.has("a"));
    // Long after the last proof there is no grace at all.
    world.directory.confirm(at(12.5));
    world.directory.confirm(at(12.6));
    world.directory.remove("c", at(14.5));
    BOOST_TEST(!world.has("c"));
}

BOOST_AUTO_TEST_CASE(AfterItsRecordIsGoneAnyStartIsTaken)
{
    Directory world;
    world.directory.replace({ startedAt("a", 6) }, at(1));
    world.directory.remove("a", at(2));
    world.directory.put(startedAt("a", 5), at(3));
    BOOST_TEST((world.told["a"]->incarnation == Incarnation(5)));
}

BOOST_AUTO_TEST_CASE(WhatLapsedDuringAnOutageHasTimeToComeBack)
{
    Directory world;
    world.confirm(1);
    world.directory.replace({ record("a"), record("b"), record("c") }, at(1));
    world.confirm(9);
    world.directory.remove("a", at(9));
    world.directory.remove("b", at(9));
    BOOST_TEST(world.has("a"));
    world.confirm(9.5);
    world.directory.put(record("a"), at(9.5));
    world.confirm(10.9);
    world.directory.tick(at(10.9));
    BOOST_TEST(world.has("b"));
    world.confirm(11.1);
    world.directory.tick(at(11.1));
    BOOST_TEST(world.has("a"));
    BOOST_TEST(!world.has("b"));
    BOOST_TEST(world.has("c"));
}

BOOST_AUTO_TEST_CASE(AListReadAfterAnOutageHasTheSameGrace)
{
    Directory world;
    world.confirm(1);
    world.directory.replace({ record("a"), record("b") }, at(1));
    world.confirm(9);
    world.directory.replace({ record("b") }, at(9));
    BOOST_TEST(world.has("a"));
    // Reads go on, or the store would have been away again.
    for (auto const seconds : { 10.0, 11.0, 11.5 })
        world.confirm(seconds);
    world.directory.tick(at(11.5));
    BOOST_TEST(!world.has("a"));
}

BOOST_AUTO_TEST_CASE(TheHashTellsRecordsApartAndNotTimes)
{
    Directory first;
    Directory second;
    first.directory.replace({ record("a"), record("b") }, at(1));
    auto cold = record("b");
    cold.coldLeft = Milliseconds(500);
    first.directory.put(cold, at(1));
    cold.coldLeft = Milliseconds(300);
    second.directory.replace({ cold, record("a") }, at(2));
    BOOST_TEST(first.directory.hash() == second.directory.hash());
    // Others have to learn that it is warm again, or that it has become cold.
    second.directory.put(record("b"), at(2));
    BOOST_TEST(first.directory.hash() != second.directory.hash());
    first.directory.put(record("b"), at(2));
    BOOST_TEST(first.directory.hash() == second.directory.hash());
    second.directory.put(record("b", true), at(2));
    BOOST_TEST(first.directory.hash() != second.directory.hash());
}

// Whoever knows an earlier list comes to the newest by its changes.
BOOST_AUTO_TEST_CASE(ChangesLeadFromAnEarlierListToThisOne)
{
    Directory first;
    Directory second;
    for (auto* world : { &first, &second })
        world->directory.replace({ record("a"), record("b") }, at(1));
    auto const earlier = second.directory.hash();
    first.directory.put(record("a", true), at(1));
    first.directory.put(record("c"), at(1));
    first.directory.remove("a", at(1));
    auto const changes = first.directory.changesSince(earlier);
    BOOST_REQUIRE(changes.has_value());
    BOOST_TEST(changes->size() == 3u);
    for (auto const& change : *changes) {
        if (change.record)
            second.directory.put(*change.record, at(1));
        else
            second.directory.remove(change.instance, at(1));
    }
    BOOST_TEST(second.directory.hash() == first.directory.hash());
    BOOST_TEST((second.directory.records() == first.directory.records()));
    BOOST_TEST(first.directory.changesSince(first.directory.hash())->empty());
    BOOST_TEST(!first.directory.changesSince(12345).has_value());
}

// What a daemon keeps in use after an outage of its own must not reach daemons
// that had none, which know that the upstream is gone.
BOOST_AUTO_TEST_CASE(OthersAreToldWhatTheStoreHasAndNotWhatMayComeBack)
{
    Directory cutOff;
    cutOff.confirm(1);
    cutOff.directory.replace({ record("a"), record("b") }, at(1));
    auto const before = cutOff.directory.hash();
    cutOff.confirm(9);
    cutOff.directory.replace({ record("b") }, at(9));
    BOOST_TEST(cutOff.has("a"));
    Directory other;
    other.confirm(9);
    other.directory.replace({ record("b") }, at(9));
    BOOST_TEST(cutOff.directory.hash() == other.directory.hash());
    BOOST_TEST(!cutOff.directory.records().contains("a"));
    auto const changes = cutOff.directory.changesSince(before);
    BOOST_REQUIRE(changes.has_value() && changes->size() == 1u);
    BOOST_TEST(!changes->front().record.has_value());
    cutOff.directory.tick(at(12));
    BOOST_TEST(!cutOff.has("a"));
}

BOOST_AUTO_TEST_CASE(EarlierListsAreKnownByTheirHash)
{
    Directory world;
    world.confirm(1);
    std::map<uint64_t, UpstreamList> lists;
    auto const note = [&] {
        UpstreamList list;
        for (auto const& [instance, record] : world.directory.records())
            list.push_back(record.id());
        lists[world.directory.hash()] = list;
    };
    for (auto const* instance : { "c", "a", "b" }) {
        world.directory.put(record(instance), at(1));
        note();
    }
    world.directory.put(record("b", true), at(2));
    note();
    world.directory.remove("a", at(2));
    note();
    world.directory.put(record("d"), at(2));
    note();
    for (auto const& [hash, list] : lists)
        BOOST_TEST((*world.directory.listAt(hash) == list));
    BOOST_TEST(!world.directory.listAt(12345));
}

// What one record costs must not grow with the number of all.
BOOST_AUTO_TEST_CASE(OnlyWhatHasChangedIsTold)
{
    Directory world;
    world.confirm(1);
    std::vector<UpstreamRecord> records;
    records.reserve(500);
    for (int number = 0; number < 500; ++number)
        records.push_back(record("i-" + std::to_string(number)));
    world.directory.replace(records, at(1));
    BOOST_TEST(world.changes == 500u);
    records.erase(records.begin());
    records.back().isLeaving = true;
    world.directory.replace(records, at(1.5));
    BOOST_TEST(world.changes == 502u);
    BOOST_TEST(!world.told.at("i-0").has_value());
    BOOST_TEST(world.told.at("i-499")->isLeaving);
}

// A store that comes back from a copy lacks what was written last, and the upstreams write
// it again within two seconds.
BOOST_AUTO_TEST_CASE(WhatTheStoreHasLostMayBeWrittenAgain)
{
    Directory world;
    world.directory.confirm(at(1));
    world.directory.replace({ record("a"), record("b"), record("c") }, at(1));
    world.directory.confirm(at(2));
    world.directory.replaceAfterReturn({ record("a") }, at(2), at(2));
    BOOST_TEST(world.has("b"));
    // Others are told so, too: what they would lose they could not know to be lost.
    BOOST_TEST(world.directory.records().contains("b"));
    world.directory.tick(at(3.5));
    world.directory.put(record("b"), at(3.6));
    // A whole list that comes within that time takes nothing away.
    world.directory.replace({ record("a"), record("b") }, at(3.8));
    BOOST_TEST(world.has("c"));
    world.directory.tick(at(4.1));
    BOOST_TEST(world.has("b"));
    BOOST_TEST(!world.has("c"));
    BOOST_TEST(!world.directory.records().contains("c"));
}

BOOST_AUTO_TEST_CASE(AnUpstreamThatLeavesGoesOnLeavingWhateverACopySays)
{
    Directory world;
    world.directory.confirm(at(1));
    world.directory.replace({ record("a"), record("b") }, at(1));
    world.directory.put(record("a", true), at(1.5));
    world.directory.confirm(at(2));
    world.directory.replaceAfterReturn({ record("a"), record("b") }, at(2), at(2));
    BOOST_TEST(world.told.at("a")->isLeaving);
    BOOST_TEST(!world.told.at("b")->isLeaving);
    // One that starts again is another one.
    world.directory.put(startedAt("a", 7), at(3));
    BOOST_TEST(!world.told.at("a")->isLeaving);
}

BOOST_AUTO_TEST_SUITE_END()

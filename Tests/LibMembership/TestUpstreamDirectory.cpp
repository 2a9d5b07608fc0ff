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

struct DirectoryFixture {
    size_t changes { 0 };
    // The last reported record of each upstream.
    std::map<std::string, std::optional<UpstreamRecord>> lastChange;
    size_t gaps { 0 };
    // The version of each record that was passed over, and whether its upstream may serve on.
    std::vector<std::pair<std::string, bool>> passedOver;
    UpstreamDirectory directory { {}, { [this](UpstreamChange const& change) {
                                           ++changes;
                                           lastChange[change.instance] = change.record;
                                       },
                                          [this] { ++gaps; }, [this](UpstreamRecord const& record, bool mayServe) { passedOver.emplace_back(record.version, mayServe); } } };

    // Confirms a read that was sent at this time and answered at once.
    void confirm(double seconds) { directory.confirm(at(seconds)); }
    bool isInUse(std::string const& instance) const { return lastChange.contains(instance) && lastChange.at(instance).has_value(); }
};

}

BOOST_AUTO_TEST_SUITE(UpstreamDirectoryTests)

BOOST_AUTO_TEST_CASE(ARemovedRecordRemovesItsUpstreamAtOnce)
{
    DirectoryFixture fixture;
    fixture.confirm(1);
    fixture.directory.replace({ record("a"), record("b") }, at(1));
    fixture.confirm(1.5);
    fixture.directory.remove("a", at(1.5));
    BOOST_TEST(!fixture.isInUse("a"));
    BOOST_TEST(fixture.isInUse("b"));
}

// Guards against versions that are in no list and were yet in use: their upstreams came and went between two lists.
BOOST_AUTO_TEST_CASE(WholeListsMayLackWhatCameAndWent)
{
    DirectoryFixture fixture;
    fixture.directory.replace({ record("a") }, at(1));
    BOOST_TEST(fixture.gaps == 1u);
    fixture.directory.put(record("b"), at(2));
    fixture.directory.remove("b", at(2));
    BOOST_TEST(fixture.gaps == 1u);
    fixture.directory.replaceByPeer({ record("a") }, at(3));
    BOOST_TEST(fixture.gaps == 2u);
    fixture.directory.replaceAfterRestore({ record("a") }, at(4), at(4));
    BOOST_TEST(fixture.gaps == 3u);
}

using PassedOver = std::vector<std::pair<std::string, bool>>;

UpstreamRecord ofVersion(std::string instance, std::string version, uint64_t incarnation)
{
    auto result = record(std::move(instance));
    result.version = std::move(version);
    result.incarnation = Incarnation(incarnation);
    return result;
}

// Guards against a version that is unknown here although daemons that start meanwhile use it: its record is of an
// earlier start.
BOOST_AUTO_TEST_CASE(ARecordOfAnEarlierStartIsReportedAsPassedOver)
{
    DirectoryFixture fixture;
    fixture.directory.put(ofVersion("a", "v2", 6), at(1));
    fixture.directory.put(ofVersion("a", "v1", 5), at(2));
    fixture.directory.put(ofVersion("a", "v1", 5), at(3));
    BOOST_TEST((fixture.passedOver == PassedOver { { "v1", false } }));
    fixture.directory.remove("a", at(4));
    BOOST_TEST((fixture.passedOver == PassedOver { { "v1", false }, { "v1", true } }));
    // Other daemons learn of it, although the list is the same before and after.
    DirectoryFixture relay;
    DirectoryFixture follower;
    for (auto* each : { &relay, &follower })
        each->directory.put(ofVersion("a", "v2", 6), at(1));
    relay.directory.put(ofVersion("a", "v1", 5), at(2));
    auto const hash = follower.directory.hash();
    BOOST_TEST(relay.directory.hash() == hash);
    follower.directory.applyForwarded(*relay.directory.changesSince(hash, at(2)), at(2));
    BOOST_TEST((follower.passedOver == PassedOver { { "v1", false } }));
    BOOST_TEST(follower.directory.hash() == hash);
    BOOST_TEST(follower.directory.records().at("a").version == "v2");
}

// Guards against a version that came and went between two forwarded lists that are equal, or within one message.
BOOST_AUTO_TEST_CASE(AVersionThatCameAndWentIsForwarded)
{
    DirectoryFixture relay;
    DirectoryFixture follower;
    for (auto* each : { &relay, &follower })
        each->directory.put(ofVersion("a", "v1", 1), at(1));
    auto const hash = follower.directory.hash();
    relay.directory.put(ofVersion("b", "v2", 2), at(2));
    relay.directory.remove("b", at(2.2));
    BOOST_TEST(relay.directory.hash() == hash);
    auto const changesBefore = follower.changes;
    auto const forward = [&](DirectoryFixture& from, DirectoryFixture& to, double seconds) { to.directory.applyForwarded(*from.directory.changesSince(hash, at(seconds)), at(seconds)); };
    forward(relay, follower, 2.5);
    BOOST_TEST((follower.passedOver == PassedOver { { "v2", true } }));
    BOOST_TEST(follower.directory.hash() == hash);
    BOOST_TEST(follower.changes == changesBefore);
    // It goes on to further daemons, and back to none that knows it.
    DirectoryFixture third;
    third.directory.put(ofVersion("a", "v1", 1), at(1));
    forward(follower, third, 2.6);
    BOOST_TEST((third.passedOver == PassedOver { { "v2", true } }));
    forward(third, relay, 2.7);
    forward(third, follower, 2.7);
    forward(relay, follower, 2.8);
    BOOST_TEST(relay.passedOver.empty());
    BOOST_TEST(follower.passedOver.size() == 1u);
    BOOST_TEST(relay.directory.changesSince(hash, at(5.3))->empty());
    // Beside another change, and as one that has announced that it leaves.
    auto leaving = ofVersion("c", "v3", 3);
    relay.directory.put(leaving, at(10));
    leaving.isLeaving = true;
    relay.directory.put(leaving, at(10));
    relay.directory.put(ofVersion("d", "v1", 4), at(10));
    relay.directory.remove("c", at(10));
    forward(relay, follower, 10);
    BOOST_TEST((follower.passedOver.back() == std::pair<std::string, bool>("v3", false)));
    BOOST_TEST(follower.isInUse("d"));
    BOOST_TEST(follower.directory.hash() == relay.directory.hash());
    // The earlier lists can still be told from the history.
    BOOST_TEST(relay.directory.listForHash(hash)->size() == 1u);
    BOOST_TEST(follower.directory.listForHash(hash)->size() == 1u);
}

BOOST_AUTO_TEST_CASE(AnUnchangedRecordIsNotReported)
{
    DirectoryFixture fixture;
    fixture.confirm(1);
    fixture.directory.put(record("a"), at(1));
    auto const changes = fixture.changes;
    fixture.directory.put(record("a"), at(1));
    BOOST_TEST(fixture.changes == changes);
    fixture.directory.put(record("a", true), at(1));
    BOOST_TEST(fixture.changes == changes + 1);
}

UpstreamRecord startedAt(std::string instance, uint64_t incarnation, bool isLeaving = false)
{
    auto result = record(std::move(instance), isLeaving);
    result.incarnation = Incarnation(incarnation);
    return result;
}

// A restarted process with the same name has none of the previous one's state, so its
// upstream id, and with it the list and its hash, must differ.
BOOST_AUTO_TEST_CASE(ARestartedProcessIsAnotherUpstream)
{
    DirectoryFixture fixture;
    fixture.directory.replace({ startedAt("a", 5), record("b") }, at(1));
    auto const before = fixture.directory.hash();
    fixture.directory.put(startedAt("a", 6), at(2));
    BOOST_TEST(fixture.directory.hash() != before);
    BOOST_TEST((startedAt("a", 5).id() != startedAt("a", 6).id()));
    BOOST_TEST((record("a").id() == UpstreamId::fromName("a")));
    // Counts packed by the earlier list refer to the earlier start.
    auto const listBefore = fixture.directory.listForHash(before);
    auto const list = fixture.directory.listForHash(fixture.directory.hash());
    BOOST_REQUIRE((listBefore && list));
    BOOST_TEST((listBefore->front() == startedAt("a", 5).id() && list->front() == startedAt("a", 6).id()));
    auto const changes = fixture.directory.changesSince(before, at(9));
    BOOST_REQUIRE((changes && changes->size() == 1u));
    BOOST_TEST((changes->front().record->incarnation == Incarnation(6)));
}

// Guards against an upstream whose version is forgotten, so that it would no longer count as one of a version
// that gets no requests, because a daemon of the release before passes on its record.
BOOST_AUTO_TEST_CASE(VersionIsKeptIfARecordOfTheSameProcessLacksIt)
{
    DirectoryFixture fixture;
    auto versioned = startedAt("a", 5);
    versioned.version = "v2";
    fixture.directory.replace({ versioned }, at(1));
    fixture.directory.put(startedAt("a", 5, true), at(2));
    BOOST_TEST(fixture.lastChange["a"]->version == "v2");
    BOOST_TEST(fixture.lastChange["a"]->isLeaving);
    fixture.directory.put(startedAt("a", 6), at(3));
    BOOST_TEST(fixture.lastChange["a"]->version.empty());
}

// A delayed write can take effect in the store up to six seconds after its process died, and
// another daemon may not know of the restart yet.
BOOST_AUTO_TEST_CASE(ADelayedRecordOfAnEarlierStartIsIgnored)
{
    DirectoryFixture fixture;
    fixture.directory.replace({ startedAt("a", 6) }, at(1));
    auto const changes = fixture.changes;
    fixture.directory.put(startedAt("a", 5, true), at(2));
    fixture.directory.put(record("a", true), at(3));
    fixture.directory.replace({ startedAt("a", 5, true) }, at(4));
    fixture.directory.tick(at(9));
    BOOST_TEST(fixture.changes == changes);
    BOOST_TEST(!fixture.lastChange["a"]->isLeaving);
    // A record of the current start discards the delayed one.
    fixture.directory.put(startedAt("a", 6), at(9.5));
    fixture.directory.tick(at(30));
    BOOST_TEST(fixture.changes == changes);
}

BOOST_AUTO_TEST_CASE(APersistentRecordOfAnEarlierStartIsAccepted)
{
    DirectoryFixture fixture;
    fixture.directory.replace({ startedAt("a", 6, true) }, at(1));
    fixture.directory.put(startedAt("a", 5), at(2));
    fixture.directory.tick(at(11));
    BOOST_TEST((fixture.lastChange["a"]->incarnation == Incarnation(6)));
    fixture.directory.tick(at(13));
    BOOST_TEST((fixture.lastChange["a"]->incarnation == Incarnation(5) && !fixture.lastChange["a"]->isLeaving));
}

// Guards against a grace period that starts at the response. After an outage of four seconds,
// a response that took 465 ms reported a removed record, and the upstream got requests until
// 2,288 ms after it had left, where 2,000 ms are allowed.
BOOST_AUTO_TEST_CASE(TheGracePeriodStartsWhenTheReadThatEndedTheOutageWasSent)
{
    DirectoryFixture fixture;
    fixture.confirm(5.3);
    fixture.directory.replace({ record("a"), record("b") }, at(5.3));
    fixture.directory.confirm(at(10.584));
    fixture.directory.remove("a", at(11.049));
    BOOST_TEST(fixture.isInUse("a"));
    fixture.directory.tick(at(12.55));
    BOOST_TEST(fixture.isInUse("a"));
    fixture.directory.tick(at(12.6));
    BOOST_TEST(!fixture.isInUse("a"));
}

// The upstream may have left after the outage, so the leave limit applies.
BOOST_AUTO_TEST_CASE(ARemovalAfterTheOutageTakesEffectWithinTheLeaveLimit)
{
    DirectoryFixture fixture;
    fixture.confirm(1);
    fixture.directory.replace({ record("a"), record("b"), record("c") }, at(1));
    // This read ends the outage: a removed record may only have expired.
    fixture.directory.confirm(at(10.5));
    fixture.directory.remove("a", at(10.6));
    fixture.directory.confirm(at(11.0));
    fixture.directory.remove("b", at(11.5));
    BOOST_TEST((fixture.isInUse("a") && fixture.isInUse("b")));
    fixture.directory.tick(at(12.1));
    BOOST_TEST(fixture.isInUse("b"));
    // 1.7 s after the last read that still contained it.
    fixture.directory.tick(at(12.25));
    BOOST_TEST(!fixture.isInUse("b"));
    BOOST_TEST(fixture.isInUse("a"));
    fixture.directory.tick(at(12.65));
    BOOST_TEST(!fixture.isInUse("a"));
    // Later than the leave limit after the last confirmation, there is no grace period.
    fixture.directory.confirm(at(12.5));
    fixture.directory.confirm(at(12.6));
    fixture.directory.remove("c", at(14.5));
    BOOST_TEST(!fixture.isInUse("c"));
}

BOOST_AUTO_TEST_CASE(AfterItsRemovalAnyStartIsAccepted)
{
    DirectoryFixture fixture;
    fixture.directory.replace({ startedAt("a", 6) }, at(1));
    fixture.directory.remove("a", at(2));
    fixture.directory.put(startedAt("a", 5), at(3));
    BOOST_TEST((fixture.lastChange["a"]->incarnation == Incarnation(5)));
}

BOOST_AUTO_TEST_CASE(ARecordThatExpiredInAnOutageMayBeWrittenAgain)
{
    DirectoryFixture fixture;
    fixture.confirm(1);
    fixture.directory.replace({ record("a"), record("b"), record("c") }, at(1));
    fixture.confirm(9);
    fixture.directory.remove("a", at(9));
    fixture.directory.remove("b", at(9));
    BOOST_TEST(fixture.isInUse("a"));
    fixture.confirm(9.5);
    fixture.directory.put(record("a"), at(9.5));
    fixture.confirm(10.9);
    fixture.directory.tick(at(10.9));
    BOOST_TEST(fixture.isInUse("b"));
    fixture.confirm(11.1);
    fixture.directory.tick(at(11.1));
    BOOST_TEST(fixture.isInUse("a"));
    BOOST_TEST(!fixture.isInUse("b"));
    BOOST_TEST(fixture.isInUse("c"));
}

BOOST_AUTO_TEST_CASE(ACompleteReadAfterAnOutageHasTheSameGracePeriod)
{
    DirectoryFixture fixture;
    fixture.confirm(1);
    fixture.directory.replace({ record("a"), record("b") }, at(1));
    fixture.confirm(9);
    fixture.directory.replace({ record("b") }, at(9));
    BOOST_TEST(fixture.isInUse("a"));
    // Without further reads, another outage would be detected.
    for (auto const seconds : { 10.0, 11.0, 11.5 })
        fixture.confirm(seconds);
    fixture.directory.tick(at(11.5));
    BOOST_TEST(!fixture.isInUse("a"));
}

BOOST_AUTO_TEST_CASE(TheHashDependsOnRecordsAndNotOnRemainingTimes)
{
    DirectoryFixture first;
    DirectoryFixture second;
    first.directory.replace({ record("a"), record("b") }, at(1));
    auto cold = record("b");
    cold.coldLeft = Milliseconds(500);
    first.directory.put(cold, at(1));
    cold.coldLeft = Milliseconds(300);
    second.directory.replace({ cold, record("a") }, at(2));
    BOOST_TEST(first.directory.hash() == second.directory.hash());
    // Other daemons have to learn whether the upstream is cold.
    second.directory.put(record("b"), at(2));
    BOOST_TEST(first.directory.hash() != second.directory.hash());
    first.directory.put(record("b"), at(2));
    BOOST_TEST(first.directory.hash() == second.directory.hash());
    second.directory.put(record("b", true), at(2));
    BOOST_TEST(first.directory.hash() != second.directory.hash());
}

// A daemon with an earlier list reaches the current one by applying the changes.
BOOST_AUTO_TEST_CASE(ChangesUpdateAnEarlierListToTheCurrentOne)
{
    DirectoryFixture first;
    DirectoryFixture second;
    for (auto* fixture : { &first, &second })
        fixture->directory.replace({ record("a"), record("b") }, at(1));
    auto const earlier = second.directory.hash();
    first.directory.put(record("a", true), at(1));
    first.directory.put(record("c"), at(1));
    first.directory.remove("a", at(1));
    auto const changes = first.directory.changesSince(earlier, at(9));
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
    BOOST_TEST(first.directory.changesSince(first.directory.hash(), at(9))->empty());
    BOOST_TEST(!first.directory.changesSince(12345, at(9)).has_value());
}

// A daemon keeps expired records in use after an outage. They must not reach daemons that
// had no outage and know that the upstream is gone.
BOOST_AUTO_TEST_CASE(ExpiredRecordsAreNotForwardedToOtherDaemons)
{
    DirectoryFixture cutOff;
    cutOff.confirm(1);
    cutOff.directory.replace({ record("a"), record("b") }, at(1));
    auto const before = cutOff.directory.hash();
    cutOff.confirm(9);
    cutOff.directory.replace({ record("b") }, at(9));
    BOOST_TEST(cutOff.isInUse("a"));
    DirectoryFixture other;
    other.confirm(9);
    other.directory.replace({ record("b") }, at(9));
    BOOST_TEST(cutOff.directory.hash() == other.directory.hash());
    BOOST_TEST(!cutOff.directory.records().contains("a"));
    auto const changes = cutOff.directory.changesSince(before, at(99));
    BOOST_REQUIRE(changes.has_value() && changes->size() == 1u);
    BOOST_TEST(!changes->front().record.has_value());
    cutOff.directory.tick(at(12));
    BOOST_TEST(!cutOff.isInUse("a"));
}

BOOST_AUTO_TEST_CASE(EarlierListsCanBeLookedUpByHash)
{
    DirectoryFixture fixture;
    fixture.confirm(1);
    std::map<uint64_t, UpstreamList> lists;
    auto const rememberList = [&] {
        UpstreamList list;
        for (auto const& [instance, record] : fixture.directory.records())
            list.push_back(record.id());
        lists[fixture.directory.hash()] = list;
    };
    for (auto const* instance : { "c", "a", "b" }) {
        fixture.directory.put(record(instance), at(1));
        rememberList();
    }
    fixture.directory.put(record("b", true), at(2));
    rememberList();
    fixture.directory.remove("a", at(2));
    rememberList();
    fixture.directory.put(record("d"), at(2));
    rememberList();
    for (auto const& [hash, list] : lists)
        BOOST_TEST((*fixture.directory.listForHash(hash) == list));
    BOOST_TEST(!fixture.directory.listForHash(12345));
}

// The cost of a change must not grow with the number of records.
BOOST_AUTO_TEST_CASE(OnlyChangedRecordsAreReported)
{
    DirectoryFixture fixture;
    fixture.confirm(1);
    std::vector<UpstreamRecord> records;
    records.reserve(500);
    for (int number = 0; number < 500; ++number)
        records.push_back(record("i-" + std::to_string(number)));
    fixture.directory.replace(records, at(1));
    BOOST_TEST(fixture.changes == 500u);
    records.erase(records.begin());
    records.back().isLeaving = true;
    fixture.directory.replace(records, at(1.5));
    BOOST_TEST(fixture.changes == 502u);
    BOOST_TEST(!fixture.lastChange.at("i-0").has_value());
    BOOST_TEST(fixture.lastChange.at("i-499")->isLeaving);
}

// A store that was restored from a copy lacks the latest writes. The upstreams write their
// records again within two seconds.
BOOST_AUTO_TEST_CASE(RecordsMissingAfterARestoreMayBeWrittenAgain)
{
    DirectoryFixture fixture;
    fixture.directory.confirm(at(1));
    fixture.directory.replace({ record("a"), record("b"), record("c") }, at(1));
    fixture.directory.confirm(at(2));
    fixture.directory.replaceAfterRestore({ record("a") }, at(2), at(2));
    BOOST_TEST(fixture.isInUse("b"));
    // Other daemons get it as well, since they can't know that it is only missing from the
    // restored store.
    BOOST_TEST(fixture.directory.records().contains("b"));
    fixture.directory.tick(at(3.5));
    fixture.directory.put(record("b"), at(3.6));
    // A complete read within the grace period removes nothing.
    fixture.directory.replace({ record("a"), record("b") }, at(3.8));
    BOOST_TEST(fixture.isInUse("c"));
    fixture.directory.tick(at(4.1));
    BOOST_TEST(fixture.isInUse("b"));
    BOOST_TEST(!fixture.isInUse("c"));
    BOOST_TEST(!fixture.directory.records().contains("c"));
}

// Guards against an upstream that has left and stays in use for ever: one daemon keeps it as missing from the
// restored store, and another takes it over, which reads the store itself.
BOOST_AUTO_TEST_CASE(AMissingUpstreamOfAnotherDaemonIsDroppedAsWell)
{
    DirectoryFixture fixture;
    fixture.directory.confirm(at(1));
    fixture.directory.replace({ record("a"), record("b") }, at(1));
    fixture.directory.confirm(at(2));
    fixture.directory.replaceAfterRestore({ record("a") }, at(2), at(2));
    // "c" has left before this daemon started, and "d" is new.
    fixture.directory.confirm(at(2.5));
    fixture.directory.replaceByPeer({ record("a"), record("b"), record("c"), record("d") }, at(2.5));
    BOOST_TEST(fixture.isInUse("c"));
    fixture.directory.put(record("d"), at(3));
    fixture.directory.tick(at(4.1));
    BOOST_TEST(fixture.isInUse("a"));
    BOOST_TEST(fixture.isInUse("d"));
    for (auto const* instance : { "b", "c" }) {
        BOOST_TEST(!fixture.isInUse(instance));
        BOOST_TEST(!fixture.directory.records().contains(instance));
    }
    // Later lists have no such upstreams.
    fixture.directory.confirm(at(5));
    fixture.directory.replaceByPeer({ record("a"), record("d"), record("e") }, at(5));
    fixture.directory.tick(at(20));
    BOOST_TEST(fixture.isInUse("e"));
}

BOOST_AUTO_TEST_CASE(ALeavingUpstreamStaysLeavingAfterARestore)
{
    DirectoryFixture fixture;
    fixture.directory.confirm(at(1));
    fixture.directory.replace({ record("a"), record("b") }, at(1));
    fixture.directory.put(record("a", true), at(1.5));
    fixture.directory.confirm(at(2));
    fixture.directory.replaceAfterRestore({ record("a"), record("b") }, at(2), at(2));
    BOOST_TEST(fixture.lastChange.at("a")->isLeaving);
    BOOST_TEST(!fixture.lastChange.at("b")->isLeaving);
    // A restarted process is another upstream.
    fixture.directory.put(startedAt("a", 7), at(3));
    BOOST_TEST(!fixture.lastChange.at("a")->isLeaving);
}

BOOST_AUTO_TEST_SUITE_END()

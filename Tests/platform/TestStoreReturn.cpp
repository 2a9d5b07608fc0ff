#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <platform/KeyedTopicFollower.h>
#include <platform/StoreClient.h>
#include <platform/StorePosition.h>

using namespace Stagepost;

namespace {

// A store with one topic and one key that can be restored from a copy.
struct RestoredStore {
    StoreClient client { {}, [this](Endpoint const&, HttpRequest const& call, Milliseconds, auto const& callback) { callback(answer(call)); } };

    std::vector<std::string> records { "v1", "v2" };
    std::optional<uint64_t> era { 1 };
    // Whether reads from beyond the end fail with status 410.
    bool rejectsReadsPastEnd { true };
    std::vector<std::string> targets;

    void restore(size_t count, std::vector<std::string> const& written)
    {
        records.resize(count);
        records.insert(records.end(), written.begin(), written.end());
        ++*era;
    }

private:
    HttpResponse answer(HttpRequest const& call)
    {
        targets.push_back(call.target);
        HttpResponse reply;
        if (era)
            reply.headers.add("Store-Era", std::to_string(*era));
        if (call.target.starts_with("/log-newest"))
            reply.body = newest(call.target.find("afterRev") == std::string::npos);
        else
            read(reply, std::stoull(call.target.substr(call.target.find("from=") + 5)));
        return reply;
    }

    std::string newest(bool hasItems) const
    {
        // "v1" as base64 is djE=.
        std::string const value = "dj" + std::string(1, static_cast<char>('E' + 4 * (records.back()[1] - '1'))) + "=";
        nlohmann::json const item { { "key", "k" }, { "value", value }, { "offset", 0 } };
        return nlohmann::json { { "items", hasItems ? nlohmann::json { item } : nlohmann::json::array() }, { "hasMore", false }, { "end", records.size() } }.dump();
    }

    void read(HttpResponse& reply, uint64_t from) const
    {
        if (from > records.size() && rejectsReadsPastEnd) {
            reply.status = 410;
            return;
        }
        reply.body.assign(16, '\0');
        reply.body[7] = static_cast<char>(records.size());
        for (auto at = from; at < records.size(); ++at)
            reply.body += std::string { 0, 0, 0, static_cast<char>(2 + records[at].size()), 1, 'k' } + records[at];
    }
};

// Follows the topic of a RestoredStore.
struct Follower {
    explicit Follower(bool areRecordsNeeded = true)
    {
        KeyedTopicFollower::Hooks hooks;
        hooks.handleBatch = [this](auto const& batch) {
            ++batches;
            batchesAfterReturn += batch.isAfterReturn ? 1 : 0;
            for (auto const& record : batch.read.records())
                values.push_back(*record.value);
            return true;
        };
        hooks.isNeeded = [] { return true; };
        hooks.areFurtherPagesNeeded = [] { return true; };
        hooks.fleetRetryDelay = [](size_t) { return Milliseconds(1); };
        hooks.areRecordsNeeded = [areRecordsNeeded] { return areRecordsNeeded; };
        hooks.recordsAdded = [this] { ++added; };
        hooks.storeReturned = [this] { ++returnHookCalls; };
        hooks.knownPosition = [this] { return known; };
        follower.emplace(
            loop, store.client, metrics, "t", KeyedTopicFollower::Options { Milliseconds(0), Milliseconds(1) }, [] { return 0u; }, hooks);
        follower->start();
        loop.runFor(Milliseconds(10));
    }

    EventLoop loop;
    Metrics metrics;
    RestoredStore store;
    size_t batches { 0 };
    size_t batchesAfterReturn { 0 };
    size_t added { 0 };
    size_t returnHookCalls { 0 };
    // The position up to which other daemons have forwarded the records.
    std::optional<StorePosition> known;
    std::vector<std::string> values;
    std::optional<KeyedTopicFollower> follower;
};

StorePosition at(uint64_t era, uint64_t offset)
{
    return { StoreEra(era), Offset(offset) };
}

}

BOOST_AUTO_TEST_SUITE(StoreReturnTests)

BOOST_AUTO_TEST_CASE(PositionsOrderByEraFirst)
{
    BOOST_TEST((at(1, 900) < at(2, 3)));
    BOOST_TEST((at(1, 900).packed() < at(2, 3).packed()));
    BOOST_TEST((StorePosition::unpack(at(7, 900).packed()) == at(7, 900)));
    // The format of daemons that do not support eras.
    BOOST_TEST(at(0, 900).packed() == 900u);
}

// A daemon that restarts right after the store was restored has a lower offset than before. Peers
// that have not noticed the restore would consider it older than its previous process.
BOOST_AUTO_TEST_CASE(IncarnationsIncreaseDespiteLowerOffsets)
{
    BOOST_TEST((incarnationFromPosition(at(1, 900)) < incarnationFromPosition(at(1, 901))));
    BOOST_TEST((incarnationFromPosition(at(1, 900)) < incarnationFromPosition(at(2, 3))));
    BOOST_TEST((incarnationFromPosition(at(0, 900)) < incarnationFromPosition(at(1, 3))));
    BOOST_TEST((incarnationFromPosition(at(254, 900)) < incarnationFromPosition(at(255, 3))));
    // The incarnation in daemons that do not support eras.
    BOOST_TEST(incarnationFromPosition(at(0, 900)).value() == uint64_t { 901 } << 32);
}

BOOST_AUTO_TEST_CASE(ResponsesFromBeforeRestoreAreErrors)
{
    RestoredStore store;
    store.era = 3;
    std::optional<Result<StorePosition>> end;
    store.rejectsReadsPastEnd = false;
    auto const ask = [&] { store.client.queryEnd("t", [&](auto result) { end = std::move(result); }); };
    ask();
    BOOST_REQUIRE(end && end->has_value());
    BOOST_TEST((end->value() == at(3, 2)));
    store.era = 2;
    ask();
    BOOST_REQUIRE(end && !end->has_value());
    BOOST_TEST((end->error().code == make_error_code(ErrorCode::PlatformDown)));
    // A response without an era counts as one of the newest era.
    store.era.reset();
    ask();
    BOOST_REQUIRE(end && end->has_value());
    BOOST_TEST((end->value() == at(3, 2)));
}

// The restore loses the configuration in force, and the next one is written at the same offset.
// Daemons continued to read after it, and each empty response confirmed the lost configuration:
// the new one was not in force after eight seconds.
BOOST_AUTO_TEST_CASE(RecordAtOffsetOfLostRecordIsRead)
{
    Follower daemon;
    BOOST_TEST(daemon.values.back() == "v2");
    daemon.store.restore(1, { "v3" });
    daemon.loop.runFor(Milliseconds(10));
    BOOST_TEST(daemon.values.back() == "v3");
    BOOST_TEST(daemon.batchesAfterReturn == 1u);
    BOOST_TEST(daemon.returnHookCalls == 1u);
}

BOOST_AUTO_TEST_CASE(RecordsAfterRestoreAreReadFromLatestSnapshot)
{
    Follower daemon;
    daemon.store.restore(0, { "v3", "v4", "v5" });
    daemon.loop.runFor(Milliseconds(10));
    // The latest record is read, instead of continuing at the old position.
    BOOST_TEST((daemon.values == std::vector<std::string> { "v2", "v5" }));
    BOOST_TEST(daemon.batchesAfterReturn == 1u);
}

BOOST_AUTO_TEST_CASE(ShorterTopicIsReadAgain)
{
    Follower daemon;
    daemon.store.restore(1, {});
    daemon.loop.runFor(Milliseconds(10));
    BOOST_TEST(daemon.values.back() == "v1");
    BOOST_TEST(daemon.batchesAfterReturn == 1u);
}

BOOST_AUTO_TEST_CASE(SameEndInAnotherEraConfirmsNothing)
{
    Follower daemon(false);
    auto const batches = daemon.batches;
    daemon.store.restore(1, { "v3" });
    daemon.loop.runFor(Milliseconds(10));
    BOOST_TEST(daemon.batches <= batches + 1);
    BOOST_TEST(daemon.added > 0u);
    // Other daemons read the records and forward them.
    BOOST_TEST((daemon.values == std::vector<std::string> { "v2" }));
}

// Other daemons forward the restored state, after which nothing is missing. An empty read that counted as
// the whole restored topic withdrew all orders to empty halls two seconds later.
BOOST_AUTO_TEST_CASE(ReadAfterForwardedRestoreIsNotTheRestoredTopic)
{
    Follower daemon(false);
    daemon.store.restore(1, { "v3" });
    daemon.known = at(2, 2);
    daemon.loop.runFor(Milliseconds(10));
    BOOST_TEST(daemon.returnHookCalls == 1u);
    BOOST_TEST(daemon.batchesAfterReturn == 0u);
}

// If the store rejects reads from beyond the end, the list after the last key gives the end.
BOOST_AUTO_TEST_CASE(EndIsQueriedByListIfReadsPastEndFail)
{
    Follower daemon(false);
    auto const batches = daemon.batches;
    daemon.loop.runFor(Milliseconds(20));
    BOOST_TEST(daemon.batches > batches + 3);
    BOOST_TEST((daemon.values == std::vector<std::string> { "v2" }));
}

BOOST_AUTO_TEST_SUITE_END()

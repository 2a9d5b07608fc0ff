#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <platform/KeyedTopicFollower.h>
#include <platform/StoreClient.h>
#include <platform/StoreRateLimit.h>

using namespace Stagepost;

namespace {

// A store whose list of keys has three pages.
struct PagedStore {
    std::vector<std::string> targets;
    StoreClient client { {}, [this](Endpoint const&, HttpRequest const& call, Milliseconds, auto const& callback) {
                            targets.push_back(call.target);
                            nlohmann::json const item { { "key", "k" + std::to_string(targets.size()) }, { "value", "dg==" }, { "offset", 0 } };
                            nlohmann::json const page { { "items", { item } }, { "hasMore", targets.size() < 3 }, { "end", 40 + targets.size() } };
                            callback(HttpResponse { 200, {}, page.dump() });
                        } };
};

}

// A store with one topic, to which the test adds records, and the targets of the calls that it gets.
struct RecordStore {
    StoreClient client { {}, [this](Endpoint const&, HttpRequest const& call, Milliseconds, auto const& callback) {
                            targets.push_back(call.target);
                            if (rejectsReadsPastEnd && call.target.find("from=281474976710656") != std::string::npos) {
                                callback(HttpResponse { 400, {}, {} });
                                return;
                            }
                            auto const from = std::stoull(call.target.substr(call.target.find("from=") + 5));
                            std::string body(16, '\0');
                            body[7] = static_cast<char>(records.size());
                            for (auto at = from; at < records.size(); ++at)
                                body += std::string { 0, 0, 0, static_cast<char>(2 + records[at].size()), 1, 'k' } + records[at];
                            callback(HttpResponse { 200, {}, body });
                        } };
    std::vector<std::string> records { "a", "b" };
    // Whether reads from beyond the end fail with status 400.
    bool rejectsReadsPastEnd { false };
    std::vector<std::string> targets;
};

// Follows the topic of a RecordStore, while other daemons forward records up to a known position.
struct FollowerWithPeers {
    FollowerWithPeers()
    {
        KeyedTopicFollower::Hooks hooks;
        hooks.handleBatch = [this](auto const& batch) {
            ++batches;
            for (auto const& record : batch.read.records())
                readValues.push_back(*record.value);
            return true;
        };
        hooks.isNeeded = [] { return true; };
        hooks.areFurtherPagesNeeded = [] { return true; };
        hooks.fleetRetryDelay = [](size_t) { return Milliseconds(1); };
        hooks.knownPosition = [this] { return known; };
        hooks.areRecordsNeeded = [this] { return areRecordsNeeded; };
        hooks.recordsAdded = [this] { ++added; };
        follower.emplace(
            loop, store.client, metrics, "t", KeyedTopicFollower::Options { Milliseconds(0), Milliseconds(1) }, [] { return 0u; }, hooks);
        follower->start();
    }

    EventLoop loop;
    Metrics metrics;
    RecordStore store;
    std::optional<StorePosition> known { StorePosition { {}, Offset(2) } };
    bool areRecordsNeeded { false };
    size_t batches { 0 };
    size_t added { 0 };
    std::vector<std::string> readValues;
    std::optional<KeyedTopicFollower> follower;
};

BOOST_AUTO_TEST_SUITE(StoreClientTests)

BOOST_AUTO_TEST_CASE(ListsAreReadPageByPage)
{
    PagedStore store;
    std::optional<Result<KeyedRecords>> found;
    store.client.readLatest(
        "t", [] { return true; }, [&](auto result) { found = std::move(result); });
    BOOST_REQUIRE(found && found->has_value());
    BOOST_TEST((*found)->records.size() == 3u);
    // Changes made during the read must be read again.
    BOOST_TEST((*found)->next.offset.value() == 41u);
    BOOST_TEST(store.targets.back().ends_with("=k2"));
}

BOOST_AUTO_TEST_CASE(ListReadIsCancelledBetweenPages)
{
    PagedStore store;
    std::optional<Result<KeyedRecords>> found;
    store.client.readLatest(
        "t", [] { return false; }, [&](auto result) { found = std::move(result); });
    BOOST_TEST(store.targets.size() == 1u);
    BOOST_REQUIRE(found && !found->has_value());
    BOOST_TEST((found->error().code == make_error_code(ErrorCode::Cancelled)));
}

BOOST_AUTO_TEST_CASE(RetriesOfAllDaemonsUseLessThanHalfTheStoreCapacity)
{
    StoreRateLimit const limit { 2000 };
    for (size_t const daemons : { 1u, 7u, 85u, 330u }) {
        auto const delay = asSeconds(limit.retryDelay(daemons + 1));
        BOOST_TEST(static_cast<double>(daemons) * 2 / delay < 1000);
    }
}

BOOST_AUTO_TEST_CASE(InvalidItemsDoNotAffectOthers)
{
    StoreClient const client({}, [](Endpoint const&, HttpRequest const&, Milliseconds, auto const& callback) {
        callback(HttpResponse { 200, {}, R"({"items":[{"key":"a","value":"dg=="},{"key":"b","value":"no base64!"},{"key":7},3,{"key":"c","value":"dg=="}],"hasMore":false,"end":7})" });
    });
    std::optional<Result<KeyedRecords>> found;
    client.readLatest(
        "t", [] { return true; }, [&](auto result) { found = std::move(result); });
    BOOST_REQUIRE(found && found->has_value());
    auto const& records = (*found)->records;
    BOOST_REQUIRE(records.size() == 3u);
    BOOST_TEST((records[0].value == "v" && records[2].value == "v"));
    // An undecodable value must not look like a deleted key.
    BOOST_TEST((records[1].value == std::string()));
}

BOOST_AUTO_TEST_CASE(EndIsQueriedWithoutRecords)
{
    RecordStore store;
    std::optional<Result<StorePosition>> end;
    store.client.queryEnd("t", [&](auto result) { end = std::move(result); });
    BOOST_REQUIRE(end && end->has_value());
    BOOST_TEST(end->value().offset.value() == 2u);
    BOOST_TEST(store.targets.size() == 1u);
}

// While one daemon of a hall read a configuration of 0.8 MB, the confirmations of all others
// expired, so each of them read it too. That took 0.7 s of a link of 10 Mbit/s, on which requests
// then could not connect to their upstreams within 40 ms.
BOOST_AUTO_TEST_CASE(RecordsThatOthersForwardAreNotRead)
{
    FollowerWithPeers daemon;
    daemon.loop.runFor(Milliseconds(10));
    BOOST_TEST(daemon.batches > 0u);
    daemon.store.records.emplace_back("large");
    daemon.loop.runFor(Milliseconds(10));
    auto const batches = daemon.batches;
    BOOST_TEST(daemon.added > 0u);
    daemon.loop.runFor(Milliseconds(10));
    // Unread records must not confirm the known state.
    BOOST_TEST(daemon.batches == batches);
    BOOST_TEST(daemon.readValues.empty());
    daemon.known = StorePosition { {}, Offset(3) };
    daemon.loop.runFor(Milliseconds(10));
    BOOST_TEST(daemon.batches > batches);
    BOOST_TEST(daemon.readValues.empty());
}

BOOST_AUTO_TEST_CASE(RecordsAreReadIfEndQueryFails)
{
    FollowerWithPeers daemon;
    daemon.store.rejectsReadsPastEnd = true;
    daemon.store.records.emplace_back("new");
    for (size_t round = 0; round < 100 && daemon.readValues.empty(); ++round)
        daemon.loop.runFor(Milliseconds(20));
    BOOST_TEST((daemon.readValues == std::vector<std::string> { "new" }));
    BOOST_TEST(daemon.batches > 0u);
}

BOOST_AUTO_TEST_CASE(RecordsThatNobodyForwardsAreReadFromKnownPosition)
{
    FollowerWithPeers daemon;
    daemon.store.records.emplace_back("new");
    daemon.loop.runFor(Milliseconds(10));
    daemon.areRecordsNeeded = true;
    daemon.loop.runFor(Milliseconds(10));
    BOOST_TEST((daemon.readValues == std::vector<std::string> { "new" }));
}

// The retry delay depends on the number of consecutive failures.
BOOST_AUTO_TEST_CASE(ConsecutiveFailuresAreCounted)
{
    EventLoop loop;
    Metrics metrics;
    size_t calls = 0;
    StoreClient const client({}, [&](Endpoint const&, HttpRequest const&, Milliseconds, auto const& callback) {
        ++calls;
        if (calls == 4)
            callback(HttpResponse { 200, {}, R"({"items":[],"hasMore":false,"end":7})" });
        else
            callback(Error(ErrorCode::Timeout, "no answer"));
    });
    std::vector<size_t> failures;
    KeyedTopicFollower::Hooks hooks;
    hooks.handleBatch = [](auto const&) { return true; };
    hooks.isNeeded = [] { return true; };
    hooks.areFurtherPagesNeeded = [] { return true; };
    hooks.fleetRetryDelay = [&](size_t count) {
        failures.push_back(count);
        if (failures.size() == 4)
            loop.stop();
        return Milliseconds(1);
    };
    KeyedTopicFollower follower(
        loop, client, metrics, "t", { Milliseconds(0), Milliseconds(1) }, [] { return 0u; }, hooks);
    follower.start();
    loop.run();
    BOOST_TEST(failures == (std::vector<size_t> { 1, 2, 3, 1 }), boost::test_tools::per_element());
}

// Guards against a list that never ends: its pages go back to keys that were listed before.
BOOST_AUTO_TEST_CASE(EndsAListWhoseKeysDontRise)
{
    size_t calls = 0;
    StoreClient const client({}, [&](Endpoint const&, HttpRequest const&, Milliseconds, auto const& callback) {
        constexpr size_t maxCalls = 10;
        auto const* key = calls % 2 ? "a" : "b";
        callback(HttpResponse { 200, {}, nlohmann::json { { "items", { { { "key", key }, { "value", "dg==" } } } }, { "hasMore", ++calls < maxCalls }, { "end", 2 } }.dump() });
    });
    std::optional<Result<KeyedRecords>> found;
    client.readLatest(
        "keyed.topic", [] { return true; }, [&](auto const& result) { found = result; });
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST((!*found && found->error().code == make_error_code(ErrorCode::PlatformDown)));
    BOOST_TEST(calls == 2);
}

// Guards against a list of ever new keys, which took the memory of the daemon's machine.
BOOST_AUTO_TEST_CASE(EndsAListLargerThanItsLimit)
{
    constexpr uint64_t maxListBytes = 10'000;
    size_t calls = 0;
    StoreClient const client(
        {}, [&](Endpoint const&, HttpRequest const&, Milliseconds, auto const& callback) {
            auto const key = std::to_string(1'000'000 + ++calls);
            callback(HttpResponse { 200, {}, nlohmann::json { { "items", { { { "key", key }, { "value", std::string(4000, 'A') } } } }, { "hasMore", calls < 10 }, { "end", 2 } }.dump() });
        },
        maxListBytes);
    std::optional<Result<KeyedRecords>> found;
    client.readLatest(
        "keyed.topic", [] { return true; }, [&](auto const& result) { found = result; });
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST((!*found && found->error().code == make_error_code(ErrorCode::PlatformDown)));
    BOOST_TEST(calls == 4);
}

BOOST_AUTO_TEST_SUITE_END()

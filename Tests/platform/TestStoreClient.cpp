#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <platform/KeyedTopicFollower.h>
#include <platform/StoreClient.h>
#include <platform/StorePace.h>

using namespace Stagepost;

namespace {

// A store whose list of keys has three pages.
struct PagedStore {
    std::vector<std::string> targets;
    StoreClient client { {}, [this](Endpoint const&, HttpCall const& call, Milliseconds, auto const& callback) {
                            targets.push_back(call.target);
                            nlohmann::json const item { { "key", "k" + std::to_string(targets.size()) }, { "value", "dg==" }, { "offset", 0 } };
                            nlohmann::json const page { { "items", { item } }, { "hasMore", targets.size() < 3 }, { "end", 40 + targets.size() } };
                            callback(HttpReply { 200, {}, page.dump() });
                        } };
};

}

// A topic whose records are added by the test, and what is asked of it.
struct RecordStore {
    StoreClient client { {}, [this](Endpoint const&, HttpCall const& call, Milliseconds, auto const& callback) {
                            targets.push_back(call.target);
                            if (isStrict && call.target.find("from=281474976710656") != std::string::npos) {
                                callback(HttpReply { 400, {}, {} });
                                return;
                            }
                            auto const from = std::stoull(call.target.substr(call.target.find("from=") + 5));
                            std::string body(16, '\0');
                            body[7] = static_cast<char>(records.size());
                            for (auto at = from; at < records.size(); ++at)
                                body += std::string { 0, 0, 0, static_cast<char>(2 + records[at].size()), 1, 'k' } + records[at];
                            callback(HttpReply { 200, {}, body });
                        } };
    std::vector<std::string> records { "a", "b" };
    // Refuses a read from behind the end.
    bool isStrict { false };
    std::vector<std::string> targets;
};

// A daemon that others tell up to where they know the topic.
struct ToldFollower {
    ToldFollower()
    {
        KeyedTopicFollower::Hooks hooks;
        hooks.taken = [this](auto const& batch) {
            ++proofs;
            for (auto const& record : batch.records)
                read.push_back(*record.value);
            return true;
        };
        hooks.isNeeded = [] { return true; };
        hooks.areAllPagesNeeded = [] { return true; };
        hooks.fairPause = [](size_t) { return Milliseconds(1); };
        hooks.knownUpTo = [this] { return known; };
        hooks.areRecordsNeeded = [this] { return isOverdue; };
        hooks.added = [this] { ++added; };
        follower.emplace(
            loop, store.client, "t", KeyedTopicFollower::Pace { Milliseconds(0), Milliseconds(1) }, [] { return 0u; }, hooks);
        follower->start();
    }

    EventLoop loop;
    RecordStore store;
    std::optional<StorePosition> known { StorePosition { {}, Offset(2) } };
    bool isOverdue { false };
    size_t proofs { 0 };
    size_t added { 0 };
    std::vector<std::string> read;
    std::optional<KeyedTopicFollower> follower;
};

BOOST_AUTO_TEST_SUITE(StoreClientTests)

BOOST_AUTO_TEST_CASE(AListIsReadPageByPage)
{
    PagedStore store;
    std::optional<Result<KeyedRecords>> found;
    store.client.readLatest(
        "t", [] { return true; }, [&](auto result) { found = std::move(result); });
    BOOST_REQUIRE(found && found->has_value());
    BOOST_TEST((*found)->records.size() == 3u);
    // What changes while the pages are read is read again.
    BOOST_TEST((*found)->next.offset.value() == 41u);
    BOOST_TEST(store.targets.back().ends_with("=k2"));
}

BOOST_AUTO_TEST_CASE(AListThatIsNotNeededAnyMoreIsGivenUpBetweenPages)
{
    PagedStore store;
    std::optional<Result<KeyedRecords>> found;
    store.client.readLatest(
        "t", [] { return false; }, [&](auto result) { found = std::move(result); });
    BOOST_TEST(store.targets.size() == 1u);
    BOOST_REQUIRE(found && !found->has_value());
    BOOST_TEST((found->error().code == make_error_code(ErrorCode::Cancelled)));
}

BOOST_AUTO_TEST_CASE(AllDaemonsTogetherTryAgainWithinHalfOfWhatTheStoreTakes)
{
    StorePace const pace { 2000 };
    for (size_t const daemons : { 1u, 7u, 85u, 330u }) {
        auto const pause = asSeconds(pace.fairPause(daemons + 1));
        BOOST_TEST(static_cast<double>(daemons) * 2 / pause < 1000);
    }
}

BOOST_AUTO_TEST_CASE(AnItemThatCannotBeReadLeavesTheOthers)
{
    StoreClient const client({}, [](Endpoint const&, HttpCall const&, Milliseconds, auto const& callback) {
        callback(HttpReply { 200, {}, R"({"items":[{"key":"a","value":"dg=="},{"key":"b","value":"no base64!"},{"key":7},3,{"key":"c","value":"dg=="}],"hasMore":false,"end":7})" });
    });
    std::optional<Result<KeyedRecords>> found;
    client.readLatest(
        "t", [] { return true; }, [&](auto result) { found = std::move(result); });
    BOOST_REQUIRE(found && found->has_value());
    auto const& records = (*found)->records;
    BOOST_REQUIRE(records.size() == 3u);
    BOOST_TEST((records[0].value == "v" && records[2].value == "v"));
    // It is there and cannot be read, which is not the same as taken away.
    BOOST_TEST((records[1].value == std::string()));
}

BOOST_AUTO_TEST_CASE(TheEndOfATopicCostsNoRecord)
{
    RecordStore store;
    std::optional<Result<StorePosition>> end;
    store.client.queryEnd("t", [&](auto result) { end = std::move(result); });
    BOOST_REQUIRE(end && end->has_value());
    BOOST_TEST(end->value().offset.value() == 2u);
    BOOST_TEST(store.targets.size() == 1u);
}

// While one daemon of a hall read a configuration of 0.8 MB, the proofs of all others
// grew old, and each of them read it as well: 0.7 s of a link of 10 Mbit/s, on which
// requests found no connection to their upstreams in 40 ms.
BOOST_AUTO_TEST_CASE(WhatOthersAreAboutToTellIsNotReadByAll)
{
    ToldFollower told;
    told.loop.runFor(Milliseconds(10));
    BOOST_TEST(told.proofs > 0u);
    told.store.records.emplace_back("large");
    told.loop.runFor(Milliseconds(10));
    auto const proofs = told.proofs;
    BOOST_TEST(told.added > 0u);
    told.loop.runFor(Milliseconds(10));
    // What is there and not known proves nothing.
    BOOST_TEST(told.proofs == proofs);
    BOOST_TEST(told.read.empty());
    told.known = StorePosition { {}, Offset(3) };
    told.loop.runFor(Milliseconds(10));
    BOOST_TEST(told.proofs > proofs);
    BOOST_TEST(told.read.empty());
}

BOOST_AUTO_TEST_CASE(AStoreThatDoesNotSayWhereATopicEndsIsRead)
{
    ToldFollower told;
    told.store.isStrict = true;
    told.store.records.emplace_back("new");
    for (size_t round = 0; round < 100 && told.read.empty(); ++round)
        told.loop.runFor(Milliseconds(20));
    BOOST_TEST((told.read == std::vector<std::string> { "new" }));
    BOOST_TEST(told.proofs > 0u);
}

BOOST_AUTO_TEST_CASE(WhatNobodyTellsIsReadFromWhereOthersWere)
{
    ToldFollower told;
    told.store.records.emplace_back("new");
    told.loop.runFor(Milliseconds(10));
    told.isOverdue = true;
    told.loop.runFor(Milliseconds(10));
    BOOST_TEST((told.read == std::vector<std::string> { "new" }));
}

// Whoever is to pause longer after each failure has to be told how many there were.
BOOST_AUTO_TEST_CASE(FailuresInARowAreCountedUntilTheStoreAnswers)
{
    EventLoop loop;
    size_t calls = 0;
    StoreClient const client({}, [&](Endpoint const&, HttpCall const&, Milliseconds, auto const& callback) {
        ++calls;
        if (calls == 4)
            callback(HttpReply { 200, {}, R"({"items":[],"hasMore":false,"end":7})" });
        else
            callback(Error(ErrorCode::Timeout, "no answer"));
    });
    std::vector<size_t> failures;
    KeyedTopicFollower::Hooks hooks;
    hooks.taken = [](auto const&) { return true; };
    hooks.isNeeded = [] { return true; };
    hooks.areAllPagesNeeded = [] { return true; };
    hooks.fairPause = [&](size_t count) {
        failures.push_back(count);
        if (failures.size() == 4)
            loop.stop();
        return Milliseconds(1);
    };
    KeyedTopicFollower follower(
        loop, client, "t", { Milliseconds(0), Milliseconds(1) }, [] { return 0u; }, hooks);
    follower.start();
    loop.run();
    BOOST_TEST(failures == (std::vector<size_t> { 1, 2, 3, 1 }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <platform/KeyedTopicFollower.h>
#include <platform/StoreClient.h>
#include <platform/StorePosition.h>

using namespace Stagepost;

namespace {

// A store with one topic of one key, which may come back from a copy.
struct ReturningStore {
    StoreClient client { {}, [this](Endpoint const&, HttpCall const& call, Milliseconds, auto const& callback) { callback(answer(call)); } };

    std::vector<std::string> records { "v1", "v2" };
    std::optional<uint64_t> era { 1 };
    // Answers a read from where it has nothing with 410.
    bool isStrict { true };
    std::vector<std::string> targets;

    void returnTo(size_t count, std::vector<std::string> const& written)
    {
        records.resize(count);
        records.insert(records.end(), written.begin(), written.end());
        ++*era;
    }

private:
    HttpReply answer(HttpCall const& call)
    {
        targets.push_back(call.target);
        HttpReply reply;
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

    void read(HttpReply& reply, uint64_t from) const
    {
        if (from > records.size() && isStrict) {
            reply.status = 410;
            return;
        }
        reply.body.assign(16, '\0');
        reply.body[7] = static_cast<char>(records.size());
        for (auto at = from; at < records.size(); ++at)
            reply.body += std::string { 0, 0, 0, static_cast<char>(2 + records[at].size()), 1, 'k' } + records[at];
    }
};

// A daemon that follows it.
struct Follower {
    explicit Follower(bool areRecordsNeeded = true)
    {
        KeyedTopicFollower::Hooks hooks;
        hooks.taken = [this](auto const& batch) {
            ++proofs;
            returns += batch.isAfterReturn ? 1 : 0;
            for (auto const& record : batch.records)
                taken.push_back(*record.value);
            return true;
        };
        hooks.isNeeded = [] { return true; };
        hooks.areAllPagesNeeded = [] { return true; };
        hooks.fairPause = [](size_t) { return Milliseconds(1); };
        hooks.areRecordsNeeded = [areRecordsNeeded] { return areRecordsNeeded; };
        hooks.added = [this] { ++added; };
        hooks.returned = [this] { ++noted; };
        follower.emplace(
            loop, store.client, "t", KeyedTopicFollower::Pace { Milliseconds(0), Milliseconds(1) }, [] { return 0u; }, hooks);
        follower->start();
        loop.runFor(Milliseconds(10));
    }

    EventLoop loop;
    ReturningStore store;
    size_t proofs { 0 };
    size_t returns { 0 };
    size_t added { 0 };
    size_t noted { 0 };
    std::vector<std::string> taken;
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
    // As daemons write it that know of no eras.
    BOOST_TEST(at(0, 900).packed() == 900u);
}

// A daemon that starts again right after the return, at a lower offset than before: its
// peers, which have not seen the return, would take it for older than itself.
BOOST_AUTO_TEST_CASE(IncarnationsRiseWhateverOffsetsDo)
{
    BOOST_TEST((incarnationFromPosition(at(1, 900)) < incarnationFromPosition(at(1, 901))));
    BOOST_TEST((incarnationFromPosition(at(1, 900)) < incarnationFromPosition(at(2, 3))));
    BOOST_TEST((incarnationFromPosition(at(0, 900)) < incarnationFromPosition(at(1, 3))));
    BOOST_TEST((incarnationFromPosition(at(254, 900)) < incarnationFromPosition(at(255, 3))));
    // As daemons that know of no eras have it.
    BOOST_TEST(incarnationFromPosition(at(0, 900)).value() == uint64_t { 901 } << 32);
}

BOOST_AUTO_TEST_CASE(AnAnswerFromBeforeTheReturnCountsAsNone)
{
    ReturningStore store;
    store.era = 3;
    std::optional<Result<StorePosition>> end;
    store.isStrict = false;
    auto const ask = [&] { store.client.queryEnd("t", [&](auto result) { end = std::move(result); }); };
    ask();
    BOOST_REQUIRE(end && end->has_value());
    BOOST_TEST((end->value() == at(3, 2)));
    store.era = 2;
    ask();
    BOOST_REQUIRE(end && !end->has_value());
    BOOST_TEST((end->error().code == make_error_code(ErrorCode::PlatformDown)));
    // One that does not say is of the newest.
    store.era.reset();
    ask();
    BOOST_REQUIRE(end && end->has_value());
    BOOST_TEST((end->value() == at(3, 2)));
}

// The configuration that had been in force was lost and the next one written at its offset.
// Reading went on behind it, where nothing came, and each answer proved that nothing was
// new: the new configuration was not in force after eight seconds.
BOOST_AUTO_TEST_CASE(WhatIsWrittenWhereSomethingWasLostIsRead)
{
    Follower daemon;
    BOOST_TEST(daemon.taken.back() == "v2");
    daemon.store.returnTo(1, { "v3" });
    daemon.loop.runFor(Milliseconds(10));
    BOOST_TEST(daemon.taken.back() == "v3");
    BOOST_TEST(daemon.returns == 1u);
    BOOST_TEST(daemon.noted == 1u);
}

BOOST_AUTO_TEST_CASE(WhatIsWrittenBeyondWhatWasLostIsReadFromItsBeginning)
{
    Follower daemon;
    daemon.store.returnTo(0, { "v3", "v4", "v5" });
    daemon.loop.runFor(Milliseconds(10));
    // Not what stands at the old position.
    BOOST_TEST((daemon.taken == std::vector<std::string> { "v2", "v5" }));
    BOOST_TEST(daemon.returns == 1u);
}

BOOST_AUTO_TEST_CASE(AShorterTopicIsReadAnew)
{
    Follower daemon;
    daemon.store.returnTo(1, {});
    daemon.loop.runFor(Milliseconds(10));
    BOOST_TEST(daemon.taken.back() == "v1");
    BOOST_TEST(daemon.returns == 1u);
}

BOOST_AUTO_TEST_CASE(TheSameEndInAnotherEraProvesNothing)
{
    Follower daemon(false);
    auto const proofs = daemon.proofs;
    daemon.store.returnTo(1, { "v3" });
    daemon.loop.runFor(Milliseconds(10));
    BOOST_TEST(daemon.proofs <= proofs + 1);
    BOOST_TEST(daemon.added > 0u);
    // It is left to others, who tell it.
    BOOST_TEST((daemon.taken == std::vector<std::string> { "v2" }));
}

// A store that refuses a read from behind the end is asked for the list behind its last key.
BOOST_AUTO_TEST_CASE(AStoreThatRefusesReadsBehindTheEndSaysItAllTheSame)
{
    Follower daemon(false);
    auto const proofs = daemon.proofs;
    daemon.loop.runFor(Milliseconds(20));
    BOOST_TEST(daemon.proofs > proofs + 3);
    BOOST_TEST((daemon.taken == std::vector<std::string> { "v2" }));
}

BOOST_AUTO_TEST_SUITE_END()

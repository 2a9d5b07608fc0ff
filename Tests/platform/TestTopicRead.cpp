#include <boost/test/unit_test.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <platform/KeyedTopicFollower.h>
#include <random>

using namespace Stagepost;

namespace {

// A store with one topic that returns a limited number of records to each call. Each record's value is a number
// that rises with every append.
struct LimitedStore {
    StoreClient client { {}, [this](Endpoint const&, HttpRequest const& call, Milliseconds, auto const& callback) {
                            if (isDown) {
                                callback(Error(ErrorCode::Timeout, "no answer"));
                                return;
                            }
                            beforeAnswer(call.target);
                            callback(answer(call));
                        } };

    void append(std::string const& key) { records.emplace_back(key, std::to_string(records.size() + 1)); }

    std::map<std::string, size_t> newest(size_t end) const
    {
        std::map<std::string, size_t> result;
        for (size_t offset = 0; offset < end; ++offset)
            result[records[offset].first] = offset;
        return result;
    }

    static size_t number(std::string const& target, std::string const& name)
    {
        size_t value = 0;
        auto const at = target.find(name + '=') + name.size() + 1;
        std::from_chars(target.data() + at, target.data() + target.size(), value);
        return value;
    }

    std::vector<std::pair<std::string, std::string>> records;
    size_t recordsPerRead { 3 };
    size_t itemsPerPage { 2 };
    bool isDown { false };
    size_t calls { 0 };
    // Called before each call is answered.
    std::function<void(std::string const& target)> beforeAnswer { [](auto const&) {} };

private:
    HttpResponse answer(HttpRequest const& call)
    {
        ++calls;
        return { 200, {}, call.target.starts_with("/log-newest") ? page(call.target) : added(number(call.target, "from")) };
    }

    std::string page(std::string const& target) const
    {
        auto const at = target.find("afterRev=");
        std::string const after = at == std::string::npos ? "" : target.substr(at + 9);
        // The numbers 0 to 9 as base64.
        std::array<char const*, 10> const digits { "MA==", "MQ==", "Mg==", "Mw==", "NA==", "NQ==", "Ng==", "Nw==", "OA==", "OQ==" };
        nlohmann::json items = nlohmann::json::array();
        bool hasMore = false;
        for (auto const& [key, offset] : newest(records.size())) {
            if (key <= after)
                continue;
            hasMore = items.size() == itemsPerPage;
            if (hasMore)
                break;
            items.push_back({ { "key", key }, { "value", digits[offset % 10] }, { "offset", offset } });
        }
        return nlohmann::json { { "items", items }, { "hasMore", hasMore }, { "end", records.size() } }.dump();
    }

    std::string added(size_t from) const
    {
        std::string body(16, '\0');
        body[6] = static_cast<char>(records.size() >> 8);
        body[7] = static_cast<char>(records.size());
        for (auto at = from; at < std::min(records.size(), from + recordsPerRead); ++at) {
            auto const& [key, value] = records[at];
            body += { 0, 0, 0, static_cast<char>(1 + key.size() + value.size()), static_cast<char>(key.size()) };
            body += key;
            body += value;
        }
        return body;
    }
};

// Follows the topic of a LimitedStore, and checks each proof against the store.
struct Daemon {
    Daemon()
    {
        KeyedTopicFollower::Hooks hooks;
        hooks.handleBatch = [this](auto const& batch) {
            ++batches;
            for (auto const& record : batch.read.records()) {
                auto& offset = known[record.key];
                auto const next = record.position.offset.value();
                (next < offset ? regressions : repetitions) += next <= offset && offset ? 1 : 0;
                offset = next;
            }
            check(batch.read);
            return true;
        };
        hooks.isNeeded = [] { return true; };
        hooks.areFurtherPagesNeeded = [] { return true; };
        hooks.fleetRetryDelay = [](size_t) { return Milliseconds(1); };
        hooks.areRecordsNeeded = [this] { return areRecordsNeeded; };
        hooks.readFailed = [this] { ++failures; };
        store.beforeAnswer = [this](auto const& target) { noteAndAppend(target); };
        follower.emplace(
            loop, store.client, metrics, "t", KeyedTopicFollower::Options { Milliseconds(0), Milliseconds(1) }, [] { return 0u; }, hooks);
    }

    void start()
    {
        follower->start();
        run();
    }

    void run() { loop.runFor(Milliseconds(15)); }

    // The topic may end later for a call than it did when it was sent, but never earlier.
    void noteAndAppend(std::string const& target)
    {
        endsAt.emplace_back(loop.now(), store.records.size());
        appendBeforeAnswer(target);
    }

    // Whatever the topic contained when the proving call was sent has to be known.
    void check(TopicRead const& read)
    {
        size_t end = 0;
        for (auto const& [at, endThen] : endsAt) {
            if (at <= read.provenAt())
                end = std::max(end, endThen);
        }
        for (auto const& [key, offset] : store.newest(end)) {
            auto const found = known.find(key);
            falseProofs += found == known.end() || found->second < offset ? 1 : 0;
        }
        BOOST_TEST(read.next().offset.value() >= end);
    }

    EventLoop loop;
    Metrics metrics;
    LimitedStore store;
    bool areRecordsNeeded { true };
    std::function<void(std::string const&)> appendBeforeAnswer { [](auto const&) {} };
    std::vector<std::pair<Instant, size_t>> endsAt;
    std::map<std::string, size_t> known;
    size_t batches { 0 };
    size_t failures { 0 };
    size_t falseProofs { 0 };
    // Records that were handled after a later one of their key, or twice.
    size_t regressions { 0 };
    size_t repetitions { 0 };
    std::optional<KeyedTopicFollower> follower;
};

void appendMany(LimitedStore& store, size_t count)
{
    for (size_t number = 0; number < count; ++number)
        store.append("k" + std::to_string(number % 3));
}

KeyedRecords records(uint64_t next, uint64_t end)
{
    return { {}, { {}, Offset(next) }, { {}, Offset(end) } };
}

}

BOOST_AUTO_TEST_SUITE(TopicReadTests)

// A daemon that missed more than one read returns accepted a removed key for seconds.
BOOST_AUTO_TEST_CASE(ReadThatReturnsAPartOfTheRecordsIsNoTopicRead)
{
    BOOST_TEST(!TopicRead::ofAddedRecords(records(3, 7), Instant(Seconds(5))));
    // The topic is shorter than known, so it has lost records.
    BOOST_TEST(!TopicRead::ofAddedRecords(records(9, 7), Instant(Seconds(5))));
    auto const whole = TopicRead::ofAddedRecords(records(7, 7), Instant(Seconds(5)));
    BOOST_REQUIRE(whole);
    BOOST_TEST((whole->provenAt() == Instant(Seconds(5))));
}

BOOST_AUTO_TEST_CASE(MissedRecordsBeyondTheLimitAreReadAsLatestRecords)
{
    Daemon daemon;
    appendMany(daemon.store, 3);
    daemon.start();
    daemon.store.isDown = true;
    daemon.run();
    appendMany(daemon.store, 40);
    daemon.store.isDown = false;
    auto const callsBefore = daemon.store.calls;
    auto const batchesBefore = daemon.batches;
    while (daemon.batches == batchesBefore)
        daemon.run();
    BOOST_TEST(daemon.falseProofs == 0u);
    BOOST_TEST((daemon.known == daemon.store.newest(daemon.store.records.size())));
    // One read in part, and two pages, however many records were missed.
    BOOST_TEST(daemon.store.calls - callsBefore <= 3 + (daemon.batches - batchesBefore - 1));
    BOOST_TEST(daemon.metrics.counter("stagepost_topic_partial_reads_total", "topic=\"t\"") == 1u);
}

// The opposite failure: reads never reach an end that moves on.
BOOST_AUTO_TEST_CASE(TopicThatGrowsFasterThanItIsReadIsProven)
{
    Daemon daemon;
    appendMany(daemon.store, 3);
    daemon.start();
    daemon.appendBeforeAnswer = [&](auto const&) { appendMany(daemon.store, 8); };
    auto const batchesBefore = daemon.batches;
    daemon.run();
    BOOST_TEST(daemon.batches > batchesBefore);
    BOOST_TEST(daemon.falseProofs == 0u);
}

// The first records proved the topic for the whole of a second outage.
BOOST_AUTO_TEST_CASE(PartOfTheRecordsProvesNothingIfTheStoreFailsAgain)
{
    Daemon daemon;
    appendMany(daemon.store, 3);
    daemon.start();
    daemon.store.isDown = true;
    daemon.run();
    appendMany(daemon.store, 40);
    daemon.store.isDown = false;
    daemon.appendBeforeAnswer = [&](std::string const& target) {
        if (target.starts_with("/log-read"))
            daemon.store.isDown = true;
    };
    auto const batchesBefore = daemon.batches;
    while (!daemon.store.isDown)
        daemon.run();
    daemon.run();
    BOOST_TEST(daemon.batches == batchesBefore);
    // The next call reads the latest records at once: another read would return just a part again.
    daemon.store.isDown = false;
    std::vector<std::string> targets;
    daemon.appendBeforeAnswer = [&](std::string const& target) { targets.push_back(target); };
    while (targets.empty())
        daemon.run();
    BOOST_TEST(targets.front().starts_with("/log-newest"));
    BOOST_TEST(daemon.batches > batchesBefore);
    BOOST_TEST(daemon.falseProofs == 0u);
}

// A daemon whose records come from others reads them itself once they are late.
BOOST_AUTO_TEST_CASE(RecordsThatOthersDidNotForwardAreReadWhole)
{
    Daemon daemon;
    appendMany(daemon.store, 3);
    daemon.start();
    daemon.areRecordsNeeded = false;
    daemon.run();
    appendMany(daemon.store, 40);
    daemon.run();
    auto const batchesBefore = daemon.batches;
    daemon.areRecordsNeeded = true;
    daemon.run();
    BOOST_TEST(daemon.batches > batchesBefore);
    BOOST_TEST(daemon.falseProofs == 0u);
}

// Pages show their keys at different times. What a later page has already shown was handled again, in the order
// in which it was appended: for a moment, an order that another one had replaced was in force again.
BOOST_AUTO_TEST_CASE(RecordsThatALaterPageHasShownAreNotHandledAgain)
{
    Daemon daemon;
    daemon.store.itemsPerPage = 1;
    appendMany(daemon.store, 3);
    daemon.appendBeforeAnswer = [&](std::string const& target) {
        if (target.starts_with("/log-newest") && target.find("afterRev=k1") != std::string::npos) {
            daemon.store.append("k2");
            daemon.store.append("k0");
            daemon.store.append("k2");
        }
    };
    daemon.start();
    BOOST_TEST(daemon.regressions == 0u);
    BOOST_TEST(daemon.repetitions == 0u);
    BOOST_TEST(daemon.falseProofs == 0u);
    BOOST_TEST((daemon.known == daemon.store.newest(daemon.store.records.size())));
}

BOOST_AUTO_TEST_CASE(NoProofIsFalseForRandomLimitsGrowthAndOutages)
{
    for (uint64_t seed = 0; seed < 60; ++seed) {
        std::mt19937_64 random(seed);
        Daemon daemon;
        daemon.store.recordsPerRead = 1 + random() % 4;
        daemon.store.itemsPerPage = 1 + random() % 3;
        appendMany(daemon.store, random() % 6);
        daemon.start();
        for (size_t step = 0; step < 6; ++step) {
            daemon.store.isDown = random() % 3 == 0;
            auto const growth = random() % 5;
            daemon.appendBeforeAnswer = [&daemon, growth](auto const&) { appendMany(daemon.store, growth); };
            daemon.loop.runFor(Milliseconds(3));
            appendMany(daemon.store, random() % 20);
        }
        daemon.store.isDown = false;
        daemon.appendBeforeAnswer = [](auto const&) {};
        auto const batchesBefore = daemon.batches;
        for (size_t round = 0; round < 100 && daemon.batches < batchesBefore + 2; ++round)
            daemon.run();
        BOOST_TEST(daemon.falseProofs == 0u, "seed " << seed);
        BOOST_TEST(daemon.regressions == 0u, "seed " << seed);
        BOOST_TEST((daemon.known == daemon.store.newest(daemon.store.records.size())), "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

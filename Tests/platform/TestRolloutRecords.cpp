#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <platform/RolloutOrderReader.h>
#include <platform/RolloutRecordStore.h>

using namespace Stagepost;
using Json = nlohmann::json;
using RecordResult = RolloutCoordinator::RecordResult;

namespace {

KeyedRecord orderRecord(std::string const& service, std::string const& text, uint64_t offset)
{
    return { "rollout/" + service, text, { StoreEra(3), Offset(offset) } };
}

// Base64 of text, as the store's lists contain it.
std::string encodeBase64(std::string const& text)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (size_t at = 0; at < text.size(); at += 3) {
        uint32_t group = 0;
        for (size_t index = 0; index < 3; ++index)
            group = group << 8 | (at + index < text.size() ? static_cast<unsigned char>(text[at + index]) : 0U);
        for (size_t index = 0; index < 4; ++index)
            result += at + index > text.size() ? '=' : digits[group >> (18 - 6 * index) & 63];
    }
    return result;
}

// The store's topic of statuses, with the faults of a test.
struct StatusTopic {
    struct Status {
        std::string key;
        Json value;
    };

    std::optional<Result<HttpResponse>> answer(HttpRequest const& call)
    {
        if (call.target.starts_with("/log-newest"))
            return readAnswer();
        ++appends;
        auto const end = std::stoull(call.target.substr(call.target.find("storeRevision=") + 14));
        if (beforeAppend)
            std::exchange(beforeAppend, {})();
        if (end != statuses.size())
            return HttpResponse { 412, {}, Json { { "end", statuses.size() } }.dump() };
        std::string const body(call.body);
        auto const keySize = static_cast<unsigned char>(body[4]);
        statuses.push_back({ body.substr(5, keySize), Json::parse(body.substr(5 + keySize)) });
        if (std::exchange(losesNextAnswer, false))
            return Error(ErrorCode::Timeout, "no answer");
        return HttpResponse { 200, {}, Json { { "offset", statuses.size() - 1 } }.dump() };
    }

    Result<HttpResponse> readAnswer() const
    {
        if (isDown)
            return Error(ErrorCode::Timeout, "no answer");
        std::map<std::string, Json> newest;
        for (size_t offset = 0; offset < statuses.size(); ++offset)
            newest[statuses[offset].key] = { { "key", statuses[offset].key }, { "value", encodeBase64(statuses[offset].value.dump()) }, { "offset", offset } };
        auto items = Json::array();
        for (auto const& [key, item] : newest)
            items.push_back(item);
        return HttpResponse { 200, {}, Json { { "items", items }, { "hasMore", false }, { "end", statuses.size() } }.dump() };
    }

    void put(std::string const& state, uint64_t order, std::string const& phase = {}, std::string const& service = "chat")
    {
        statuses.push_back({ "rollout/" + service, { { "service", service }, { "toVersion", "v2" }, { "state", state }, { "order", order }, { "phase", phase }, { "elapsedMs", 700 }, { "writtenAtMs", 9000 } } });
    }

    RolloutRecordOutcome record(RolloutPhase phase, uint64_t order = 7)
    {
        std::optional<RolloutRecordOutcome> outcome;
        store.record({ { RolloutId(order), "chat", "v2", Seconds(12) }, phase, Milliseconds(1500) }, [&](auto const& result) { outcome = result; });
        BOOST_REQUIRE(outcome.has_value());
        return *outcome;
    }

    std::vector<std::string> states() const
    {
        std::vector<std::string> result(statuses.size());
        std::transform(statuses.begin(), statuses.end(), result.begin(), [](auto const& status) { return status.value["state"]; });
        return result;
    }

    std::vector<Status> statuses;
    // Called once, before the condition of the next append is checked.
    std::function<void()> beforeAppend;
    bool losesNextAnswer { false };
    bool isDown { false };
    size_t appends { 0 };
    StoreClient client { {}, [this](Endpoint const&, HttpRequest const& call, Milliseconds, auto const& callback) {
                            if (auto const reply = answer(call))
                                callback(*reply);
                        } };
    RolloutRecordStore store { client, [] { return Milliseconds(10000); } };
};

using States = std::vector<std::string>;

}

BOOST_AUTO_TEST_SUITE(RolloutOrderReaderTests)

BOOST_AUTO_TEST_CASE(OrdersAreReadWithTheirPositions)
{
    Metrics metrics;
    RolloutOrderReader reader(metrics);
    auto const found = reader.read({ { "config", "{}", {} }, orderRecord("chat", R"({"service":"chat","toVersion":"v2","durationS":12.5,"note":[1]})", 7), { "rollout/book", std::nullopt, { {}, Offset(8) } }, { "evacuate/north", "x", {} } });
    BOOST_REQUIRE(found.size() == 2u);
    BOOST_REQUIRE(found[0].order.has_value());
    BOOST_TEST((*found[0].order == RolloutOrder { makeRolloutId(3, 7), "chat", "v2", Milliseconds(12500) }));
    BOOST_TEST((found[0].id == makeRolloutId(3, 7) && found[0].service == "chat" && !found[0].isUnreadable));
    BOOST_TEST((found[1].id == RolloutId(8) && found[1].service == "book" && !found[1].order && !found[1].isUnreadable));
}

// An order that is read in part would roll out something that nobody has ordered.
BOOST_AUTO_TEST_CASE(WrongOrdersAreUnreadable)
{
    for (auto const* text : { "", "no json", "[]", R"({"toVersion":"v2","durationS":12})", R"({"service":"book","toVersion":"v2","durationS":12})", R"({"service":"chat","durationS":12})",
             R"({"service":"chat","toVersion":"","durationS":12})", R"({"service":"chat","toVersion":2,"durationS":12})", R"({"service":"chat","toVersion":"v2"})", R"({"service":"chat","toVersion":"v2","durationS":0})",
             R"({"service":"chat","toVersion":"v2","durationS":-1})", R"({"service":"chat","toVersion":"v2","durationS":"12"})", R"({"service":"chat","toVersion":"v2","durationS":1e300})", R"({"service":"chat","toVersion":"v2","durationS":null})" }) {
        Metrics metrics;
        RolloutOrderReader reader(metrics);
        auto const found = reader.read({ orderRecord("chat", text, 7) });
        BOOST_REQUIRE(found.size() == 1u);
        BOOST_TEST((found[0].isUnreadable && !found[0].order), text);
    }
}

// The latest record of each key is read again whenever the follower starts over.
BOOST_AUTO_TEST_CASE(AnUnreadableOrderIsCountedOnce)
{
    Metrics metrics;
    RolloutOrderReader reader(metrics);
    reader.read({ orderRecord("chat", "x", 7) });
    reader.read({ orderRecord("chat", "x", 7) });
    BOOST_TEST(metrics.counter("stagepost_rollout_orders_unreadable_total") == 1u);
    reader.read({ orderRecord("chat", "x", 9) });
    BOOST_TEST(metrics.counter("stagepost_rollout_orders_unreadable_total") == 2u);
}

BOOST_AUTO_TEST_CASE(RecordsHavePositionsInBothKindsOfReads)
{
    std::string body(16, '\0');
    body += std::string { 0, 0, 0, 3, 1, 'k', 'a' } + std::string { 0, 0, 0, 3, 1, 'k', 'b' };
    auto const added = parseKeyedRecords(body, { StoreEra(2), Offset(40) });
    BOOST_REQUIRE(added.has_value());
    BOOST_TEST((added->records.at(1).position == StorePosition { StoreEra(2), Offset(41) }));
    StoreClient const client({}, [](Endpoint const&, HttpRequest const&, Milliseconds, auto const& callback) {
        callback(HttpResponse { 200, { { "Store-Era", "2" } }, R"({"items":[{"key":"k","value":"dg==","offset":5}],"hasMore":false,"end":42})" });
    });
    std::optional<Result<KeyedRecords>> latest;
    client.readLatest(
        "t", [] { return true; }, [&](auto result) { latest = std::move(result); });
    BOOST_REQUIRE(latest && latest->has_value());
    BOOST_TEST(((*latest)->records.at(0).position == StorePosition { StoreEra(2), Offset(5) }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RolloutRecordStoreTests)

BOOST_AUTO_TEST_CASE(StatusesAreAppendedAndReadBack)
{
    StatusTopic topic;
    BOOST_TEST((topic.record(RolloutPhase::Trial).result == RecordResult::Recorded));
    BOOST_TEST((topic.record(RolloutPhase::SecondRamp).result == RecordResult::Recorded));
    BOOST_TEST(topic.states() == (States { "running", "running" }), boost::test_tools::per_element());
    auto const& written = topic.statuses.back();
    BOOST_TEST(written.key == "rollout/chat");
    BOOST_TEST((written.value == Json { { "service", "chat" }, { "toVersion", "v2" }, { "state", "running" }, { "order", 7 }, { "phase", "ramp-2" }, { "elapsedMs", 1500 }, { "writtenAtMs", 10000 } }));
    std::optional<Result<RolloutStatuses>> read;
    topic.store.read([&](auto result) { read = std::move(result); });
    BOOST_REQUIRE(read && read->has_value());
    auto const& status = read->value().at("chat");
    BOOST_TEST((status.order == RolloutId(7) && status.phase == RolloutPhase::SecondRamp && status.version == "v2"));
    BOOST_TEST((status.elapsed == Milliseconds(1500)));
}

// Daemons that all start at the same time know the time since the order from the record only.
BOOST_AUTO_TEST_CASE(ElapsedTimeIncludesTheTimeSinceTheStatusWasWritten)
{
    auto const text = R"({"service":"chat","toVersion":"v2","state":"running","order":7,"phase":"moved","elapsedMs":700,"writtenAtMs":9000})";
    BOOST_TEST((readRolloutStatus("chat", text, Milliseconds(9250)).value().elapsed == Milliseconds(950)));
    // By another VM's clock the record may be from the future.
    BOOST_TEST((readRolloutStatus("chat", text, Milliseconds(8000)).value().elapsed == Milliseconds(700)));
}

// The response to the append is lost. The repetition must not write a second outcome.
BOOST_AUTO_TEST_CASE(AStatusWhoseResponseWasLostIsNotWrittenAgain)
{
    StatusTopic topic;
    topic.put("running", 7);
    topic.losesNextAnswer = true;
    BOOST_TEST((topic.record(RolloutPhase::Done).result == RecordResult::Failed));
    BOOST_TEST((topic.record(RolloutPhase::Done).result == RecordResult::Recorded));
    BOOST_TEST(topic.states() == (States { "running", "done" }), boost::test_tools::per_element());
}

// Another daemon decides between this one's read and its append.
BOOST_AUTO_TEST_CASE(AnOutcomeThatAnotherDaemonHasRecordedIsAdopted)
{
    StatusTopic topic;
    topic.put("running", 7, "moved");
    topic.beforeAppend = [&] { topic.put("rolled_back", 7); };
    auto const outcome = topic.record(RolloutPhase::Done);
    BOOST_TEST((outcome.result == RecordResult::Superseded));
    BOOST_REQUIRE(outcome.found.has_value());
    BOOST_TEST((outcome.found->phase == RolloutPhase::RolledBack));
    BOOST_TEST((topic.record(RolloutPhase::Done).result == RecordResult::Superseded));
    BOOST_TEST(topic.states() == (States { "running", "rolled_back" }), boost::test_tools::per_element());
}

// An outcome never changes, also not by a daemon that has not heard of it.
BOOST_AUTO_TEST_CASE(ARunningPhaseDoesNotFollowAnOutcome)
{
    StatusTopic topic;
    topic.put("done", 7);
    auto const outcome = topic.record(RolloutPhase::Trial);
    BOOST_TEST((outcome.result == RecordResult::Superseded));
    BOOST_TEST((outcome.found && outcome.found->phase == RolloutPhase::Done));
    BOOST_TEST(topic.appends == 0u);
}

BOOST_AUTO_TEST_CASE(AStatusOfALaterOrderStays)
{
    StatusTopic topic;
    topic.put("running", 9);
    auto const outcome = topic.record(RolloutPhase::RolledBack);
    BOOST_TEST((outcome.result == RecordResult::Superseded));
    BOOST_TEST((outcome.found && outcome.found->order == RolloutId(9)));
    BOOST_TEST(topic.appends == 0u);
}

BOOST_AUTO_TEST_CASE(AStatusOfAnEarlierOrderIsReplaced)
{
    StatusTopic topic;
    topic.put("done", 3);
    BOOST_TEST((topic.record(RolloutPhase::Trial).result == RecordResult::Recorded));
    BOOST_TEST(topic.states() == (States { "done", "running" }), boost::test_tools::per_element());
}

// Guards against an order that is never recorded, since the status of an order that a restore of the store has
// lost names a higher offset.
BOOST_AUTO_TEST_CASE(AStatusOfALostOrderIsReplaced)
{
    for (uint64_t const offset : { 6, 7 }) {
        StatusTopic topic;
        BOOST_TEST((topic.record(RolloutPhase::Trial, makeRolloutId(1, 7).value()).result == RecordResult::Recorded));
        BOOST_TEST((topic.record(RolloutPhase::RolledBack, makeRolloutId(1, 7).value()).result == RecordResult::Recorded));
        auto const later = makeRolloutId(2, offset);
        BOOST_TEST((topic.record(RolloutPhase::Trial, later.value()).result == RecordResult::Recorded));
        BOOST_TEST((topic.states() == States { "running", "rolled_back", "running" }));
        BOOST_TEST(topic.statuses.back().value["order"] == offset);
        std::optional<Result<RolloutStatuses>> read;
        topic.store.read([&](auto result) { read = std::move(result); });
        BOOST_REQUIRE(read && read->has_value());
        BOOST_TEST((read->value().at("chat").order == later));
        BOOST_TEST((topic.record(RolloutPhase::RolledBack, makeRolloutId(1, 7).value()).result == RecordResult::Superseded));
    }
}

// The phase was recorded in time, but this daemon did not hear of it before the deadline.
BOOST_AUTO_TEST_CASE(AMovedOrderIsNotRolledBackAtItsDeadline)
{
    StatusTopic topic;
    topic.put("running", 7, "moved");
    std::optional<RolloutRecordOutcome> outcome;
    topic.store.record({ { RolloutId(7), "chat", "v2", Seconds(12) }, RolloutPhase::RolledBack, Seconds(12), true }, [&](auto const& result) { outcome = result; });
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((outcome->result == RecordResult::Superseded));
    BOOST_TEST((outcome->found && outcome->found->phase == RolloutPhase::Moved));
    BOOST_TEST(topic.appends == 0u);
}

// Two daemons advance the same phase: the second one finds it done.
BOOST_AUTO_TEST_CASE(APhaseThatIsRecordedIsNotRecordedTwice)
{
    StatusTopic topic;
    topic.put("running", 7, "ramp-1");
    topic.beforeAppend = [&] { topic.put("running", 7, "ramp-2"); };
    auto const outcome = topic.record(RolloutPhase::SecondRamp);
    BOOST_TEST((outcome.result == RecordResult::Recorded));
    BOOST_TEST(topic.statuses.size() == 2u);
}

// The statuses of all services are in one topic.
BOOST_AUTO_TEST_CASE(AnAppendOfAnotherServiceIsNoConflictInTheEnd)
{
    StatusTopic topic;
    topic.beforeAppend = [&] { topic.put("running", 8, {}, "book"); };
    BOOST_TEST((topic.record(RolloutPhase::Trial).result == RecordResult::Recorded));
    BOOST_TEST(topic.appends == 2u);
}

BOOST_AUTO_TEST_CASE(NothingIsAppendedWhileTheStoreIsDown)
{
    StatusTopic topic;
    topic.isDown = true;
    BOOST_TEST((topic.record(RolloutPhase::RolledBack).result == RecordResult::Failed));
    BOOST_TEST(topic.appends == 0u);
}

// A record that no daemon of the fleet has written must not stop a roll-out.
BOOST_AUTO_TEST_CASE(AnUnreadableStatusIsReplaced)
{
    StatusTopic topic;
    topic.statuses.push_back({ "rollout/chat", { { "state", "finished" } } });
    BOOST_TEST((topic.record(RolloutPhase::Trial).result == RecordResult::Recorded));
    BOOST_TEST(topic.statuses.size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

#include "OddEntries.h"

#include <LibBase/MessageReader.h>
#include <LibBase/MessageWriter.h>
#include <LibMembership/StateMessage.h>
#include <LibProxy/Endpoint.h>
#include <LibRouting/StreamOriginBatch.h>
#include <boost/test/unit_test.hpp>
#include <platform/ManifestReader.h>
#include <platform/RolloutOrderReader.h>
#include <platform/RolloutRecordStore.h>
#include <platform/StoreClient.h>
#include <platform/UpstreamRecordReader.h>
#include <platform/VersionRecord.h>
#include <stagepostd/GatewayState.h>

using namespace Stagepost;
using Json = nlohmann::json;

namespace {

// The largest record that the store accepts.
constexpr size_t maxRecordBytes = 262144;

Json soundUpstream()
{
    return { { "service", "chat" }, { "address", "10.1.1.1:80" }, { "zone", "north" }, { "version", "v1" }, { "slots", 64 }, { "state", "ready" }, { "coldLeftMs", 0 }, { "seq", 4 }, { "born", 1764000000123 } };
}

Json soundManifest()
{
    return Json::parse(R"({"version":7,"routes":[{"name":"digest","host":"a.example","pathPrefix":"/d/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":1200,"priority":1,
      "split":[{"service":"chat","weight":90},{"service":"new","weight":10}]}],"services":[{"name":"chat","maxConns":360,"coldPerS":2,"coldS":3}],
      "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"club","apiKeys":["k1"],"priority":1}]})");
}

bool isManifestAccepted(char const* pointer, char const* value)
{
    auto changed = soundManifest();
    changed[Json::json_pointer(pointer)] = "MARK";
    auto text = changed.dump();
    text.replace(text.find("\"MARK\""), 6, value);
    return readManifest(text).has_value();
}

std::string recordBytes(std::string const& content)
{
    return std::string { 0, 0, 0, static_cast<char>(content.size()) } + content;
}

std::string keyedBytes(std::string const& key, std::string const& value)
{
    return recordBytes(static_cast<char>(key.size()) + key + value);
}

// A store whose list has these pages of keys, one a call; after the last one it returns the last one again.
struct ListStore {
    explicit ListStore(std::vector<std::string> keys)
        : keys(std::move(keys))
    {
    }

    Result<KeyedRecords> read()
    {
        std::optional<Result<KeyedRecords>> result;
        client.readLatest(
            "t", [this] { return targets.size() < 20; }, [&](auto found) { result = std::move(found); });
        return std::move(*result);
    }

    std::vector<std::string> keys;
    bool alwaysHasMore { false };
    std::vector<std::string> targets;
    StoreClient client { {}, [this](Endpoint const&, HttpRequest const& call, Milliseconds, auto const& callback) {
                            targets.push_back(call.target);
                            auto const index = std::min(targets.size(), keys.size()) - 1;
                            Json const item { { "key", keys[index] }, { "value", "dg==" }, { "offset", 0 } };
                            callback(HttpResponse { 200, {}, Json { { "items", { item } }, { "hasMore", alwaysHasMore || targets.size() < keys.size() }, { "end", 40 } }.dump() });
                        } };
};

}

BOOST_AUTO_TEST_SUITE(OddEntryTests)

// Guards against daemons that end at each start: the reader of messages calls itself for each level of nesting, and one
// record of the topic of stream origins overflowed the stack.
BOOST_AUTO_TEST_CASE(DeeplyNestedStreamOriginsAreRejected)
{
    for (auto const* const level : { "\x91", "\x81\xa1k", "\x92\x01" }) {
        std::string batch { 1 };
        while (batch.size() + 4 < maxRecordBytes)
            batch += level;
        BOOST_TEST(!StreamOriginBatch::decode(batch).has_value());
    }
}

// Guards against a follower that reads one record again and again and learns of nothing after it.
BOOST_AUTO_TEST_CASE(ARecordWithoutAWholeKeyHidesNoOther)
{
    for (auto const& odd : { recordBytes(""), recordBytes("\x09short"), recordBytes("\xff") }) {
        std::string body(16, '\0');
        for (auto const& record : { keyedBytes("a", "1"), odd, keyedBytes("b", "2") })
            body += record;
        auto const found = parseKeyedRecords(body, { {}, Offset(40) });
        BOOST_REQUIRE(found.has_value());
        BOOST_REQUIRE(found->records.size() == 2u);
        BOOST_TEST(found->records[1].key == "b");
        BOOST_TEST(found->records[1].position.offset.value() == 42u);
        BOOST_TEST(found->next.offset.value() == 43u);
    }
}

// Guards against pages that are requested with a part of a key, so that the list never ends, and against keys that end
// the request line.
BOOST_AUTO_TEST_CASE(PagesContinueAfterKeysOfAnyBytes)
{
    ListStore store({ "a&b c%d+e#f", "g\r\nh", "rollout/chat", "z" });
    auto const found = store.read();
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(found->records.size() == 4u);
    BOOST_REQUIRE(store.targets.size() == 4u);
    BOOST_TEST(store.targets[1].ends_with("=a%26b%20c%25d%2Be%23f"));
    BOOST_TEST(store.targets[2].ends_with("=g%0D%0Ah"));
    BOOST_TEST(store.targets[3].ends_with("=rollout/chat"));
}

// Guards against a daemon that requests the same page for ever and keeps all its copies.
BOOST_AUTO_TEST_CASE(AListThatDoesNotAdvanceIsAnError)
{
    for (auto const* const key : { "k", "" }) {
        ListStore store({ key });
        store.alwaysHasMore = true;
        auto const found = store.read();
        BOOST_REQUIRE(!found.has_value());
        BOOST_TEST((found.error().code == make_error_code(ErrorCode::PlatformDown)));
        BOOST_TEST(store.targets.size() <= 2u);
    }
}

// Guards against an exception that ends the daemon.
BOOST_AUTO_TEST_CASE(AListWithFieldsOfOtherTypesIsAnError)
{
    for (auto const* const body : { R"({"items":[],"hasMore":"yes","end":1})", R"({"items":[],"hasMore":null,"end":1})", R"({"items":{},"hasMore":false,"end":1})", R"({"items":[],"hasMore":false,"end":-1})", R"({"items":[],"hasMore":false,"end":1e300})" }) {
        StoreClient const client({}, [body](Endpoint const&, HttpRequest const&, Milliseconds, auto const& callback) { callback(HttpResponse { 200, {}, body }); });
        std::optional<bool> isFound;
        client.readLatest(
            "t", [] { return true; }, [&](auto const& found) { isFound = found.has_value(); });
        BOOST_TEST((isFound == false), body);
    }
}

// Guards against conversions that are undefined or wrap around.
BOOST_AUTO_TEST_CASE(NumbersOutOfRangeAreRejected)
{
    for (auto const* const pointer : { "/version", "/routes/0/timeoutMs", "/routes/0/targetLatencyMs", "/routes/0/priority", "/routes/0/split/0/weight", "/services/0/maxConns", "/limits/maxBodyBytes", "/limits/idleTimeoutMs", "/tenants/0/priority" }) {
        BOOST_TEST(isManifestAccepted(pointer, "70000.0"), pointer);
        for (auto const* const value : { "1e300", "1e20", "18446744073709551616", "-1", "-1e300" })
            BOOST_TEST(!isManifestAccepted(pointer, value), pointer << " = " << value);
    }
    for (auto const* const pointer : { "/routes/0/priority", "/routes/0/split/0/weight", "/tenants/0/priority" })
        BOOST_TEST(!isManifestAccepted(pointer, "4294967296"), pointer);
    for (auto const* const pointer : { "/routes/0/timeoutMs", "/routes/0/targetLatencyMs", "/limits/idleTimeoutMs" })
        BOOST_TEST(!isManifestAccepted(pointer, "18446744073709551615"), pointer);
}

// Guards against a time that wraps around, after which a roll-out's phases are due at once or never.
BOOST_AUTO_TEST_CASE(RolloutStatusesWithImpossibleTimesAreRejected)
{
    auto const read = [](char const* elapsed, char const* writtenAt) {
        return readRolloutStatus("chat", std::string(R"({"service":"chat","toVersion":"v2","state":"running","order":3,"phase":"ramp-1","elapsedMs":)") + elapsed + R"(,"writtenAtMs":)" + writtenAt + '}', Milliseconds(1764000000000));
    };
    BOOST_TEST(read("500", "1763999999000").has_value());
    for (auto const* const number : { "18446744073709551615", "9223372036854775807", "9223372036854775" }) {
        BOOST_TEST(!read(number, "1763999999000").has_value(), number);
        BOOST_TEST(!read("500", number).has_value(), number);
    }
}

// Guards against upstreams that no request can reach, header fields that a record's key ends, and records that fit into
// no message between daemons.
BOOST_AUTO_TEST_CASE(UpstreamsWithOddFieldsAreRejected)
{
    std::string const zero("a\0b", 3);
    std::vector<std::pair<char const*, std::string>> odd;
    for (auto const* const address : { "10.1.1.1:0", "0.0.0.0:80", "0.1.2.3:80", "224.0.0.1:80", "239.255.255.255:80", "240.0.0.1:80", "255.255.255.255:80", "[::1]:80", "::1:80", "10.1.1.1:65536", "10.1.1.1:-1", "10.1.1.1:", "10.1.1.1:80 ", "010.1.1.1:80" })
        odd.emplace_back("address", address);
    for (auto const* const field : { "service", "zone", "version" }) {
        for (auto const& text : { zero, std::string("a\r\nb"), std::string("\x1b[2J"), std::string("\x7f"), std::string(maxRecordBytes, 'v'), std::string(256, 'v') })
            odd.emplace_back(field, text);
    }
    for (auto const* const field : { "service", "zone" })
        odd.emplace_back(field, "");
    for (auto const& [field, value] : odd) {
        auto changed = soundUpstream();
        changed[field] = value;
        auto const read = readUpstreamRecord("i", changed.dump());
        BOOST_TEST(!read.has_value(), field << " = " << value.substr(0, 40));
        BOOST_TEST((read || read.error().detail.find(field) != std::string::npos));
    }
    // An upstream without a version, or with an empty one, is served as in earlier releases.
    auto unversioned = soundUpstream();
    unversioned["version"] = "";
    BOOST_TEST(readUpstreamRecord("i", unversioned.dump()).has_value());
    for (auto const& instance : { std::string(), std::string("a\r\nX-Priority: 0"), zero, std::string("\xff"), std::string(" a"), std::string("a ") })
        BOOST_TEST(!readUpstreamRecord(instance, soundUpstream().dump()).has_value());
    for (auto const* const address : { "127.0.0.1:1", "10.1.1.1:65535", "223.255.255.254:80", "1.0.0.1:80" }) {
        auto changed = soundUpstream();
        changed["address"] = address;
        BOOST_TEST(readUpstreamRecord("i", changed.dump()).has_value(), address);
    }
}

// Guards against records that mean one thing to a reader of the first value and another to one of the last.
BOOST_AUTO_TEST_CASE(RecordsWithARepeatedKeyAreRejected)
{
    auto text = soundUpstream().dump();
    text.back() = ',';
    BOOST_TEST(!readUpstreamRecord("i", text + R"("zone":"south"})").has_value());
    BOOST_TEST(!readUpstreamRecord("i", text + R"("\u007aone":"north"})").has_value());
    BOOST_TEST(readUpstreamRecord("i", text + R"("more":{"zone":1,"a":{"zone":2}},"other":[{"zone":3},{"zone":4}]})").has_value());
    BOOST_TEST(!readRolloutOrder("chat", R"({"service":"chat","toVersion":"v2","toVersion":"v3","durationS":5})", {}).has_value());
}

// Guards against odd upstreams that daemons of an earlier version pass on.
BOOST_AUTO_TEST_CASE(OddUpstreamsInMessagesAreLeftOut)
{
    UpstreamRecord const sound { "i-1", "chat", "10.1.1.1:80", "north", 64, false, Milliseconds(0) };
    auto odd = sound;
    odd.instance = "i-2";
    odd.address = "0.0.0.0:0";
    GatewayState state { { 9, 0, { { 9, "{text}" } } }, 1, std::vector<UpstreamRecord> { odd, sound } };
    auto const decoded = GatewayState::decode(state.encode());
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded->upstreams == std::vector<UpstreamRecord> { sound }));
    StateMessage message { StateMessage::Kind::Response, 1, 2, { 3, 4, 5 }, {}, {}, {}, {} };
    message.upstreamChanges = { { "i-2", odd }, { "i-1", sound } };
    auto const read = StateMessage::decode(message.encode());
    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE(read->upstreamChanges.size() == 2u);
    // It counts as removed.
    BOOST_TEST((!read->upstreamChanges[0].record && read->upstreamChanges[0].instance == "i-2"));
    BOOST_TEST((read->upstreamChanges[1].record == sound));
}

// For any change of a sound record, readers return a value that can be used, or an error.
BOOST_AUTO_TEST_CASE(MutatedRecordsAreReadOrRejected)
{
    OddEntries entries(20261205);
    size_t accepted = 0;
    Json const order { { "service", "chat" }, { "toVersion", "v2" }, { "durationS", 5 } };
    Json const status { { "service", "chat" }, { "toVersion", "v2" }, { "state", "running" }, { "order", 3 }, { "orderEra", 1 }, { "phase", "ramp-1" }, { "elapsedMs", 100 }, { "writtenAtMs", 1763999999000 } };
    Json const versions { { "position", 7 }, { "services", { { "chat", { 1, 2 } } } }, { "lapsed", Json::object() } };
    for (int count = 0; count < 2000; ++count) {
        auto const upstream = readUpstreamRecord("i", entries.mutate(soundUpstream()));
        accepted += upstream ? 1 : 0;
        if (upstream) {
            auto const endpoint = Endpoint::parse(upstream->address);
            BOOST_TEST((endpoint && endpoint->port > 0));
            BOOST_TEST((!upstream->service.empty() && !upstream->hall.empty() && upstream->version.size() < 256));
            BOOST_TEST((upstream->service + upstream->hall + upstream->version).find_first_of(std::string("\0\r\n", 3)) == std::string::npos);
        }
        if (auto const read = readRolloutOrder("chat", entries.mutate(order), {}))
            BOOST_TEST((read->duration.count() > 0 && read->duration <= Seconds(86400)));
        if (auto const read = readRolloutStatus("chat", entries.mutate(status), Milliseconds(1764000000000)))
            BOOST_TEST(read->elapsed.count() >= 0);
        (void)readVersionRecord(entries.mutate(versions));
        (void)readManifest(entries.mutate(soundManifest()));
    }
    // Neither all nor none of them are sound.
    BOOST_TEST((accepted > 100 && accepted < 1900));
}

BOOST_AUTO_TEST_SUITE_END()

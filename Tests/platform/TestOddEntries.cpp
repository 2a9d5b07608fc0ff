#include <LibRouting/StreamOriginBatch.h>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <platform/StoreClient.h>

using namespace Stagepost;
using Json = nlohmann::json;

namespace {

// The largest record that the store accepts.
constexpr size_t maxRecordBytes = 262144;

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
    std::string header(16, '\0');
    for (auto const& odd : { recordBytes(""), recordBytes("\x09short"), recordBytes("\xff") }) {
        auto const found = parseKeyedRecords(header + keyedBytes("a", "1") + odd + keyedBytes("b", "2"), { {}, Offset(40) });
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

BOOST_AUTO_TEST_SUITE_END()

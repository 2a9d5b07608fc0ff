#include <LibProxy/EventLoop.h>
#include <boost/test/unit_test.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <platform/VersionHistoryReader.h>
#include <platform/VersionRecordWriter.h>
#include <platform/WireNames.h>

using namespace Stagepost;

namespace {

VersionId version(std::string const& name)
{
    return VersionId::fromName(name);
}

std::string base64(std::string_view text)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (size_t at = 0; at < text.size(); at += 3) {
        unsigned group = 0;
        for (size_t index = 0; index < 3; ++index)
            group = group << 8U | (at + index < text.size() ? static_cast<unsigned char>(text[at + index]) : 0U);
        for (size_t index = 0; index < 4; ++index)
            result += at + index > text.size() ? '=' : digits[group >> (18 - 6 * index) & 63U];
    }
    return result;
}

std::string bigEndian(uint64_t number, int bytes)
{
    std::string result;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        result += static_cast<char>(number >> shift & 0xFFU);
    return result;
}

// A store with the two topics. Each read of upstreams returns a few records only.
struct FakeStore {
    StoreClient client { {}, [this](Endpoint const&, HttpRequest const& call, Milliseconds, auto const& callback) {
                            if (isDown)
                                callback(Error(ErrorCode::Timeout, "no answer"));
                            else
                                callback(answer(call));
                        } };

    void addUpstream(std::string const& name, std::string const& version, std::string const& state = "ready")
    {
        upstreams.emplace_back(name, R"({"service":"chat","address":"10.0.0.1:80","zone":"north","version":")" + version + R"(","slots":8,"state":")" + state + R"(","seq":1})");
    }
    void removeUpstream(std::string const& name) { upstreams.emplace_back(name, ""); }

    std::vector<std::pair<std::string, std::string>> upstreams;
    // The records before this offset are gone.
    size_t first { 0 };
    std::string record;
    size_t appends { 0 };
    bool isDown { false };

private:
    static constexpr size_t recordsPerRead { 2 };

    HttpResponse answer(HttpRequest const& call)
    {
        if (call.target.starts_with(Wire::appendPath)) {
            ++appends;
            record = call.body.bytes().substr(5 + Wire::versionsKey.size());
            return { 200, {}, R"({"offset":0,"end":1})" };
        }
        if (call.target.starts_with(Wire::latestRecordsPath))
            return { 200, {}, latest() };
        size_t from = 0;
        auto const at = call.target.find("from=") + 5;
        std::from_chars(call.target.data() + at, call.target.data() + call.target.size(), from);
        if (from < first)
            return { 410, {}, R"({"first":)" + std::to_string(first) + "}" };
        auto body = bigEndian(upstreams.size(), 8) + bigEndian(first, 8);
        for (size_t offset = from; offset < std::min(upstreams.size(), from + recordsPerRead); ++offset) {
            auto const& [key, value] = upstreams[offset];
            body += bigEndian(1 + key.size() + value.size(), 4);
            body += static_cast<char>(key.size());
            body += key;
            body += value;
        }
        return { 200, {}, body };
    }

    std::string latest() const
    {
        nlohmann::json items = nlohmann::json::array();
        if (!record.empty())
            items.push_back({ { "key", Wire::versionsKey }, { "value", base64(record) }, { "offset", 0 } });
        return nlohmann::json { { "items", items }, { "hasMore", false }, { "end", items.size() } }.dump();
    }
};

struct History {
    ServiceVersions versions;
    ServiceLapsedVersions lapsed;
};

// Returns what a daemon learns within some tenths of a second from its start.
std::optional<History> readWholeHistory(FakeStore& store)
{
    EventLoop loop;
    std::optional<History> result;
    VersionHistoryReader reader(loop, store.client, [] { return uint64_t { 0 }; }, { [&] { return !result; }, [&](auto const& versions, auto const& lapsed, Instant) { result = History { versions, lapsed }; } });
    reader.start();
    loop.runFor(Milliseconds(200));
    return result;
}

std::optional<ServiceVersions> readHistory(FakeStore& store)
{
    auto const history = readWholeHistory(store);
    return history ? std::optional(history->versions) : std::nullopt;
}

}

BOOST_AUTO_TEST_SUITE(VersionHistoryReaderTests)

// Guards against daemons that know only the versions that they see after a kill of all daemons.
BOOST_AUTO_TEST_CASE(ReadsTheRecordAndTheUpstreamsAfterIt)
{
    FakeStore store;
    store.addUpstream("a", "v0");
    store.addUpstream("b", "v2");
    store.addUpstream("c", "v3");
    store.removeUpstream("c");
    store.addUpstream("d", "v2");
    store.record = formatVersionRecord({ { {}, Offset(1) }, { { "chat", { version("v1") } }, { "book", { version("v7") } } } });
    auto const versions = readHistory(store);
    BOOST_REQUIRE(versions.has_value());
    BOOST_TEST((versions->at("chat") == std::set { version("v1"), version("v2"), version("v3") }));
    BOOST_TEST((versions->at("book") == std::set { version("v7") }));
}

// Guards against daemons that forget, when they start, a version that a hall that is cut off still uses.
BOOST_AUTO_TEST_CASE(TellsOfWhichVersionsUpstreamsHaveLapsed)
{
    FakeStore store;
    store.addUpstream("a", "v1");
    store.addUpstream("b", "v2");
    store.addUpstream("b", "v2", "draining");
    store.removeUpstream("b");
    store.record = formatVersionRecord({ { {}, Offset(0) }, { { "chat", { version("v0") } } }, { { "chat", { { version("v0"), Seconds(1190) } } } } });
    BOOST_TEST((readWholeHistory(store)->lapsed == ServiceLapsedVersions { { "chat", { { version("v0"), Seconds(1200) } } } }));
    store.removeUpstream("a");
    BOOST_TEST((readWholeHistory(store)->lapsed == ServiceLapsedVersions { { "chat", { { version("v0"), Seconds(1200) }, { version("v1"), VersionHistory::lapsedMemory } } } }));
    // The record of this one is older than the read.
    store.record = formatVersionRecord({ { {}, Offset(4) }, { { "chat", { version("v1"), version("v2") } } }, {} });
    BOOST_TEST((readWholeHistory(store)->lapsed == ServiceLapsedVersions { { "chat", { { version("v1"), VersionHistory::lapsedMemory }, { version("v2"), VersionHistory::lapsedMemory } } } }));
    // An earlier version of the daemon has written the record.
    store.record = R"({"position":5,"services":{"chat":[7]}})";
    BOOST_TEST((readWholeHistory(store)->lapsed == ServiceLapsedVersions { { "chat", { { VersionId(7), VersionHistory::lapsedMemory } } } }));
    store.record = R"({"position":5,"services":{"chat":[7]},"lapsed":{"chat":[7]}})";
    BOOST_TEST((readWholeHistory(store)->lapsed == ServiceLapsedVersions { { "chat", { { VersionId(7), VersionHistory::lapsedMemory } } } }));
    // No record makes daemons remember a version for longer.
    store.record = R"({"position":5,"services":{"chat":[7]},"lapsed":{"chat":[7]},"lapsedMinutes":{"chat":{"7":4000000000}}})";
    BOOST_TEST((readWholeHistory(store)->lapsed == ServiceLapsedVersions { { "chat", { { VersionId(7), VersionHistory::lapsedMemory } } } }));
    // Daemons stop using an upstream whose record becomes invalid, which may not know of that.
    store.addUpstream("d", "v4");
    store.upstreams.emplace_back("d", "{}");
    store.record = formatVersionRecord({ { {}, Offset(5) }, { { "chat", { version("v2") } } }, {} });
    BOOST_TEST((readWholeHistory(store)->lapsed == ServiceLapsedVersions { { "chat", { { version("v4"), VersionHistory::lapsedMemory } } } }));
}

BOOST_AUTO_TEST_CASE(WithoutARecordAllUpstreamsAreRead)
{
    FakeStore store;
    store.addUpstream("a", "v1");
    store.removeUpstream("a");
    store.addUpstream("b", "v2");
    auto const versions = readHistory(store);
    BOOST_REQUIRE(versions.has_value());
    BOOST_TEST((versions->at("chat") == std::set { version("v1"), version("v2") }));
}

BOOST_AUTO_TEST_CASE(AHistoryThatIsGoneProvesNothing)
{
    FakeStore store;
    for (auto const* name : { "a", "b", "c" })
        store.addUpstream(name, "v1");
    store.first = 2;
    BOOST_TEST(!readHistory(store).has_value());
    store.record = formatVersionRecord({ { {}, Offset(1) }, { { "chat", { version("v1") } } } });
    BOOST_TEST(!readHistory(store).has_value());
    store.record = formatVersionRecord({ { {}, Offset(2) }, { { "chat", { version("v1") } } } });
    BOOST_TEST(readHistory(store).has_value());
    store.record = R"({"services":{"chat":["v1"]}})";
    BOOST_TEST(!readHistory(store).has_value());
    store.isDown = true;
    BOOST_TEST(!readHistory(store).has_value());
}

// Guards against a record of another writer whose position makes daemons pass over the upstreams' records.
BOOST_AUTO_TEST_CASE(APositionBeyondTheEndProvesNothing)
{
    FakeStore store;
    store.addUpstream("a", "v1");
    store.record = formatVersionRecord({ { {}, Offset(2) }, { { "chat", { version("v2") } } } });
    BOOST_TEST(!readHistory(store).has_value());
    store.record = R"({"position":281474976710655,"services":{}})";
    BOOST_TEST(!readHistory(store).has_value());
    store.record = formatVersionRecord({ { {}, Offset(1) }, { { "chat", { version("v2") } } } });
    BOOST_TEST(readHistory(store).has_value());
}

// Guards against daemons that take half a minute without changes for a proof although a hall that is cut off still uses a
// version of the record: the store no longer tells whether its upstreams have lapsed.
BOOST_AUTO_TEST_CASE(VersionsWhoseHistoryIsGoneMayHaveLapsed)
{
    FakeStore store;
    for (auto const* name : { "a", "b", "c" })
        store.addUpstream(name, "v2");
    store.first = 2;
    store.record = formatVersionRecord({ { {}, Offset(1) }, { { "chat", { version("v1"), version("v2") } } } });
    EventLoop loop;
    ServiceVersions found;
    VersionHistoryReader reader(loop, store.client, [] { return uint64_t { 0 }; }, { [] { return true; }, [](auto const&, auto const&, Instant) {}, [&](auto const& versions) { found = versions; } });
    reader.start();
    loop.runFor(Milliseconds(50));
    BOOST_TEST((found == ServiceVersions { { "chat", { version("v1"), version("v2") } } }));
}

BOOST_AUTO_TEST_CASE(TheRecordIsWrittenWhenItHasChanged)
{
    FakeStore store;
    EventLoop loop;
    std::optional<ServiceVersions> versions;
    // What is left of it shrinks, but within one minute.
    Microseconds left = Seconds(1195);
    VersionRecordWriter writer(loop, store.client, { [] { return true; }, [&] { return versions; }, [&] { return ServiceLapsedVersions { { "chat", { { version("v0"), left -= Seconds(1) } } } }; } });
    writer.start();
    auto const run = [&] { loop.runFor(Milliseconds(2050)); };
    writer.upstreamsApplied({ {}, Offset(3) });
    run();
    BOOST_TEST(store.appends == 0u);
    versions = { { "chat", { version("v1") } } };
    run();
    run();
    BOOST_TEST(store.appends == 1u);
    auto const read = readVersionRecord(store.record);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((*read == VersionRecord { { {}, Offset(3) }, *versions, { { "chat", { { version("v0"), Seconds(1200) } } } } }));
    store.isDown = true;
    writer.upstreamsApplied({ {}, Offset(4) });
    run();
    store.isDown = false;
    run();
    BOOST_TEST(store.appends == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <platform/FleetRegistry.h>

using namespace Stagepost;

namespace {

// The text of a record's value as base64.
std::string toBase64(std::string const& bytes)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (size_t at = 0; at < bytes.size(); at += 3) {
        uint32_t group = 0;
        for (size_t index = 0; index < 3; ++index)
            group = group << 8 | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0);
        for (size_t index = 0; index < 4; ++index)
            result += at + index <= bytes.size() ? digits[group >> (18 - 6 * index) & 63] : '=';
    }
    return result;
}

// A store with the fleet's topic alone, whose calls wait until the test answers them.
struct SteppedStore {
    using Callback = std::function<void(Result<HttpResponse>)>;

    StoreClient client { {}, [this](Endpoint const&, HttpRequest const& call, Milliseconds, Callback const& callback) { calls.push_back({ call, callback }); } };

    // Answers the calls that wait now, in their order.
    void answerAll()
    {
        for (auto const& [call, callback] : std::exchange(calls, {}))
            callback(answer(call));
    }

    std::vector<std::pair<std::string, std::string>> records { { "fleet-key", "0123456789abcdef" } };
    std::deque<std::pair<HttpRequest, Callback>> calls;
    size_t reads { 0 };
    bool rejectsReads { false };

private:
    HttpResponse answer(HttpRequest const& call)
    {
        HttpResponse reply;
        if (call.target.starts_with("/log-newest"))
            reply.body = newest();
        else if (call.target.starts_with("/log-append"))
            reply.body = append(std::string(call.body));
        else
            reply = read(std::stoull(call.target.substr(call.target.find("from=") + 5)));
        return reply;
    }

    std::string newest() const
    {
        std::map<std::string, nlohmann::json> items;
        for (size_t offset = 0; offset < records.size(); ++offset)
            items[records[offset].first] = { { "key", records[offset].first }, { "value", toBase64(records[offset].second) }, { "offset", offset } };
        auto list = nlohmann::json::array();
        for (auto const& [key, item] : items)
            list.push_back(item);
        return nlohmann::json { { "items", list }, { "hasMore", false }, { "end", records.size() } }.dump();
    }

    std::string append(std::string const& body)
    {
        auto const keySize = static_cast<size_t>(static_cast<unsigned char>(body[4]));
        records.emplace_back(body.substr(5, keySize), body.substr(5 + keySize));
        return nlohmann::json { { "offset", records.size() - 1 }, { "end", records.size() } }.dump();
    }

    HttpResponse read(size_t from)
    {
        ++reads;
        HttpResponse reply;
        if (rejectsReads) {
            reply.status = 429;
            return reply;
        }
        reply.body.assign(16, '\0');
        reply.body[7] = static_cast<char>(records.size());
        for (auto at = from; at < records.size(); ++at) {
            auto const& [key, value] = records[at];
            reply.body += std::string { 0, 0, 0, static_cast<char>(1 + key.size() + value.size()), static_cast<char>(key.size()) };
            reply.body += key + value;
        }
        return reply;
    }
};

// A daemon that registers itself, and the names of the others that it knows once it has joined.
struct Daemon {
    Daemon(EventLoop& loop, SteppedStore& store, std::string const& name)
    {
        FleetRegistry::Hooks hooks;
        hooks.registered = [this](std::string const&, Incarnation) { hasJoined = true; };
        hooks.peersChanged = [this](std::vector<GatewayPeer> const& peers) {
            known.clear();
            for (auto const& peer : peers)
                known.push_back(peer.name);
        };
        hooks.confirmed = [](Instant, bool) {};
        hooks.generateKey = [] { return std::string("key"); };
        hooks.isNeeded = [] { return false; };
        registry.emplace(
            loop, store.client, metrics, StoreRateLimit {}, [] { return 0u; }, hooks);
        registry->start({ name, "north", *Endpoint::parse("127.0.0.1:80") });
    }

    Metrics metrics;
    bool hasJoined { false };
    std::vector<std::string> known;
    std::optional<FleetRegistry> registry;
};

}

BOOST_AUTO_TEST_SUITE(FleetRegistryTests)

// Guards against daemons that start at the same time and own the same upstreams for seconds, since each had read the
// topic before the other was registered.
BOOST_AUTO_TEST_CASE(OfDaemonsThatStartTogetherTheLaterOneKnowsTheOthersWhenItJoins)
{
    EventLoop loop;
    SteppedStore store;
    Daemon first(loop, store, "a");
    Daemon second(loop, store, "b");
    Daemon third(loop, store, "c");
    auto const joinAll = [&] {
        for (int step = 0; step < 4; ++step)
            store.answerAll();
    };
    joinAll();
    BOOST_TEST((first.hasJoined && second.hasJoined && third.hasJoined));
    BOOST_TEST((third.known == std::vector<std::string> { "a", "b" }));
    auto const knows = [](Daemon const& daemon, std::string const& name) { return std::find(daemon.known.begin(), daemon.known.end(), name) != daemon.known.end(); };
    BOOST_TEST((knows(first, "b") || knows(second, "a")));
}

// Each call has a price.
BOOST_AUTO_TEST_CASE(DaemonThatStartsAloneReadsTheTopicOnce)
{
    EventLoop loop;
    SteppedStore store;
    Daemon daemon(loop, store, "a");
    for (int step = 0; step < 4; ++step)
        store.answerAll();
    BOOST_TEST(daemon.hasJoined);
    BOOST_TEST(store.reads == 0u);
}

BOOST_AUTO_TEST_CASE(DaemonJoinsWhereTheStoreRejectsTheSecondRead)
{
    EventLoop loop;
    SteppedStore store;
    store.rejectsReads = true;
    Daemon first(loop, store, "a");
    Daemon second(loop, store, "b");
    for (int step = 0; step < 4; ++step)
        store.answerAll();
    BOOST_TEST((first.hasJoined && second.hasJoined));
}

// Guards against one record of the topic that fits into no datagram between daemons: none of them would hear of later
// changes. It counts as removed, and so does an invalid one.
BOOST_AUTO_TEST_CASE(OddRecordsArePassedOnAsRemoved)
{
    EventLoop loop;
    SteppedStore store;
    std::string const large(200000, 'x');
    std::string const sound = R"({"hall":"north","endpoint":"127.0.0.1:81"})";
    store.records.emplace_back("daemon/b", sound);
    store.records.emplace_back("daemon/c", R"({"hall":"north","endpoint":"127.0.0.1:0"})");
    store.records.emplace_back("daemon/d", R"({"hall":"north","hall":"south","endpoint":"127.0.0.1:82"})");
    store.records.emplace_back("other", large);
    Daemon daemon(loop, store, "a");
    for (int step = 0; step < 4; ++step)
        store.answerAll();
    BOOST_TEST(daemon.hasJoined);
    BOOST_TEST((daemon.known == std::vector<std::string> { "b" }));
    BOOST_TEST(daemon.metrics.counter("stagepost_registry_records_rejected_total") == 3u);
    auto const version = daemon.registry->version();
    daemon.registry->applyForwarded({ { "daemon/b", large }, { "daemon/e", sound }, { "other", large } }, version + 3);
    BOOST_TEST((daemon.known == std::vector<std::string> { "e" }));
    auto const changes = daemon.registry->changesSince(version);
    BOOST_REQUIRE(changes.has_value());
    for (auto const& change : *changes)
        BOOST_TEST(change.text.has_value() == (change.name == "daemon/e"), change.name);
    daemon.registry->applyForwarded({ { "daemon/b", sound } }, version + 4);
    BOOST_TEST((daemon.known == std::vector<std::string> { "b", "e" }));
}

BOOST_AUTO_TEST_SUITE_END()

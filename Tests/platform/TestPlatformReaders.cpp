#include <LibBase/Hash.h>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <platform/ManifestReader.h>
#include <platform/PlatformDialect.h>
#include <platform/StoreClient.h>
#include <platform/UpstreamRecordReader.h>
#include <rapidcheck.h>
#include <stagepostd/Gateway.h>
#include <stagepostd/GatewayReply.h>
#include <stagepostd/GatewayState.h>

using namespace Stagepost;
using Json = nlohmann::json;

namespace {

Json manifest()
{
    return Json::parse(R"({"version":7,
      "routes":[
        {"name":"digest","host":"a.example","pathPrefix":"/d/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":1200,"priority":1,
         "split":[{"service":"chat","weight":90},{"service":"new","weight":10}],"maxAttempts":2,"public":false,"sticky":true,"resumable":true,"targetGapMs":400},
        {"name":"confirm","host":"a.example","pathPrefix":"/c/","kind":"unsafe","timeoutMs":600,"targetLatencyMs":100,"priority":2,"service":"book","maxAttempts":1}],
      "services":[{"name":"chat","healthPath":"/healthz","maxConns":360,"engine":{"kvCapacityTokens":423882,"moves":true}},{"name":"book","maxConns":100}],
      "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
      "tenants":[{"name":"club","apiKeys":["k1","k2"],"priority":1}],"unknownField":{}})");
}

// Returns the error for the configuration with one value replaced, or an empty string.
std::string errorWith(char const* pointer, Json const& value)
{
    auto changed = manifest();
    changed[Json::json_pointer(pointer)] = value;
    auto const parts = readManifest(changed.dump());
    return parts ? std::string() : parts.error().detail;
}

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

std::string recordBytes(std::string const& key, std::string const& value)
{
    auto const size = 1 + key.size() + value.size();
    std::string bytes { 0, 0, static_cast<char>(size >> 8), static_cast<char>(size) };
    bytes += static_cast<char>(key.size());
    return bytes + key + value;
}

HttpRequest call(std::initializer_list<HttpField> fields)
{
    return { "POST", "/d/x", HttpFields(fields), "body" };
}

}

// Two daemons on loopback. Only the reader gets data from a store.
struct GatewayPair {
    GatewayPair()
    {
        BOOST_REQUIRE(reader.start().has_value());
        BOOST_REQUIRE(follower.start().has_value());
        first.endpoint = reader.peerEndpoint();
        second.endpoint = follower.peerEndpoint();
        reader.join(first, "key", Incarnation(1));
        follower.join(second, "key", Incarnation(2));
        follower.setPeers({ first });
    }

    // Runs until isDone returns true, for ten seconds at most.
    void run(std::function<bool()> const& isDone)
    {
        UpstreamRecord const record { "i-1", "chat", "10.1.1.1:80", "north", 64, false, Milliseconds(0) };
        bool isFirst = true;
        Timer reads(loop);
        reads.every(Milliseconds(20), [&] {
            StoreRead const read { isFirst, loop.now(), ++position };
            reader.updateHallOrders({}, read);
            reader.updateSettings(settings.dump(), read);
            reader.updateUpstreams({ { "i-1", record } }, read);
            isFirst = false;
            if (isDone())
                loop.stop();
        });
        Timer timeout(loop);
        timeout.once(Seconds(10), [&] { loop.stop(); });
        loop.run();
    }

    static GatewayOptions loopbackOptions()
    {
        GatewayOptions options;
        options.listen = options.readyListen = options.peerListen = *Endpoint::parse("127.0.0.1:0");
        return options;
    }

    EventLoop loop;
    nlohmann::json settings = manifest();
    uint64_t position { 0 };
    Gateway reader { loop, loopbackOptions(), platformDialect(), {}, [] { return 1u; } };
    Gateway follower { loop, loopbackOptions(), platformDialect(), {}, [] { return 2u; } };
    GatewayPeer first { "entry-1", "north", {} };
    GatewayPeer second { "entry-2", "north", {} };
};

BOOST_AUTO_TEST_SUITE(PlatformReaderTests)

BOOST_AUTO_TEST_CASE(ConfigurationIsParsed)
{
    auto const parts = readManifest(manifest().dump());
    BOOST_REQUIRE(parts.has_value());
    BOOST_TEST(parts->version == 7u);
    auto const& digest = *parts->routes.at(0).route;
    BOOST_TEST((digest.kind == RequestKind::Stream && digest.isResumable && digest.keepsContext && !digest.isPublic));
    BOOST_TEST((digest.timeout == Milliseconds(12000) && digest.latencyObjective == Milliseconds(1200) && digest.gapObjective == Milliseconds(400)));
    BOOST_TEST(digest.shares.at(1).weight == 10u);
    auto const& confirm = *parts->routes.at(1).route;
    BOOST_TEST((confirm.kind == RequestKind::AtMostOnce && confirm.maxAttempts == 1u && confirm.shares.at(0).service == "book"));
    BOOST_TEST(parts->services.at(0).contextTokens == 423882u);
    BOOST_TEST(parts->services.at(0).movesContexts);
    BOOST_TEST(!parts->services.at(1).movesContexts);
    BOOST_TEST(parts->organisationByKey.at("k2") == 0u);
    BOOST_TEST(parts->hasOrganisations);
    BOOST_TEST(parts->limits.bodyBytes == 4194304u);
}

BOOST_AUTO_TEST_CASE(ErrorsNameInvalidFields)
{
    BOOST_TEST(contains(errorWith("/version", "seven"), "configuration.version must be a number"));
    BOOST_TEST(contains(errorWith("/routes/1/timeoutMs", -5), "routes[1].timeoutMs"));
    BOOST_TEST(contains(errorWith("/routes/0/host", nullptr), "routes[0].host must be a string and is nothing"));
    BOOST_TEST(contains(errorWith("/routes/0/split/0/weight", "x"), "split.weight"));
    BOOST_TEST(contains(errorWith("/services/0/name", 3), "services[0].name"));
    BOOST_TEST(contains(errorWith("/tenants/0/apiKeys/0", 3), "tenants[0].apiKeys"));
    BOOST_TEST(contains(errorWith("/limits/maxBodyBytes", "much"), "limits.maxBodyBytes"));
    BOOST_TEST(!readManifest("[]").has_value());
    BOOST_TEST(!readManifest("{").has_value());
}

BOOST_AUTO_TEST_CASE(UnknownKindsRunAtMostOnce)
{
    auto changed = manifest();
    changed["routes"][0]["kind"] = "of-a-later-release";
    auto const parts = readManifest(changed.dump());
    BOOST_TEST((parts->routes.at(0).route->kind == RequestKind::AtMostOnce));
}

BOOST_AUTO_TEST_CASE(KeysAreOptionalWithoutOrganisations)
{
    auto changed = manifest();
    changed.erase("tenants");
    BOOST_TEST(!readManifest(changed.dump())->hasOrganisations);
    changed["tenants"] = Json::array();
    BOOST_TEST(readManifest(changed.dump())->hasOrganisations);
}

BOOST_AUTO_TEST_CASE(UpstreamRecordIsParsed)
{
    auto const record = readUpstreamRecord("i-1", R"({"service":"chat","address":"10.1.1.1:80","zone":"north","slots":64,"state":"draining","coldLeftMs":20,"seq":4})");
    BOOST_REQUIRE(record.has_value());
    BOOST_TEST((*record == UpstreamRecord { "i-1", "chat", "10.1.1.1:80", "north", 64, true, Milliseconds(20) }));
    BOOST_TEST(contains(readUpstreamRecord("i-1", R"({"service":"chat"})").error().detail, "i-1.address"));
    BOOST_TEST(!readUpstreamRecord("i-1", "x").has_value());
}

Json makeUpstreamRecord()
{
    return { { "service", "chat" }, { "address", "10.1.1.1:80" }, { "zone", "north" }, { "version", "v1" }, { "slots", 64 }, { "state", "ready" }, { "coldLeftMs", 0 }, { "seq", 4 }, { "born", 1764000000123 } };
}

BOOST_AUTO_TEST_CASE(UpstreamStartTimeIsParsed)
{
    BOOST_TEST((readUpstreamRecord("i", makeUpstreamRecord().dump())->incarnation == Incarnation(1764000000123)));
    auto without = makeUpstreamRecord();
    without.erase("born");
    BOOST_TEST(readUpstreamRecord("i", without.dump())->incarnation.isNull());
}

BOOST_AUTO_TEST_CASE(UpstreamVersionIsParsed)
{
    BOOST_TEST(readUpstreamRecord("i", makeUpstreamRecord().dump())->version == "v1");
    auto without = makeUpstreamRecord();
    without.erase("version");
    BOOST_TEST(readUpstreamRecord("i", without.dump())->version.empty());
}

// Streams stay at one version in fleets without roll-outs as well.
BOOST_AUTO_TEST_CASE(ReaderKeepsUpstreamVersion)
{
    Metrics metrics;
    std::vector<KeyedRecord> const records { { "i", makeUpstreamRecord().dump() } };
    BOOST_TEST(UpstreamRecordReader(metrics).read(records).at(0).record->version == "v1");
}

// Other programs may write to the upstreams' topic too.
BOOST_AUTO_TEST_CASE(InvalidUpstreamRecordsAreRejected)
{
    std::vector<std::pair<char const*, Json>> const wrong { { "service", 7 }, { "service", nullptr }, { "address", "nowhere" }, { "address", "10.1.1.1" }, { "address", Json::array() },
        { "zone", false }, { "slots", "64" }, { "slots", -1 }, { "slots", 1.5 }, { "slots", 1e18 }, { "slots", nullptr }, { "state", "resting" }, { "state", 1 }, { "coldLeftMs", "soon" },
        { "coldLeftMs", -5 }, { "coldLeftMs", 1e15 }, { "born", "1764000000123" }, { "born", -1 }, { "born", 1.5 }, { "born", nullptr }, { "seq", "4" }, { "version", 1 } };
    for (auto const& [field, value] : wrong) {
        auto changed = makeUpstreamRecord();
        changed[field] = value;
        auto const read = readUpstreamRecord("i", changed.dump());
        BOOST_TEST(!read.has_value(), field << " = " << value);
        BOOST_TEST((read || contains(read.error().detail, field)));
    }
    for (auto const* const field : { "service", "address", "zone", "slots", "state" }) {
        auto changed = makeUpstreamRecord();
        changed.erase(field);
        BOOST_TEST(!readUpstreamRecord("i", changed.dump()).has_value(), field);
    }
    auto const deep = std::string(10000, '[') + std::string(10000, ']');
    for (auto const& text : { std::string(), std::string("null"), std::string("[]"), std::string("\xff\xfe{}"), std::string("{\"service\":\"\xff\"}"), deep, "{\"service\":" + deep + "}" })
        BOOST_TEST(!readUpstreamRecord("i", text).has_value());
}

BOOST_AUTO_TEST_CASE(InvalidRecordRemovesOnlyItsUpstream)
{
    Metrics metrics;
    UpstreamRecordReader reader(metrics);
    auto const good = makeUpstreamRecord().dump();
    auto const changes = reader.read({ { "a", good }, { "b", "{" }, { "c", good }, { "d", std::nullopt } });
    BOOST_REQUIRE(changes.size() == 4u);
    BOOST_TEST((changes[0].record && !changes[1].record && changes[2].record && !changes[3].record));
    auto const rejected = [&] { return metrics.counter("stagepost_upstream_records_rejected_total"); };
    BOOST_TEST(rejected() == 1u);
    // An unchanged invalid record is reported only once.
    (void)reader.read({ { "b", "{" } });
    BOOST_TEST(rejected() == 1u);
    (void)reader.read({ { "b", "[" } });
    BOOST_TEST(rejected() == 2u);
    (void)reader.read({ { "b", good } });
    (void)reader.read({ { "b", "[" } });
    BOOST_TEST(rejected() == 3u);
}

BOOST_AUTO_TEST_CASE(StoreRecordsAreParsed)
{
    auto const bytes = std::string(16, '\0') + recordBytes("config", "{}") + recordBytes("gone", "");
    auto const records = parseKeyedRecords(bytes, StorePosition { {}, Offset(40) });
    BOOST_REQUIRE(records.has_value());
    BOOST_TEST(records->next.offset.value() == 42u);
    BOOST_TEST(records->records.at(0).key == "config");
    BOOST_TEST(*records->records.at(0).value == "{}");
    BOOST_TEST(!records->records.at(1).value.has_value());
    for (size_t length = 0; length < bytes.size(); ++length) {
        auto const cut = parseKeyedRecords(std::string_view(bytes).substr(0, length), StorePosition { {}, Offset(40) });
        BOOST_TEST((!cut || cut->records.size() < 2));
    }
}

BOOST_AUTO_TEST_CASE(CallerRequestsAreParsed)
{
    auto const dialect = platformDialect();
    auto const read = dialect.readCall(call({ { "X-Attempt-Id", "9c" }, { "X-Api-Key", "k" }, { "X-Deadline-Ms", "1200" }, { "X-Prompt-Prefix", "5c:800,91:410,e4:250" }, { "Last-Event-Id", "12" } }));
    BOOST_TEST(read.id == "9c");
    BOOST_TEST(read.key == "k");
    BOOST_TEST((read.timeLeft == Milliseconds(1200)));
    BOOST_TEST(read.prompt.parts().size() == 3u);
    BOOST_TEST(read.prompt.tokens() == 1460u);
    BOOST_TEST(*read.lastEvent == 12u);
    BOOST_TEST(!dialect.readCall(call({ { "X-Deadline-Ms", "soon" } })).timeLeft.has_value());
    BOOST_TEST(readPromptParts("5c:800,broken,e4:250").parts().size() == 1u);
}

BOOST_AUTO_TEST_CASE(CallersCannotForgeGatewayFields)
{
    auto const dialect = platformDialect();
    auto const original = call({ { "X-Api-Key", "k" }, { "x-tenant", "forged" }, { "X-Expect-Instance", "forged" }, { "X-Hold", "h" }, { "Kv-From", "x" }, { "X-Other", "kept" }, { "X-Deadline-Ms", "9999" } });
    GatewaySend send { "i-1", "club", 12, Milliseconds(300), 4, "10.0.0.1:80" };
    auto const written = dialect.writeCall(original, send);
    auto const has = [&](char const* name, char const* value) { return written.headers.find(name) == value; };
    BOOST_TEST((has("X-Tenant", "club") && has("X-Expect-Instance", "i-1") && has("X-Request-Priority", "9")));
    BOOST_TEST((has("X-Deadline-Ms", "300") && has("Last-Event-Id", "4") && has("Kv-Fetch", "10.0.0.1:80") && has("X-Other", "kept")));
    BOOST_TEST((!written.headers.contains("X-Api-Key") && !written.headers.contains("X-Hold") && !written.headers.contains("Kv-From")));
    BOOST_TEST((written.body == "body" && written.target == "/d/x"));
    send.organisation.clear();
    BOOST_TEST(!dialect.writeCall(original, send).headers.contains("X-Tenant"));
}

// Guards against callers that remove what the gateway tells an upstream, by naming it in a Connection field.
BOOST_AUTO_TEST_CASE(ConnectionFieldsDontChangeWhatTheGatewaySends)
{
    auto const dialect = platformDialect();
    std::vector<std::string> const gatewayFields { "X-Tenant", "X-Expect-Instance", "X-Request-Priority", "X-Deadline-Ms", "Kv-Fetch", "Last-Event-Id" };
    std::vector<std::string> names = gatewayFields;
    for (auto const* other : { "Host", "X-Attempt-Id", "X-Model", "X-Token-Count", "X-Prompt-Prefix", "Resumes", "close", "keep-alive", "X-Other", "" })
        names.emplace_back(other);
    GatewaySend const send { "i-1", "club", 3, Milliseconds(300), 4, "10.0.0.1:80" };
    HttpFields const plain { { "Host", "h" }, { "X-Attempt-Id", "9c" }, { "X-Model", "m" }, { "X-Token-Count", "1,2" }, { "X-Prompt-Prefix", "a:1" }, { "Resumes", "8b" }, { "X-Tenant", "forged" } };
    BOOST_TEST(rc::check("any Connection fields", [&](std::vector<std::vector<std::pair<uint8_t, uint8_t>>> const& lists) {
        auto named = plain;
        for (auto const& list : lists) {
            std::string value;
            for (auto const& [index, spelling] : list) {
                auto name = names[index % names.size()];
                if (spelling % 2)
                    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return std::toupper(letter); });
                value += (value.empty() ? "" : ",") + std::string(spelling % 3, ' ') + name + (spelling % 5 ? "" : "\t ");
            }
            named.add(lists.size() % 4 ? "Connection" : "proxy-connection", value);
        }
        HttpRequest request { "POST", "/d/x", plain, "body" };
        auto const expected = dialect.writeCall(request, send);
        request.headers = named;
        auto const written = dialect.writeCall(request, send);
        auto kept = gatewayFields;
        for (auto const* own : { "Host", "X-Attempt-Id", "X-Model", "X-Token-Count", "X-Prompt-Prefix", "Resumes" })
            kept.emplace_back(own);
        for (auto const& name : kept)
            RC_ASSERT(written.headers.find(name) == expected.headers.find(name));
        RC_ASSERT(!written.headers.contains("Connection"));
        auto const detour = dialect.writeDetour(request, Milliseconds(300), 4);
        RC_ASSERT(detour.headers.find("X-Deadline-Ms") == "300" && detour.headers.find("Host") == "h");
    }));
    BOOST_TEST(dialect.readCall(call({ { "Connection", "keep-alive" }, { "Connection", "close, x-tenant" } })).namesReservedField);
    BOOST_TEST(!dialect.readCall(call({ { "Connection", "keep-alive, X-Other" }, { "X-Tenant", "forged" } })).namesReservedField);
}

// Guards against "not run" for a request that its upstream has run before it answered 421.
BOOST_AUTO_TEST_CASE(OnlyProofsShowThatARequestHasNotRun)
{
    auto const proofOf = [dialect = platformDialect()](unsigned status, HttpFields const& fields, std::string_view expected = "i-1") {
        auto const proof = dialect.readResponseHeader(status, fields, expected).notRun;
        return proof ? std::string(proof->name()) : std::string();
    };
    for (auto const status : { 400u, 421u, 429u, 503u }) {
        BOOST_TEST(proofOf(status, { { "X-Not-Executed", "1" } }) == "upstream-said-so");
        BOOST_TEST(proofOf(status, { { "X-Not-Executed", "1" }, { "X-Response-Signature", "s" } }) == "upstream-said-so");
        BOOST_TEST(proofOf(status, {}) == "");
        BOOST_TEST(proofOf(status, { { "X-Response-Signature", "s" } }) == "");
    }
    // Upstreams that have run a request contradict themselves, and heads of two answers may be joined.
    for (auto const status : { 200u, 404u, 408u, 500u, 502u, 504u })
        BOOST_TEST(proofOf(status, { { "X-Not-Executed", "1" } }) == "");
    BOOST_TEST(proofOf(503, { { "X-Not-Executed", "1" }, { "X-Not-Executed", "1" } }) == "");
    BOOST_TEST(proofOf(503, { { "X-Not-Executed", "1HTTP/1.1 200 OK" } }) == "");
    BOOST_TEST(proofOf(421, { { "x-instance-id", "i-2" } }) == "other-instance");
    // The request was addressed to this instance, or to none.
    BOOST_TEST(proofOf(421, { { "X-Instance-Id", "i-1" } }) == "");
    BOOST_TEST(proofOf(421, { { "X-Instance-Id", "i-2" } }, {}) == "");
    BOOST_TEST(proofOf(421, { { "X-Instance-Id", "" } }) == "");
    BOOST_TEST(proofOf(421, { { "X-Instance-Id", "i-2" }, { "X-Instance-Id", "i-1" } }) == "");
    BOOST_TEST(proofOf(421, { { "X-Instance-Id", "i-2" }, { "X-Response-Signature", "s" } }) == "");
    BOOST_TEST(proofOf(421, { { "X-Instance-Id", "i-2" }, { "X-Response-Signature", "" } }) == "");
    for (auto const status : { 408u, 429u, 500u, 502u, 503u })
        BOOST_TEST(proofOf(status, { { "X-Instance-Id", "i-2" } }) == "");
}

BOOST_AUTO_TEST_CASE(AnswerHeadsAreParsed)
{
    auto const readHeader = [dialect = platformDialect()](unsigned status, HttpFields const& fields) { return dialect.readResponseHeader(status, fields, "i-1"); };
    BOOST_TEST(readHeader(503, { { "Retry-After", "2.5" } }).backoff.value_or(Milliseconds(0)).count() == 2500);
    for (auto const* text : { "", "0", "-1", "soon", "nan", "inf", "Wed, 21 Oct 2026 07:28:00 GMT" })
        BOOST_TEST(readHeader(503, { { "Retry-After", text } }).backoff.value_or(Milliseconds(0)).count() <= 86400000);
    BOOST_TEST(!readHeader(503, { { "Retry-After", "soon" } }).backoff.has_value());
    BOOST_TEST(readHeader(200, { { "Server-Leaving", "1" } }).isLeaving);
    BOOST_TEST(!readHeader(200, {}).isLeaving);
    BOOST_TEST(!readHeader(429, { { "Retry-After", "2" } }).backoff.has_value());
    auto const head = readHeader(200, { { "X-Response-Signature", "s" }, { "X-Server-Load", "3,1,8" } });
    BOOST_TEST(head.isSigned);
    BOOST_TEST((head.load->running == 3u && head.load->waiting == 1u && head.load->slots == 8u));
    BOOST_TEST(!readHeader(200, { { "X-Server-Load", "3,1" } }).load.has_value());
}

// Guards against requests that may have run and were refused for a reason whose status promises the opposite.
BOOST_AUTO_TEST_CASE(OnlyRequestsThatDidNotRunGetAStatusThatSaysSo)
{
    for (size_t index = 0; index < static_cast<size_t>(RefusalReason::Count); ++index) {
        auto const reason = static_cast<RefusalReason>(index);
        for (auto const verdict : { Verdict::mayHaveRun, Verdict::ran }) {
            auto const reply = gatewayReply({ reason, verdict, "", Milliseconds(100) });
            BOOST_TEST((!promisesNotRun(reply.status) && !reply.headers.contains("Retry-After")));
        }
    }
    auto const reply = gatewayReply({ RefusalReason::UpstreamBroken, NotRunProof::nothingSent(), "", Milliseconds(50) });
    BOOST_TEST(reply.status == 503u);
    BOOST_TEST(reply.headers.find("Retry-After") == "0.050");
    BOOST_TEST(gatewayStatusOf({ RefusalReason::UnknownKey, NotRunProof::nothingSent(), "", {} }) == 401u);
}

BOOST_AUTO_TEST_CASE(GatewayStateRoundTrips)
{
    GatewayState state { { 9, 7, { { 8, "{delta}" }, { 9, "{another}" } } }, 77, std::vector<UpstreamRecord> { { "i-1", "chat", "10.1.1.1:80", "north", 64, true, Milliseconds(20) } } };
    auto const bytes = state.encode();
    auto const decoded = GatewayState::decode(bytes);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded->settings.version == 9u && decoded->settings.base == 7u && decoded->settings.steps == state.settings.steps));
    BOOST_TEST((decoded->upstreamsHash == 77u && decoded->upstreams == state.upstreams));
    state.upstreams.reset();
    BOOST_TEST(!GatewayState::decode(state.encode())->upstreams.has_value());
    for (size_t length = 0; length < bytes.size(); ++length)
        BOOST_TEST(!GatewayState::decode(std::string_view(bytes).substr(0, length)).has_value());
}

// A starting daemon has read the configuration when its store calls begin to fail. It must get the
// upstreams from another daemon.
BOOST_AUTO_TEST_CASE(DaemonBecomesReadyFromStateOfPeers)
{
    GatewayPair pair;
    pair.reader.setPeers({ pair.second });
    pair.follower.updateSettings(pair.settings.dump(), { true, pair.loop.now(), 1 });
    pair.run([&] { return pair.follower.isReady(); });
    BOOST_TEST(pair.follower.isReady());
}

// If a whole fleet starts at once, daemons that register late query daemons that do not know them
// yet.
BOOST_AUTO_TEST_CASE(UnknownDaemonGetsResponses)
{
    GatewayPair pair;
    pair.run([&] { return pair.follower.isReady(); });
    BOOST_TEST(pair.follower.isReady());
}

// A daemon that never reads the store gets configurations from the one that does: first the whole
// text, then the changes.
BOOST_AUTO_TEST_CASE(ReaderForwardsNewConfiguration)
{
    GatewayPair pair;
    pair.reader.setPeers({ pair.second });
    uint64_t const firstVersion = pair.settings["version"];
    auto const isApplied = [&] { return pair.follower.metrics().render().find("stagepost_settings_version " + std::to_string(firstVersion + 1)) != std::string::npos; };
    pair.run([&] {
        if (pair.follower.isReady())
            pair.settings["version"] = firstVersion + 1;
        return isApplied();
    });
    BOOST_TEST(isApplied());
}

// A delayed response of the store must not revert state that was confirmed meanwhile.
BOOST_AUTO_TEST_CASE(ReadOlderThanConfirmedStateIsIgnored)
{
    EventLoop loop;
    Gateway gateway(loop, {}, platformDialect(), {}, [] { return 1u; });
    UpstreamRecord const record { "i-1", "chat", "10.1.1.1:80", "north", 64, true, Milliseconds(0) };
    Instant const sent { Seconds(10) };
    BOOST_TEST(gateway.updateUpstreams({ { "i-1", record } }, { true, sent, 1 }));
    BOOST_TEST(!gateway.updateUpstreams({}, { true, sent - Milliseconds(1), 2 }));
    BOOST_TEST(gateway.updateUpstreams({}, { true, sent, 3 }));
}

// Guards against streams that go on at another version: upstreams of it came and went between two whole lists, and
// the history still proved that there was one version.
BOOST_AUTO_TEST_CASE(AWholeListProvesNothingOfWhatCameAndWentBefore)
{
    EventLoop loop;
    Gateway gateway(loop, {}, platformDialect(), {}, [] { return 1u; });
    auto& table = gateway.serviceTable();
    UpstreamRecord record { "i-1", "chat", "10.1.1.1:80", "north", 64, false, Milliseconds(0) };
    record.version = "v1";
    ServiceVersions const versions { { "chat", { VersionId::fromName("v1") } } };
    auto const restore = [&] { table.restoreVersionHistory(versions, {}, loop.now(), loop.now()); };
    auto const isProven = [&] { return table.versions("chat")->uniformVersion(loop.now()).has_value() && table.versions("chat")->isComplete(loop.now()); };
    gateway.updateUpstreams({ { "i-1", record } }, { true, loop.now(), 1 });
    BOOST_TEST(!isProven());
    restore();
    BOOST_TEST(isProven());
    gateway.updateUpstreams({}, { false, loop.now(), 2 });
    BOOST_TEST(isProven());
    for (bool const isAfterRestore : { false, true }) {
        restore();
        gateway.updateUpstreams({ { "i-1", record } }, { true, loop.now(), 3, isAfterRestore });
        BOOST_TEST(!isProven());
        BOOST_TEST(!table.recentVersions(loop.now()).has_value());
    }
    restore();
    BOOST_TEST(isProven());
    // One batch adds an upstream and removes it.
    auto other = record;
    other.instance = "i-2";
    other.version = "v2";
    gateway.updateUpstreams({ { "i-2", other }, { "i-2", {} } }, { false, loop.now(), 4 });
    BOOST_TEST(!isProven());
}

// Guards against a version that daemons forget when they start, although a hall that is cut off still uses it: its record
// was gone before the position of the fleet's record of versions, which did not tell yet that it had lapsed.
BOOST_AUTO_TEST_CASE(VersionsAreNotRecordedUntilItIsKnownWhichHaveLapsed)
{
    EventLoop loop;
    Gateway gateway(loop, {}, platformDialect(), {}, [] { return 1u; });
    UpstreamRecord record { "i-1", "chat", "10.1.1.1:80", "north", 64, false, Milliseconds(0) };
    record.version = "v1";
    gateway.updateUpstreams({ { "i-1", record } }, { true, loop.now() - Seconds(4), 1 });
    gateway.serviceTable().restoreVersionHistory({}, {}, loop.now(), loop.now());
    BOOST_TEST(gateway.versionsToRecord().has_value());
    // The store was not available meanwhile.
    gateway.updateUpstreams({ { "i-1", {} } }, { false, loop.now(), 2 });
    BOOST_TEST(gateway.serviceTable().lapsedVersions(loop.now()).at("chat").empty());
    BOOST_TEST(gateway.serviceTable().recentVersions(loop.now()).has_value());
    BOOST_TEST(!gateway.versionsToRecord().has_value());
    gateway.updateUpstreams({ { "i-1", record } }, { false, loop.now(), 3 });
    BOOST_TEST(gateway.versionsToRecord().has_value());
}

// Two reads without a configuration followed one that was rejected, and the second confirmed the configuration
// before it. Keys that the rejected one has removed were accepted for good.
BOOST_AUTO_TEST_CASE(RejectedConfigurationConfirmsNoEarlierOne)
{
    EventLoop loop;
    auto options = GatewayPair::loopbackOptions();
    options.keyFreshness = Milliseconds(200);
    Gateway gateway(loop, options, platformDialect(), {}, [] { return 1u; });
    BOOST_REQUIRE(gateway.start().has_value());
    uint64_t position = 0;
    auto const read = [&](std::optional<std::string> const& text) {
        StoreRead const result { !position, loop.now(), ++position };
        gateway.updateHallOrders({}, result);
        gateway.updateSettings(text, result);
        gateway.updateUpstreams({}, result);
        loop.runFor(Milliseconds(30));
    };
    read(manifest().dump());
    for (size_t count = 0; count < 10; ++count)
        read({});
    BOOST_TEST(gateway.isReady());
    read("{}");
    for (size_t count = 0; count < 10; ++count)
        read({});
    BOOST_TEST(!gateway.isReady());
    auto next = manifest();
    next["version"] = next["version"].get<uint64_t>() + 1;
    read(next.dump());
    read({});
    BOOST_TEST(gateway.isReady());
}

BOOST_AUTO_TEST_CASE(StateWithThousandsOfUpstreamsIsDecoded)
{
    GatewayState state { { 9, 0, { { 9, "{text}" } } }, 1, std::vector<UpstreamRecord> {} };
    for (int number = 0; number < 4000; ++number)
        state.upstreams->push_back({ "i-" + std::to_string(number), "chat", "10.1.1.1:80", "north", 64, false, Milliseconds(0) });
    auto const decoded = GatewayState::decode(state.encode());
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded->upstreams == state.upstreams));
}

// For any input, parsers must return a value or an error.
BOOST_AUTO_TEST_CASE(ParsersHandleArbitraryBytes)
{
    auto const dialect = platformDialect();
    BOOST_TEST(rc::check("arbitrary bytes", [&](std::string const& bytes, uint16_t position, uint8_t replacement) {
        auto damaged = manifest().dump();
        damaged[position % damaged.size()] = static_cast<char>(replacement);
        (void)readManifest(damaged);
        (void)readManifest(bytes);
        (void)readUpstreamRecord("i", bytes);
        (void)parseKeyedRecords(bytes, StorePosition {});
        (void)GatewayState::decode(bytes);
        (void)readPromptParts(bytes);
        (void)dialect.readCall({ "GET", bytes, { { "X-Prompt-Prefix", bytes }, { "X-Deadline-Ms", bytes }, { "Last-Event-Id", bytes } }, bytes });
        (void)dialect.readResponseHeader(200, { { "X-Server-Load", bytes } }, {});
        RC_SUCCEED();
    }));
}

BOOST_AUTO_TEST_SUITE_END()

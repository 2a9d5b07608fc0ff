#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <platform/JsonCursor.h>
#include <platform/ManifestReader.h>
#include <rapidcheck.h>

using namespace Stagepost;
using Json = nlohmann::json;

namespace {

Json route(size_t number)
{
    return { { "name", "r-" + std::to_string(number) }, { "host", "a.example" }, { "pathPrefix", "/p" + std::to_string(number) + "/" }, { "kind", "safe" },
        { "timeoutMs", 1000 + number }, { "targetLatencyMs", 100 }, { "priority", 1 }, { "service", "book" } };
}

Json manifest(size_t version, size_t routes)
{
    Json result { { "version", version }, { "routes", Json::array() }, { "services", { { { "name", "book" } } } },
        { "tenants", { { { "name", "club" }, { "apiKeys", { "k1", "k2" } } }, { { "name", "dealer" }, { "apiKeys", { "k3" } } } } } };
    for (size_t number = 0; number < routes; ++number)
        result["routes"].push_back(route(number));
    return result;
}

struct IncrementalResult {
    Result<RouteTable::Parts> parts { RouteTable::Parts {} };
    size_t steps { 0 };
};

IncrementalResult readWith(ManifestReader const& reader, std::string const& text)
{
    IncrementalResult result;
    auto const step = reader.read(makeSettingsText(text));
    std::optional<Result<RouteTable::Parts>> parts;
    while (!parts) {
        parts = step();
        ++result.steps;
    }
    result.parts = std::move(*parts);
    return result;
}

// Returns the elements of an array, or the members of an object as KEY=VALUE. None if the text is invalid.
std::optional<std::vector<std::string>> elementsOf(std::string const& text)
{
    JsonCursor cursor(text);
    std::vector<std::string> elements;
    if (cursor.enterArray()) {
        while (auto const element = cursor.nextElement())
            elements.emplace_back(*element);
    } else if (cursor.enterObject()) {
        while (auto const key = cursor.nextKey())
            elements.push_back(std::string(*key) + '=' + std::string(cursor.value()));
    } else {
        return {};
    }
    return cursor.hasFailed() || !cursor.isAtEnd() ? std::nullopt : std::optional(elements);
}

}

BOOST_AUTO_TEST_SUITE(ManifestReaderTests)

BOOST_AUTO_TEST_CASE(CursorReturnsElementsVerbatim)
{
    using Elements = std::vector<std::string>;
    BOOST_TEST((*elementsOf(R"( [1, "a,]" ,{"x":[2,"}"]}, [ ] ,true] )") == Elements { "1", R"("a,]")", R"({"x":[2,"}"]})", "[ ]", "true" }));
    BOOST_TEST((*elementsOf(R"({"a":1,"b\"c" : {"d":[]}})") == Elements { "a=1", R"(b\"c={"d":[]})" }));
    BOOST_TEST(elementsOf("[]").value().empty());
    BOOST_TEST(elementsOf("{ }").value().empty());
    for (auto const* const broken : { "[1,]", "[,1]", "[1 2]", "[1", "[\"a]", "[1]]", "{\"a\"}", "{\"a\":}", "{\"a\":1,}", "{a:1}", "{\"a\":1", "[\"\\", "7", "" })
        BOOST_TEST(!elementsOf(broken).has_value(), broken);
}

BOOST_AUTO_TEST_CASE(CursorHandlesArbitraryBytes)
{
    BOOST_TEST(rc::check("arbitrary bytes", [](std::string const& bytes, uint8_t cut) {
        (void)elementsOf(bytes);
        (void)elementsOf("[" + bytes);
        (void)elementsOf("{\"" + bytes);
        auto const whole = manifest(1, 2).dump();
        RC_ASSERT(!elementsOf(whole.substr(0, cut % whole.size())).has_value());
        RC_SUCCEED();
    }));
}

BOOST_AUTO_TEST_CASE(DeeplyNestedUnknownFieldsAreSkipped)
{
    constexpr size_t depth = 100000;
    auto const deep = std::string(depth, '[') + std::string(depth, ']');
    auto text = manifest(1, 1).dump();
    text.insert(1, "\"unknownField\":" + deep + ",");
    BOOST_TEST(readManifest(text).has_value());
    BOOST_TEST(!readManifest(deep).has_value());
}

// Changing one route among thousands must not decode the others again.
BOOST_AUTO_TEST_CASE(UnchangedRoutesAreShared)
{
    ManifestReader const reader;
    auto const first = readWith(reader, manifest(1, 1000).dump());
    auto changed = manifest(2, 1000);
    changed["routes"][500]["timeoutMs"] = 7;
    auto const second = readWith(reader, changed.dump());
    BOOST_REQUIRE((first.parts.has_value() && second.parts.has_value()));
    size_t shared = 0;
    for (size_t number = 0; number < 1000; ++number)
        shared += first.parts->routes[number].route == second.parts->routes[number].route ? 1 : 0;
    BOOST_TEST(shared == 999u);
    BOOST_TEST((second.parts->routes[500].route->timeout == Milliseconds(7)));
    // Each new route takes a step of its own, so that requests are served in between.
    BOOST_TEST(first.steps > 1000u);
    BOOST_TEST(second.steps < 40u);
}

BOOST_AUTO_TEST_CASE(IncrementalReadMatchesFullRead)
{
    ManifestReader const reader;
    BOOST_TEST(rc::check("consecutive configurations", [&](std::vector<uint8_t> const& routes, uint8_t broken) {
        auto next = manifest(routes.size(), 0);
        for (auto const number : routes)
            next["routes"].push_back(route(number % 20));
        next["tenants"][0]["apiKeys"].push_back("k" + std::to_string(broken));
        bool const isBroken = broken % 4 == 0 && !routes.empty();
        if (isBroken)
            next["routes"][broken % routes.size()]["host"] = 3;
        auto const incremental = readWith(reader, next.dump()).parts;
        auto const full = readManifest(next.dump());
        RC_ASSERT(incremental.has_value() == !isBroken);
        RC_ASSERT(incremental.has_value() == full.has_value());
        if (!incremental) {
            RC_ASSERT(incremental.error().detail == full.error().detail);
            return;
        }
        RC_ASSERT(incremental->routes.size() == full->routes.size());
        for (size_t index = 0; index < incremental->routes.size(); ++index)
            RC_ASSERT(incremental->routes[index].route->name == full->routes[index].route->name);
        RC_ASSERT(incremental->organisationByKey == full->organisationByKey);
    }));
}

// Adds and removes runs of routes at the ends and in the middle, in indented and compact texts.
BOOST_AUTO_TEST_CASE(InsertionsAndRemovalsAnywhereAreRead)
{
    ManifestReader const reader;
    std::vector<size_t> numbers;
    size_t version = 0;
    BOOST_TEST(rc::check("consecutive changes", [&](uint8_t at, uint8_t count, bool removes, uint8_t changed, bool isIndented) {
        auto const place = numbers.begin() + static_cast<ptrdiff_t>(at % (numbers.size() + 1));
        if (removes)
            numbers.erase(place, place + std::min<ptrdiff_t>(count, numbers.end() - place));
        else
            numbers.insert(place, count % 20, version + changed);
        if (!numbers.empty())
            numbers[changed % numbers.size()] = version;
        auto next = manifest(++version, 0);
        for (auto const number : numbers)
            next["routes"].push_back(route(number));
        if (changed % 3 == 0)
            next["tenants"].erase(0);
        auto const text = next.dump(isIndented ? 1 : -1);
        auto const incremental = readWith(reader, text).parts;
        auto const full = readManifest(text);
        RC_ASSERT(incremental.has_value());
        RC_ASSERT(incremental->version == version);
        RC_ASSERT(incremental->routes.size() == numbers.size());
        for (size_t index = 0; index < numbers.size(); ++index) {
            RC_ASSERT(incremental->routes[index].route->name == "r-" + std::to_string(numbers[index]));
            RC_ASSERT(incremental->routes[index].route->timeout == full->routes[index].route->timeout);
        }
        RC_ASSERT(incremental->organisationByKey == full->organisationByKey);
    }));
}

BOOST_AUTO_TEST_CASE(OtherMembersAreValidated)
{
    auto const text = manifest(1, 1).dump();
    BOOST_TEST(readManifest(text).has_value());
    for (auto const* const broken : { "\"unknownField\":{]},", "\"unknownField\":nonsense,", "\"unknownField\":," }) {
        auto changed = text;
        changed.insert(1, broken);
        BOOST_TEST(!readManifest(changed).has_value(), broken);
    }
    BOOST_TEST(!readManifest(text + "x").has_value());
    BOOST_TEST(!readManifest(text.substr(0, text.size() - 1)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

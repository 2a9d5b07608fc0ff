#include <LibSettings/RouteTable.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

namespace {

RouteEntry route(std::string name, std::string host, std::string prefix)
{
    Route result;
    result.name = std::move(name);
    result.host = std::move(host);
    result.pathPrefix = std::move(prefix);
    return RouteEntry(std::move(result));
}

RouteTable table()
{
    RouteTable::Parts parts;
    parts.version = 7;
    parts.routes = { route("short", "a.example", "/a/"), route("long", "a.example", "/a/b/"), route("other", "b.example", "/a/") };
    parts.organisations = { { "club", 3 }, { "dealer", {} } };
    parts.organisationByKey = { { "k1", 0 }, { "k2", 1 } };
    parts.services = { { "chat", 10, 1000, true } };
    return RouteTable(std::move(parts));
}

}

BOOST_AUTO_TEST_SUITE(RouteTableTests)

BOOST_AUTO_TEST_CASE(TheLongestPrefixOfTheHostWins)
{
    auto const routes = table();
    BOOST_TEST(routes.find("a.example", "/a/b/c")->name == "long");
    BOOST_TEST(routes.find("a.example", "/a/bc")->name == "short");
    BOOST_TEST(routes.find("b.example:8080", "/a/b/c")->name == "other");
    BOOST_TEST(!routes.find("a.example", "/a"));
    BOOST_TEST(!routes.find("c.example", "/a/"));
}

BOOST_AUTO_TEST_CASE(OfTwoRoutesWithTheSameHostAndPrefixTheFirstWins)
{
    RouteTable::Parts parts;
    parts.routes = { route("first", "a.example", "/a/"), route("second", "a.example", "/a/"), route("all", "a.example", "/") };
    RouteTable const routes(std::move(parts));
    BOOST_TEST(routes.find("a.example", "/a/b")->name == "first");
    BOOST_TEST(routes.find("a.example", "/b")->name == "all");
    BOOST_TEST(!routes.find("a.example", ""));
}

BOOST_AUTO_TEST_CASE(EachOfManyRoutesIsFound)
{
    RouteTable::Parts parts;
    for (size_t number = 0; number < 3000; ++number)
        parts.routes.push_back(route("r" + std::to_string(number), "host" + std::to_string(number % 7), "/p" + std::to_string(number) + "/"));
    RouteTable const routes(std::move(parts));
    for (size_t number = 0; number < 3000; ++number) {
        auto const* found = routes.find("host" + std::to_string(number % 7), "/p" + std::to_string(number) + "/x");
        BOOST_REQUIRE(found);
        BOOST_TEST(found->name == "r" + std::to_string(number));
        BOOST_TEST(!routes.find("host" + std::to_string(number % 7 + 1), "/p" + std::to_string(number) + "/x"));
    }
}

BOOST_AUTO_TEST_CASE(ApiKeysIdentifyTheirOrganisation)
{
    auto const routes = table();
    BOOST_TEST(routes.organisationOf("k1")->name == "club");
    BOOST_TEST(*routes.organisationOf("k1")->priority == 3u);
    BOOST_TEST(routes.organisationOf("k2")->name == "dealer");
    BOOST_TEST(!routes.organisationOf("k3"));
    BOOST_TEST(routes.service("chat")->movesContexts);
    BOOST_TEST(!routes.service("none"));
}

BOOST_AUTO_TEST_CASE(OnlyResumableStreamsAndIdempotentRequestsAreRepeatable)
{
    Route route;
    BOOST_TEST(!route.isRepeatable());
    route.kind = RequestKind::Stream;
    BOOST_TEST(!route.isRepeatable());
    route.isResumable = true;
    BOOST_TEST(route.isRepeatable());
    route.kind = RequestKind::AtMostOnce;
    BOOST_TEST(!route.isRepeatable());
    route.kind = RequestKind::Idempotent;
    BOOST_TEST(route.isRepeatable());
}

BOOST_AUTO_TEST_SUITE_END()

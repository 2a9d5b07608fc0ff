#include <boost/test/unit_test.hpp>
#include <stagepostd/SettingsLoader.h>

using namespace Stagepost;

namespace {

// Parses a text of N letters in N steps, and fails at an 'x'.
struct World {
    IncrementalSettingsParser parse(std::string const& text)
    {
        started.push_back(text);
        return [this, text, at = size_t { 0 }]() mutable -> std::optional<Result<RouteTable::Parts>> {
            ++steps;
            if (at == text.size())
                return Result<RouteTable::Parts>(RouteTable::Parts {});
            if (text[at++] == 'x')
                return Result<RouteTable::Parts>(Error(ErrorCode::BadInput, "an x"));
            return {};
        };
    }

    SettingsLoader::PendingSettings pending(std::string const& text)
    {
        return { makeSettingsText(text), {}, [this, text] { applied.push_back(text); } };
    }

    void run()
    {
        loop.runFor(Milliseconds(50));
    }

    EventLoop loop;
    std::vector<std::string> started;
    std::vector<std::string> parsed;
    std::vector<std::string> applied;
    size_t steps { 0 };
    SettingsLoader loader { loop, { [this](SettingsText const& text) { return parse(*text); }, [this](auto&& parts, auto const& pending) {
                                       parsed.push_back(*pending.text);
                                       return parts.has_value(); } } };
};

using Texts = std::vector<std::string>;

}

BOOST_AUTO_TEST_SUITE(SettingsLoaderTests)

// Guards against blocking the event loop: a table of 4,449 routes that was parsed in one piece
// blocked requests for up to 340 ms on an eighth of a core ("stalled late_ms=340").
BOOST_AUTO_TEST_CASE(OtherEventsRunBetweenSlices)
{
    World world;
    world.loader.load(world.pending(std::string(500, 'a')));
    BOOST_TEST(world.loader.isBusy());
    BOOST_TEST(world.steps < 100u);
    size_t stepsWhenOthersRan = 0;
    world.loop.post([&] { stepsWhenOthersRan = world.steps; });
    world.run();
    BOOST_TEST(stepsWhenOthersRan < 200u);
    BOOST_TEST(world.applied.size() == 1u);
    BOOST_TEST(!world.loader.isBusy());
}

BOOST_AUTO_TEST_CASE(OnlyTheNewestWaitingConfigurationIsParsed)
{
    World world;
    auto const first = std::string(300, 'a');
    world.loader.load(world.pending(first));
    world.loader.load(world.pending("superseded"));
    world.loader.load(world.pending("newest"));
    world.run();
    BOOST_TEST((world.started == Texts { first, "newest" }));
    BOOST_TEST((world.applied == Texts { first, "newest" }));
}

// A configuration that was read from the store gave way to an older one that another daemon had sent.
BOOST_AUTO_TEST_CASE(WaitingConfigurationIsNotReplacedByAnOlderOne)
{
    World world;
    auto const first = std::string(300, 'a');
    world.loader.load(world.pending(first));
    auto stored = world.pending("stored");
    stored.position = 9;
    auto told = world.pending("told");
    told.update = SettingsUpdate { 4, 3, {} };
    told.position = 7;
    auto newestTold = world.pending("newest-told");
    newestTold.update = SettingsUpdate { 6, 4, {} };
    newestTold.position = 11;
    world.loader.load(stored);
    world.loader.load(told);
    world.run();
    BOOST_TEST((world.applied == Texts { first, "stored" }));
    world.loader.load(world.pending(first));
    world.loader.load(newestTold);
    world.loader.load(told);
    world.loader.load(stored);
    world.run();
    BOOST_TEST(world.applied.back() == "newest-told");
}

// Otherwise changes in quick succession could keep any of them from taking effect.
BOOST_AUTO_TEST_CASE(ParsingIsNotAbortedByNewerConfigurations)
{
    World world;
    auto const first = std::string(300, 'a');
    world.loader.load(world.pending(first));
    for (size_t round = 0; round < 20 && world.parsed.empty(); ++round) {
        world.loader.load(world.pending("newer" + std::to_string(round)));
        world.loop.runFor(Milliseconds(1));
    }
    BOOST_REQUIRE(!world.parsed.empty());
    BOOST_TEST(world.parsed.front() == first);
}

BOOST_AUTO_TEST_CASE(ParseErrorDoesNotBlockTheNextConfiguration)
{
    World world;
    world.loader.load(world.pending("aax"));
    world.loader.load(world.pending("bbb"));
    world.run();
    BOOST_TEST((world.parsed == Texts { "aax", "bbb" }));
    BOOST_TEST((world.applied == Texts { "bbb" }));
}

// A configuration that arrives after one is parsed and before the next is started replaces the
// waiting one, and no newer one is lost.
BOOST_AUTO_TEST_CASE(ConfigurationThatArrivesBetweenTwoLoadsIsParsed)
{
    World world;
    auto first = world.pending("first");
    first.onApplied = [&] { world.loader.load(world.pending("third")); };
    world.loader.load(world.pending(std::string(100, 'a')));
    world.loader.load(std::move(first));
    world.run();
    BOOST_TEST(world.applied.back() == "third");
    BOOST_TEST(!world.loader.isBusy());
}

BOOST_AUTO_TEST_CASE(ReceivedVersionIsReportedAsLoading)
{
    World world;
    auto received = world.pending(std::string(100, 'a'));
    received.update = SettingsUpdate { 9, 7, {} };
    world.loader.load(std::move(received));
    BOOST_TEST(world.loader.isLoading(9));
    BOOST_TEST(world.loader.isLoading(8));
    BOOST_TEST(!world.loader.isLoading(10));
    world.run();
    BOOST_TEST(!world.loader.isLoading(9));
}

BOOST_AUTO_TEST_SUITE_END()

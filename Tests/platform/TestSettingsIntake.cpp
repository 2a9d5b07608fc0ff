#include <boost/test/unit_test.hpp>
#include <stagepostd/SettingsIntake.h>

using namespace Stagepost;

namespace {

// Reads a text of N letters in N steps; an 'x' among them cannot be read.
struct World {
    SettingsSteps read(std::string const& text)
    {
        begun.push_back(text);
        return [this, text, at = size_t { 0 }]() mutable -> std::optional<Result<RouteTable::Parts>> {
            ++steps;
            if (at == text.size())
                return Result<RouteTable::Parts>(RouteTable::Parts {});
            if (text[at++] == 'x')
                return Result<RouteTable::Parts>(Error(ErrorCode::BadInput, "an x"));
            return {};
        };
    }

    SettingsIntake::Arrival arrival(std::string const& text)
    {
        return { makeSettingsText(text), {}, [this, text] { inForce.push_back(text); } };
    }

    void run()
    {
        loop.runFor(Milliseconds(50));
    }

    EventLoop loop;
    std::vector<std::string> begun;
    std::vector<std::string> taken;
    std::vector<std::string> inForce;
    size_t steps { 0 };
    SettingsIntake intake { loop, { [this](SettingsText const& text) { return read(*text); }, [this](auto&& parts, auto const& arrived) {
                                       taken.push_back(*arrived.text);
                                       return parts.has_value(); } } };
};

using Texts = std::vector<std::string>;

}

BOOST_AUTO_TEST_SUITE(SettingsIntakeTests)

// A table of 4,449 routes was read in one piece, and requests stood still for up to
// 340 ms on an eighth of a core ("stalled late_ms=340").
BOOST_AUTO_TEST_CASE(ALongReadingLetsOthersGoFirst)
{
    World world;
    world.intake.take(world.arrival(std::string(500, 'a')));
    BOOST_TEST(world.intake.isBusy());
    BOOST_TEST(world.steps < 100u);
    size_t stepsWhenOthersRan = 0;
    world.loop.post([&] { stepsWhenOthersRan = world.steps; });
    world.run();
    BOOST_TEST(stepsWhenOthersRan < 200u);
    BOOST_TEST(world.inForce.size() == 1u);
    BOOST_TEST(!world.intake.isBusy());
}

BOOST_AUTO_TEST_CASE(OfThoseThatWaitOnlyTheNewestIsRead)
{
    World world;
    auto const first = std::string(300, 'a');
    world.intake.take(world.arrival(first));
    world.intake.take(world.arrival("overtaken"));
    world.intake.take(world.arrival("newest"));
    world.run();
    BOOST_TEST((world.begun == Texts { first, "newest" }));
    BOOST_TEST((world.inForce == Texts { first, "newest" }));
}

// Else changes in quick succession could keep each other from ever being in force.
BOOST_AUTO_TEST_CASE(TheOneThatIsReadIsFinishedWhateverComes)
{
    World world;
    auto const first = std::string(300, 'a');
    world.intake.take(world.arrival(first));
    for (size_t round = 0; round < 20 && world.taken.empty(); ++round) {
        world.intake.take(world.arrival("newer" + std::to_string(round)));
        world.loop.runFor(Milliseconds(1));
    }
    BOOST_REQUIRE(!world.taken.empty());
    BOOST_TEST(world.taken.front() == first);
}

BOOST_AUTO_TEST_CASE(OneThatCannotBeReadIsNotInForceAndStopsNothing)
{
    World world;
    world.intake.take(world.arrival("aax"));
    world.intake.take(world.arrival("bbb"));
    world.run();
    BOOST_TEST((world.taken == Texts { "aax", "bbb" }));
    BOOST_TEST((world.inForce == Texts { "bbb" }));
}

// What arrives between the end of one reading and the beginning of the next replaces
// the one that waits, and loses nothing newer.
BOOST_AUTO_TEST_CASE(WhatArrivesBetweenTwoReadingsIsRead)
{
    World world;
    auto first = world.arrival("first");
    first.inForce = [&] { world.intake.take(world.arrival("third")); };
    world.intake.take(world.arrival(std::string(100, 'a')));
    world.intake.take(std::move(first));
    world.run();
    BOOST_TEST(world.inForce.back() == "third");
    BOOST_TEST(!world.intake.isBusy());
}

BOOST_AUTO_TEST_CASE(WhatWasToldIsKnownToBeOnItsWay)
{
    World world;
    auto told = world.arrival(std::string(100, 'a'));
    told.told = ToldSettings { 9, 7, {} };
    world.intake.take(std::move(told));
    BOOST_TEST(world.intake.isTaking(9));
    BOOST_TEST(world.intake.isTaking(8));
    BOOST_TEST(!world.intake.isTaking(10));
    world.run();
    BOOST_TEST(!world.intake.isTaking(9));
}

BOOST_AUTO_TEST_SUITE_END()

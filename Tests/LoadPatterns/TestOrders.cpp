#include <LoadPatterns/Patterns.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;
using namespace Stagepost::LoadPatterns;

BOOST_AUTO_TEST_SUITE(OrdersTests)

namespace {

// Ninety upstreams of the users' sheet that shifted, a third of which comes back cold.
StreamPattern hallThatComesBackCold()
{
    StreamPattern pattern;
    pattern.daemons = 73;
    pattern.upstreams = 90;
    pattern.requestsPerSecond = 435;
    pattern.kinds = { { 0.18, 312, 1.6, 10500, 1.2, 1, 1300 }, { 0.55, 371, 1.2, 700, 0.5, 0, 130 }, { 0.27, 477, 0.15, 2000, 0.6, 2, 360 } };
    pattern.countsInterval = Milliseconds(500);
    pattern.countsAge = Milliseconds(600);
    pattern.seconds = 16;
    pattern.clumpShare = 12;
    pattern.runsBeforeTraffic = true;
    pattern.readsLikeEngines = true;
    pattern.asksOwners = true;
    pattern.coldBound = { 8.9, 1.5, 5, Seconds(3) };
    pattern.absence = Absence { 30, 4, 8, true, true };
    return pattern;
}

void playCold(StreamPattern const& pattern, std::string const& name)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        auto const outcome = StreamFleet(pattern, {}, seed).play();
        BOOST_TEST_MESSAGE(name << ", seed " << seed << ": " << outcome.mostInAColdSecond << " in a cold second, " << pattern.coldBound.fleetLimit() << " allowed, " << outcome.unplaced << " not placed, in time from second 8 " << outcome.inTimeShare(8, 16) << ", reused " << outcome.reusedShare(8));
        BOOST_TEST(outcome.mostInAColdSecond <= pattern.coldBound.fleetLimit());
        BOOST_TEST(outcome.unplaced == 0u);
        BOOST_TEST(outcome.inTimeShare(8, 16) > 0.95);
    }
}

}

BOOST_AUTO_TEST_CASE(AHallThatComesBackColdIsNotOverrun)
{
    playCold(hallThatComesBackCold(), "a third comes back cold");
}

BOOST_AUTO_TEST_CASE(AHallThatComesBackColdInABurstIsNotOverrun)
{
    auto pattern = hallThatComesBackCold();
    pattern.surge = 1.7;
    pattern.surgeFrom = 7;
    pattern.surgeUntil = 12;
    playCold(pattern, "a third comes back cold in a burst");
}

// Four times the traffic for eight seconds: what came in the rush is still there when the mean
// has fallen.
BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWhenALongRushIsOver)
{
    auto pattern = hallThatComesBackCold();
    pattern.absence.reset();
    pattern.surge = 4;
    pattern.surgeFrom = 2;
    pattern.surgeUntil = 10;
    pattern.countsInterval = Milliseconds(700);
    pattern.countsAge = Milliseconds(1000);
    play(pattern, "a long rush that ends", 0, tolerableInCalm, 8);
}

// A third gets nothing further just as a rush ends: the mean of all falls by both.
BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWhenAHallIsEmptiedAsARushEnds)
{
    auto pattern = hallThatComesBackCold();
    pattern.absence = Absence { 30, 8, 15, false, false, 0, true };
    pattern.surge = 1.6;
    pattern.surgeFrom = 4;
    pattern.surgeUntil = 9;
    play(pattern, "a hall is emptied as a rush ends", 4, tolerableInCalm, 8);
}

// Without any rush.
BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWhenAHallIsEmptied)
{
    auto pattern = hallThatComesBackCold();
    pattern.absence = Absence { 30, 5, 15, false, false, 0, true };
    play(pattern, "a hall is emptied", 4, tolerableInCalm, 8);
}

// Two thirds get nothing further: those that are left would be beyond the bound by their mean
// alone, so that requests have to be turned away, the urgent ones last.
BOOST_AUTO_TEST_CASE(OwnersKeepTheBoundWhenTwoHallsAreEmptied)
{
    auto pattern = hallThatComesBackCold();
    pattern.absence = Absence { 60, 5, 12, false, false, 0, true };
    play(pattern, "two halls are emptied", 4, tolerableInCalm, 8);
    auto const outcome = StreamFleet(pattern, {}, 1).play();
    BOOST_TEST_MESSAGE("two halls are emptied: turned away " << outcome.refusedShare(6, 12) << ", in time " << outcome.inTimeShare(6, 12));
    BOOST_TEST(outcome.refusedShare(0, 5) == 0);
    BOOST_TEST(outcome.refusedShare(13, 16) == 0);
}

// A third comes back with nothing: what its contexts' requests went to meanwhile holds them.
BOOST_AUTO_TEST_CASE(ContextsOfAHallThatComesBackAreCopiedFromWhoHoldsThem)
{
    auto pattern = hallThatComesBackCold();
    pattern.absence->losesContexts = true;
    auto const play = [&](bool asksHolders, uint64_t seed) {
        pattern.asksHolders = asksHolders;
        return StreamFleet(pattern, {}, seed).play();
    };
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        auto const guessed = play(false, seed);
        auto const asked = play(true, seed);
        BOOST_TEST_MESSAGE("a third comes back, seed " << seed << ": read again though held " << guessed.readThoughHeld << " (" << guessed.copied << " copied) where the source is guessed, " << asked.readThoughHeld << " (" << asked.copied << ") where holders are asked");
        BOOST_TEST(2 * asked.readThoughHeld < guessed.readThoughHeld);
    }
}

// Nobody knows for a second and a half that they are cold.
BOOST_AUTO_TEST_CASE(AHallWhoseColdnessIsToldLateIsNotOverrun)
{
    auto pattern = hallThatComesBackCold();
    pattern.absence->coldToldAfterSeconds = 1.5;
    playCold(pattern, "a third comes back cold, told late");
}

BOOST_AUTO_TEST_CASE(AHallThatComesBackColdKeepsItsBoundWhereMessagesAreLost)
{
    auto pattern = hallThatComesBackCold();
    pattern.messageTime = Milliseconds(4);
    pattern.lostMessages = 5;
    playCold(pattern, "a third comes back cold, messages lost");
}

BOOST_AUTO_TEST_SUITE_END()

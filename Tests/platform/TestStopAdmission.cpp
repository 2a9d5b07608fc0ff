#include <boost/test/unit_test.hpp>
#include <stagepostd/StopAdmission.h>

using namespace Stagepost;

namespace {

Instant at(double seconds)
{
    return Instant(Microseconds(static_cast<int64_t>(seconds * 1e6)));
}

constexpr double stopAt = 1000;
// The grace is 8 s.
constexpr double endAt = stopAt + 7.7;

// A daemon that has been serving requests for a while.
struct World {
    void answer(WorkId id, double seconds, size_t count = RunningRequests::minDurations)
    {
        while (count--)
            admission.requests().add(id, at(stopAt - seconds), [] {})->answered(at(stopAt));
    }

    void stop() { BOOST_TEST(admission.begin(at(stopAt), StopTimes::make(Milliseconds(8000), Milliseconds(3000)))); }

    StopAdmission admission;
    WorkId work { workIdOf("chat", "confirm") };
    // Of requests that may run only once.
    StopAdmission::Work once { work, at(stopAt + 60), {} };
    StopAdmission::Work repeatable { work, at(stopAt + 60), Milliseconds(2000) };
};

}

BOOST_AUTO_TEST_SUITE(StopAdmissionTests)

BOOST_AUTO_TEST_CASE(TakesEverythingWhileNoStopIsUnderWay)
{
    World world;
    world.answer(world.work, 50);
    BOOST_TEST(world.admission.mayTake(world.once, at(stopAt)));
    BOOST_TEST(!world.admission.isOver(at(stopAt + 100)));
}

// Guards against requests that are sent on and cut when the daemon ends.
BOOST_AUTO_TEST_CASE(RefusesWhatCannotEndInTime)
{
    World world;
    world.answer(world.work, 2);
    world.stop();
    BOOST_TEST(world.admission.mayTake(world.once, at(stopAt)));
    BOOST_TEST(world.admission.mayTake(world.once, at(endAt - 2.7)));
    BOOST_TEST(!world.admission.mayTake(world.once, at(endAt - 2.5)));
    BOOST_TEST(!world.admission.mayTake(world.once, at(endAt + 1)));
}

BOOST_AUTO_TEST_CASE(TheLongestRequestOfARouteCounts)
{
    World world;
    world.answer(world.work, 0.1, 40);
    world.answer(world.work, 4, 1);
    world.answer(world.work, 0.1, 20);
    world.stop();
    BOOST_TEST(!world.admission.mayTake(world.once, at(endAt - 4)));
    BOOST_TEST(world.admission.mayTake(world.once, at(endAt - 5.2)));
    world.answer(world.work, 0.1, RunningRequests::keptDurations);
    BOOST_TEST(world.admission.mayTake(world.once, at(endAt - 4)));
}

BOOST_AUTO_TEST_CASE(RoutesAreToldApart)
{
    World world;
    world.answer(workIdOf("chat", "other"), 0.1);
    world.answer(workIdOf("book", "confirm"), 0.1);
    world.stop();
    BOOST_TEST(!world.admission.mayTake(world.once, at(stopAt)));
}

BOOST_AUTO_TEST_CASE(TakesWhatIsAnsweredAtItsDeadlineInAnyCase)
{
    World world;
    world.answer(world.work, 50);
    world.stop();
    world.once.deadline = at(endAt - 0.2);
    BOOST_TEST(world.admission.mayTake(world.once, at(endAt - 1)));
    world.once.deadline = at(endAt);
    BOOST_TEST(!world.admission.mayTake(world.once, at(endAt - 1)));
}

// A daemon that has just started has seen no request end.
BOOST_AUTO_TEST_CASE(WithoutFiguresOnlyRepeatableRequestsAreTaken)
{
    World world;
    world.answer(world.work, 0.1, RunningRequests::minDurations - 1);
    world.stop();
    BOOST_TEST(!world.admission.mayTake(world.once, at(stopAt)));
    BOOST_TEST(world.admission.mayTake(world.repeatable, at(endAt - 2.2)));
    BOOST_TEST(!world.admission.mayTake(world.repeatable, at(endAt - 2)));
}

// Guards against figures of short requests alone while the long ones have yet to end.
BOOST_AUTO_TEST_CASE(RequestsThatAreStillRunningCount)
{
    World world;
    world.answer(world.work, 0.1);
    auto const running = world.admission.requests().add(world.work, at(stopAt - 4), [] {});
    world.stop();
    BOOST_TEST(!world.admission.mayTake(world.once, at(stopAt)));
    BOOST_TEST(!world.admission.mayTake(world.repeatable, at(stopAt)));
}

BOOST_AUTO_TEST_CASE(BrokenOffRequestsCountOnlyIfTheyTookLong)
{
    World world;
    world.answer(world.work, 2);
    for (size_t count = 0; count < RunningRequests::keptDurations; ++count)
        world.admission.requests().add(world.work, at(stopAt - 0.01), [] {})->brokenOff(at(stopAt));
    world.stop();
    BOOST_TEST(!world.admission.mayTake(world.once, at(endAt - 2)));
    BOOST_TEST(world.admission.mayTake(world.once, at(endAt - 3)));
    world.admission.requests().add(world.work, at(stopAt - 5), [] {})->brokenOff(at(stopAt));
    BOOST_TEST(!world.admission.mayTake(world.once, at(endAt - 3)));
}

BOOST_AUTO_TEST_CASE(AStopBeginsOnce)
{
    World world;
    world.stop();
    BOOST_TEST(!world.admission.begin(at(stopAt + 1), StopTimes::make(Milliseconds(8000), Milliseconds(3000))));
    BOOST_TEST(!world.admission.isOver(at(endAt - 0.1)));
    BOOST_TEST(world.admission.isOver(at(endAt)));
}

// Guards against a daemon that takes requests for longer than it has.
BOOST_AUTO_TEST_CASE(TheTimesFitIntoEveryGrace)
{
    for (int grace = 1000; grace <= 60000; grace += 100) {
        auto const times = StopTimes::make(Milliseconds(grace), Milliseconds(3000));
        BOOST_TEST(times.accept.count() > 0);
        BOOST_TEST(times.accept.count() <= 3000);
        BOOST_TEST(times.accept.count() < times.end.count());
        BOOST_TEST(times.end.count() < times.limit.count());
        BOOST_TEST(times.limit.count() < grace);
    }
}

BOOST_AUTO_TEST_CASE(GivesUpEachOpenRequestOnce)
{
    RunningRequests requests;
    size_t givenUp = 0;
    auto const first = requests.add(WorkId(1), at(1), [&] { ++givenUp; });
    auto const second = requests.add(WorkId(2), at(2), [&] { ++givenUp; });
    requests.add(WorkId(2), at(3), [&] { ++givenUp; }).reset();
    requests.giveUpAll();
    BOOST_TEST(givenUp == 2);
}

// Guards against memory that grows with each configuration.
BOOST_AUTO_TEST_CASE(RoutesThatAreGoneAreForgotten)
{
    RunningRequests requests;
    auto const running = requests.add(WorkId(1), at(0), [] {});
    for (uint64_t id = 2; id <= RunningRequests::maxWorks + 1; ++id)
        requests.add(WorkId(id), at(0), [] {})->answered(at(1));
    BOOST_TEST(requests.durations(WorkId(1), at(5)).oldestRunning.count() == 5000000);
    BOOST_TEST(requests.knownWorks() <= RunningRequests::maxWorks);
}

BOOST_AUTO_TEST_SUITE_END()

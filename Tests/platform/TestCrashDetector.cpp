#include <boost/test/unit_test.hpp>
#include <stagepostd/CrashDetector.h>
#include <thread>

using namespace Stagepost;

namespace {

Fingerprint const request { 77 };
UpstreamId const upstream { 10 };

// Probes are answered by the test.
struct World {
    EventLoop loop;
    Metrics metrics;
    CrashSuspects suspects { VMId(1) };
    std::vector<PortProbe::Callback> probes;
    std::vector<Fingerprint> seen;
    std::vector<Fingerprint> seenParts;
    LinkState links { LinkState::Up };
    PromptPartSuspects partSuspects { VMId(1), {} };
    CrashDetector detector { loop, metrics, suspects, partSuspects,
        { [this](Endpoint const&, PortProbe::Callback callback) { probes.push_back(std::move(callback)); }, [this](Fingerprint fingerprint) { seen.push_back(fingerprint); }, [this](Fingerprint part) { seenParts.push_back(part); }, [this](Instant) { return links; } } };

    void breakOff(Fingerprint fingerprint, Microseconds inFlight = {}) { detector.requestBroken({ fingerprint, upstream, "book-1", { "127.0.0.1", 1 }, loop.now() - inFlight }); }
    void answerProbe(PortState state) { std::exchange(probes, {}).front()(state); }
};

}

BOOST_AUTO_TEST_SUITE(CrashDetectorTests)

BOOST_AUTO_TEST_CASE(ClosedPortRecordsACrashForAllBrokenRequests)
{
    World world;
    world.breakOff(request);
    world.breakOff(Fingerprint(78));
    // One probe for both requests.
    BOOST_TEST(world.probes.size() == 1u);
    world.answerProbe(PortState::Closed);
    BOOST_TEST(world.suspects.crashCount(request) == 1u);
    BOOST_TEST(world.suspects.crashCount(Fingerprint(78)) == 1u);
    BOOST_TEST(world.seen.size() == 2u);
}

// Whether crashes are separate depends on when the first copy of the request was sent, not on when a crash is confirmed.
BOOST_AUTO_TEST_CASE(ACrashIsRecordedWithTheTimesOfTheRequest)
{
    World world;
    auto const brokenAt = world.loop.now();
    world.breakOff(request, Milliseconds(10));
    world.breakOff(request, Milliseconds(300));
    world.loop.runFor(Milliseconds(30));
    world.answerProbe(PortState::Closed);
    auto const& crash = world.suspects.find(request)->crashes.front();
    BOOST_TEST((crash.observedAt - brokenAt < Milliseconds(30)));
    BOOST_TEST((crash.inFlight >= Milliseconds(290) && crash.inFlight <= Milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(OpenOrSilentPortRecordsNoCrash)
{
    for (auto const state : { PortState::Open, PortState::NoResponse }) {
        World world;
        world.breakOff(request);
        world.answerProbe(state);
        BOOST_TEST(!world.detector.hasSuspects());
    }
}

// The end of such an answer looks like a crash.
BOOST_AUTO_TEST_CASE(AnswerThatEndedWithItsConnectionClearsOnlyIfTheProcessLives)
{
    Fingerprint const part { 5 };
    auto const answered = [part](Instant sentAt) { return CrashDetector::BrokenRequest { request, upstream, "chat-1", { "127.0.0.1", 1 }, sentAt, { part } }; };
    {
        World world;
        world.partSuspects.recordCrash(part, UpstreamId(9), world.loop.now());
        world.detector.answerEndedWithConnection(answered(world.loop.now()));
        world.answerProbe(PortState::Open);
        BOOST_TEST(world.partSuspects.evidence().crashCount(part) == 1u);
        std::this_thread::sleep_for(Milliseconds(60));
        world.detector.tick();
        world.answerProbe(PortState::Open);
        BOOST_TEST(world.partSuspects.evidence().crashCount(part) == 0u);
    }
    World world;
    world.detector.answerEndedWithConnection(answered(world.loop.now()));
    world.answerProbe(PortState::Closed);
    BOOST_TEST(world.partSuspects.evidence().crashCount(part) == 1u);
    BOOST_TEST(world.seenParts.size() == 1u);
}

// A daemon that has lost its own links finds all ports closed.
BOOST_AUTO_TEST_CASE(ClosedPortRecordsNoCrashUntilTheLinksAreKnownToWork)
{
    World world;
    world.links = LinkState::Suspected;
    world.breakOff(request);
    world.answerProbe(PortState::Closed);
    world.detector.tick();
    BOOST_TEST(!world.detector.hasSuspects());
    BOOST_TEST(world.seen.empty());
    // A connection to another upstream shows that this one is gone.
    world.links = LinkState::Up;
    world.detector.tick();
    BOOST_TEST(world.suspects.crashCount(request) == 1u);
    BOOST_TEST(world.seen.size() == 1u);
}

BOOST_AUTO_TEST_CASE(ClosedPortRecordsNoCrashAfterTheLinksWereLost)
{
    World world;
    world.links = LinkState::Suspected;
    world.breakOff(request);
    world.answerProbe(PortState::Closed);
    world.links = LinkState::Lost;
    world.detector.tick();
    // The links are back, which proves nothing of the time before.
    world.links = LinkState::Up;
    world.detector.tick();
    BOOST_TEST(!world.detector.hasSuspects());
    BOOST_TEST(world.seen.empty());
}

// The port may be closed a moment later than the connections.
BOOST_AUTO_TEST_CASE(OpenPortIsProbedAgain)
{
    World world;
    world.breakOff(request);
    world.answerProbe(PortState::Open);
    world.detector.tick();
    BOOST_TEST(world.probes.empty());
    world.loop.runFor(Milliseconds(60));
    world.detector.tick();
    BOOST_REQUIRE(world.probes.size() == 1u);
    world.answerProbe(PortState::Closed);
    BOOST_TEST(world.suspects.crashCount(request) == 1u);
}

BOOST_AUTO_TEST_CASE(RestartRecordsACrash)
{
    World world;
    world.breakOff(request);
    world.answerProbe(PortState::Open);
    world.detector.upstreamRestarted(UpstreamId(11));
    BOOST_TEST(!world.detector.hasSuspects());
    world.detector.upstreamRestarted(upstream);
    BOOST_TEST(world.suspects.crashCount(request) == 1u);
}

BOOST_AUTO_TEST_CASE(AnswerClearsTheEvidenceAndIsShared)
{
    World world;
    world.breakOff(request);
    world.answerProbe(PortState::Closed);
    world.detector.requestAnswered(request);
    BOOST_TEST(world.suspects.crashCount(request) == 0u);
    BOOST_TEST(world.seen.size() == 2u);
    world.detector.requestAnswered(request);
    BOOST_TEST(world.seen.size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

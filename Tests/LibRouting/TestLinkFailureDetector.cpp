#include <LibRouting/LinkFailureDetector.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

namespace {

Instant const start { Seconds(1000) };

std::vector<UpstreamId> upstreams(size_t count)
{
    std::vector<UpstreamId> result;
    for (size_t number = 1; number <= count; ++number)
        result.emplace_back(number);
    return result;
}

struct Detector {
    LinkFailureDetector links;
    uint64_t number { 0 };

    void fail(uint64_t upstream, Instant now, size_t count = 12) { links.connectFailed(UpstreamId(upstream), count, now); }
    std::vector<UpstreamId> takeProbes(Instant now)
    {
        return links.takeProbes(
            upstreams(12), [this] { return number++; }, now);
    }
};

}

BOOST_AUTO_TEST_SUITE(LinkFailureDetectorTests)

BOOST_AUTO_TEST_CASE(FailuresAtSeveralUpstreamsMeanThatTheLinksAreLost)
{
    Detector detector;
    BOOST_TEST((detector.links.state(start) == LinkState::Up));
    for (uint64_t upstream = 1; upstream <= 3; ++upstream)
        detector.fail(upstream, start);
    BOOST_TEST((detector.links.state(start) == LinkState::Suspected));
    detector.fail(4, start);
    BOOST_TEST(detector.links.isLost());
    // However long no further connection fails.
    BOOST_TEST((detector.links.state(start + Seconds(60)) == LinkState::Lost));
}

BOOST_AUTO_TEST_CASE(OneUpstreamThatIsGoneIsNotALostLink)
{
    Detector detector;
    for (int time = 0; time < 100; ++time)
        detector.fail(1, start + Milliseconds(10 * time));
    BOOST_TEST(!detector.links.isLost());
}

BOOST_AUTO_TEST_CASE(AConnectionInBetweenClearsTheLinks)
{
    Detector detector;
    for (uint64_t upstream = 1; upstream <= 12; ++upstream) {
        detector.fail(upstream, start);
        if (upstream % 3 == 0)
            detector.links.connected(start);
    }
    BOOST_TEST(!detector.links.isLost());
    BOOST_TEST((detector.links.state(start) == LinkState::Up));
}

BOOST_AUTO_TEST_CASE(OldFailuresDoNotCount)
{
    Detector detector;
    for (uint64_t upstream = 1; upstream <= 12; ++upstream)
        detector.fail(upstream, start + Milliseconds(600 * upstream));
    BOOST_TEST(!detector.links.isLost());
}

BOOST_AUTO_TEST_CASE(AllOfFewUpstreamsAreEnough)
{
    Detector detector;
    detector.fail(1, start, 2);
    BOOST_TEST(!detector.links.isLost());
    detector.fail(2, start, 2);
    BOOST_TEST(detector.links.isLost());
}

BOOST_AUTO_TEST_CASE(NothingIsProbedWhileLinksAreUp)
{
    Detector detector;
    BOOST_TEST(detector.takeProbes(start).empty());
    detector.links.connected(start);
    BOOST_TEST(detector.takeProbes(start + Seconds(10)).empty());
}

BOOST_AUTO_TEST_CASE(OneRoundOfProbesDecidesAfterAFailure)
{
    Detector detector;
    detector.fail(1, start);
    auto const probes = detector.takeProbes(start);
    BOOST_TEST(probes.size() == 3u);
    BOOST_TEST((std::find(probes.begin(), probes.end(), UpstreamId(1)) == probes.end()));
    for (auto const id : probes)
        detector.fail(id.value(), start + Milliseconds(1));
    BOOST_TEST(detector.links.isLost());
}

// The probed upstreams may be those at which requests fail as well.
BOOST_AUTO_TEST_CASE(ARoundThatDecidesNothingIsFollowedAtOnce)
{
    Detector detector;
    detector.links.suspect(start);
    auto const probes = detector.takeProbes(start);
    for (auto const id : probes)
        detector.fail(id.value(), start);
    BOOST_TEST(!detector.links.isLost());
    BOOST_TEST(detector.takeProbes(start).empty());
    detector.links.probesFailed(start);
    auto const others = detector.takeProbes(start);
    BOOST_REQUIRE(!others.empty());
    detector.fail(others.front().value(), start);
    BOOST_TEST(detector.links.isLost());
}

BOOST_AUTO_TEST_CASE(ProbesOfAServiceThatIsGoneAreLimited)
{
    Detector detector;
    size_t probes = 0;
    for (int time = 0; time < 1000; ++time) {
        auto const now = start + Milliseconds(10 * time);
        detector.fail(1 + time % 3, now);
        auto const taken = detector.takeProbes(now);
        probes += taken.size();
        if (!taken.empty())
            detector.links.probeConnected(now);
    }
    // Ten seconds, a round each half a second.
    BOOST_TEST(probes <= 3u * 21);
    BOOST_TEST(!detector.links.isLost());
}

// Guards against a cut right after a probe that was answered: requests would be refused until the next probe.
BOOST_AUTO_TEST_CASE(AnUpstreamThatHasNotFailedBeforeEndsThePauseAfterAnAnsweredProbe)
{
    Detector detector;
    detector.fail(1, start);
    BOOST_TEST(!detector.takeProbes(start).empty());
    detector.links.probeConnected(start + Milliseconds(1));
    auto const later = start + Milliseconds(150);
    detector.fail(1, later);
    BOOST_TEST(detector.takeProbes(later).empty());
    detector.fail(2, later);
    BOOST_TEST(detector.takeProbes(later).size() == 3u);
}

BOOST_AUTO_TEST_CASE(LinksThatAreLostAgainAreProbedWithoutAPause)
{
    Detector detector;
    for (uint64_t upstream = 1; upstream <= 4; ++upstream)
        detector.fail(upstream, start);
    BOOST_TEST(!detector.takeProbes(start + Milliseconds(100)).empty());
    detector.links.probeConnected(start + Milliseconds(101));
    auto const lostAgain = start + Milliseconds(300);
    detector.fail(1, lostAgain);
    BOOST_TEST(detector.takeProbes(lostAgain).size() == 3u);
}

BOOST_AUTO_TEST_CASE(LostLinksAreProbedUntilAConnectionIsEstablished)
{
    Detector detector;
    for (uint64_t upstream = 1; upstream <= 4; ++upstream)
        detector.fail(upstream, start);
    size_t rounds = 0;
    for (int time = 0; time < 100; ++time)
        rounds += detector.takeProbes(start + Milliseconds(10 * time)).empty() ? 0 : 1;
    BOOST_TEST(rounds == 10u);
    auto const back = start + Seconds(1);
    detector.links.probeConnected(back);
    BOOST_TEST((detector.links.state(back) == LinkState::Up));
    BOOST_TEST(detector.links.wasLostSince(start));
    BOOST_TEST(!detector.links.wasLostSince(back + Milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(SilenceAloneOnlyCausesProbes)
{
    Detector detector;
    detector.links.suspect(start);
    BOOST_TEST((detector.links.state(start) == LinkState::Suspected));
    BOOST_TEST(detector.takeProbes(start).size() == 3u);
    BOOST_TEST((detector.links.state(start + Seconds(2)) == LinkState::Up));
}

BOOST_AUTO_TEST_SUITE_END()

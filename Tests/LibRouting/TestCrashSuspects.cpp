#include <LibRouting/Routing.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

namespace {

VMId const self { 1 };
VMId const other { 2 };
VMId const third { 3 };
Fingerprint const request { 77 };
Instant const start { Seconds(1000) };

CrashSuspect reportedBy(VMId observer, std::initializer_list<uint64_t> upstreams, Instant at = start)
{
    CrashSuspect suspect { request, {}, {} };
    for (auto const upstream : upstreams)
        suspect.crashes.push_back({ UpstreamId(upstream), observer, at });
    return suspect;
}

}

BOOST_AUTO_TEST_SUITE(CrashSuspectsTests)

BOOST_AUTO_TEST_CASE(ThreeOwnObservationsMakeARequestPoison)
{
    CrashSuspects suspects(self);
    BOOST_TEST(suspects.isEmpty());
    BOOST_TEST(suspects.recordCrash(request, UpstreamId(10), start));
    BOOST_TEST(!suspects.recordCrash(request, UpstreamId(10), start));
    BOOST_TEST(suspects.recordCrash(request, UpstreamId(11), start));
    BOOST_TEST(!suspects.isPoison(request));
    BOOST_TEST(suspects.recordCrash(request, UpstreamId(12), start));
    BOOST_TEST(suspects.isPoison(request));
    BOOST_TEST(!suspects.isPoison(Fingerprint(78)));
}

BOOST_AUTO_TEST_CASE(ReportsOfASingleOtherDaemonAreNotSufficient)
{
    CrashSuspects suspects(self);
    BOOST_TEST(suspects.merge(reportedBy(other, { 10, 11, 12, 13, 14 }), start));
    BOOST_TEST(suspects.crashCount(request) == 2u);
    BOOST_TEST(!suspects.isPoison(request));
    // A crash that two other daemons observed counts in full.
    BOOST_TEST(suspects.merge(reportedBy(third, { 10 }), start));
    BOOST_TEST(suspects.isPoison(request));
}

BOOST_AUTO_TEST_CASE(ReportsOfASingleOtherDaemonAndAnOwnObservationAreSufficient)
{
    CrashSuspects suspects(self);
    suspects.merge(reportedBy(other, { 10, 11, 12 }), start);
    suspects.recordCrash(request, UpstreamId(13), start);
    BOOST_TEST(suspects.isPoison(request));
}

BOOST_AUTO_TEST_CASE(AnAnswerClearsEarlierCrashes)
{
    CrashSuspects suspects(self);
    suspects.recordCrash(request, UpstreamId(10), start);
    suspects.recordCrash(request, UpstreamId(11), start);
    BOOST_TEST(suspects.recordSuccess(request, start + Seconds(1)));
    BOOST_TEST(!suspects.recordSuccess(request, start + Seconds(1)));
    BOOST_TEST(suspects.crashCount(request) == 0u);
    // Reports that arrive late describe crashes before the answer.
    BOOST_TEST(!suspects.merge(reportedBy(other, { 12, 13 }), start + Seconds(2)));
    BOOST_TEST(suspects.crashCount(request) == 0u);
    suspects.recordCrash(request, UpstreamId(14), start + Seconds(3));
    BOOST_TEST(suspects.crashCount(request) == 1u);
}

BOOST_AUTO_TEST_CASE(AnAnswerReportedByAnotherDaemonClearsCrashes)
{
    CrashSuspects suspects(self);
    for (uint64_t upstream = 10; upstream < 13; ++upstream)
        suspects.recordCrash(request, UpstreamId(upstream), start);
    BOOST_TEST(suspects.merge({ request, {}, start + Seconds(1) }, start + Seconds(1)));
    BOOST_TEST(!suspects.isPoison(request));
}

BOOST_AUTO_TEST_CASE(APoisonRequestIsForgottenAfterTenMinutes)
{
    CrashSuspects suspects(self);
    for (uint64_t upstream = 10; upstream < 13; ++upstream)
        suspects.recordCrash(request, UpstreamId(upstream), start);
    suspects.prune(start + Seconds(600));
    BOOST_TEST(suspects.isPoison(request));
    suspects.prune(start + Seconds(601));
    BOOST_TEST(!suspects.isPoison(request));
    BOOST_TEST(suspects.isEmpty());
}

// Guards against taking a sound request for proven, whose upstreams have crashed together.
BOOST_AUTO_TEST_CASE(CrashesOfUpstreamsThatHadTheRequestTogetherAreOneSeparateCrash)
{
    CrashSuspects suspects(self);
    suspects.recordCrash(request, UpstreamId(10), start, Milliseconds(90));
    suspects.recordCrash(request, UpstreamId(11), start + Milliseconds(60), Milliseconds(80));
    BOOST_TEST(!suspects.nextTrialAt(Fingerprint(78)));
    // Another daemon observes the same moment later, and another copy of the request.
    suspects.merge({ request, { { UpstreamId(12), other, start + Milliseconds(200), Milliseconds(150) }, { UpstreamId(12), third, start + Milliseconds(250), Milliseconds(300) } }, {} }, start + Seconds(1));
    BOOST_TEST(suspects.isPoison(request));
    BOOST_TEST(!suspects.isProven(request));
    BOOST_TEST(suspects.separateCrashCount(request) == 1u);
    BOOST_TEST((suspects.nextTrialAt(request) == start + Milliseconds(750)));
}

BOOST_AUTO_TEST_CASE(CrashesAfterARetryEachAreSeparate)
{
    CrashSuspects suspects(self);
    for (unsigned crash = 0; crash < 3; ++crash) {
        BOOST_TEST(!suspects.isProven(request));
        suspects.recordCrash(request, UpstreamId(10 + crash), start + crash * Milliseconds(31), Milliseconds(30));
    }
    BOOST_TEST(suspects.isProven(request));
    BOOST_TEST((suspects.nextTrialAt(request) == start + Milliseconds(62) + Seconds(30)));
}

// Upstreams that crash within milliseconds of each other get the same request by retries.
BOOST_AUTO_TEST_CASE(RetriesBetweenCrashesOfACommonCauseAreNotSeparate)
{
    CrashSuspects suspects(self);
    for (unsigned crash = 0; crash < 3; ++crash)
        suspects.recordCrash(request, UpstreamId(10 + crash), start + crash * Milliseconds(5), Milliseconds(4));
    BOOST_TEST(suspects.separateCrashCount(request) == 1u);
}

// Guards against trials without end: the crash of a trial must count, also where many daemons have seen the first ones.
BOOST_AUTO_TEST_CASE(TrialsThatCrashUpstreamsComeMoreRarelyAndThenNoMore)
{
    CrashSuspects suspects(self);
    for (uint64_t upstream = 10; upstream < 15; ++upstream) {
        for (uint64_t daemon = 1; daemon < 8; ++daemon)
            suspects.merge({ request, { { UpstreamId(upstream), VMId(daemon), start + Milliseconds(daemon), Milliseconds(100) } }, {} }, start + Seconds(1));
    }
    auto trialAt = start;
    size_t trials = 0;
    for (; suspects.nextTrialAt(request); ++trials) {
        trialAt = *suspects.nextTrialAt(request);
        suspects.recordCrash(request, UpstreamId(20 + trials), trialAt + Milliseconds(30), Milliseconds(30));
        BOOST_TEST(suspects.isPoison(request));
    }
    BOOST_TEST(trials == 4u);
    BOOST_TEST(suspects.isProven(request));
    // The first one comes within 3 s of the third crash, so that three are left.
    BOOST_TEST((trialAt - start > Seconds(300)));
    suspects.recordSuccess(request, trialAt + Seconds(1));
    BOOST_TEST(!suspects.isPoison(request));
}

// Two full records must become the same, or daemons would tell each other of them for ever.
BOOST_AUTO_TEST_CASE(FullRecordsDoNotChangeEachOtherForEver)
{
    CrashSuspects one(self);
    CrashSuspects two(other);
    for (uint64_t upstream = 10; upstream < 20; ++upstream) {
        one.recordCrash(request, UpstreamId(upstream), start + upstream * Milliseconds(100), Milliseconds(30));
        two.recordCrash(request, UpstreamId(100 - upstream), start + upstream * Milliseconds(100) + Milliseconds(50), Milliseconds(30));
    }
    auto const now = start + Seconds(10);
    size_t rounds = 0;
    while (rounds < 10 && (static_cast<unsigned>(one.merge(*two.find(request), now)) | static_cast<unsigned>(two.merge(*one.find(request), now))))
        ++rounds;
    BOOST_TEST(rounds < 4u);
}

// A caller must not be able to evict a poison request by sending thousands of others.
BOOST_AUTO_TEST_CASE(SuspectsWithTheFewestCrashesAreEvictedFirst)
{
    CrashSuspects suspects(self);
    for (uint64_t upstream = 10; upstream < 13; ++upstream)
        suspects.recordCrash(request, UpstreamId(upstream), start);
    for (uint64_t number = 100; number < 5100; ++number)
        suspects.recordCrash(Fingerprint(number), UpstreamId(20), start + Seconds(1));
    BOOST_TEST(suspects.isPoison(request));
    BOOST_TEST(suspects.suspects().size() == 1024u);
}

BOOST_AUTO_TEST_SUITE_END()

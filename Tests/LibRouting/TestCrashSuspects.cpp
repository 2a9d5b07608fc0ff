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

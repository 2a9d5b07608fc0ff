#include <LibRouting/Routing.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

namespace {

VMId const self { 1 };
VMId const other { 2 };
VMId const third { 3 };
RequestFingerprint const request { 77 };
Instant const start { Seconds(1000) };

CrashSuspect toldBy(VMId witness, std::initializer_list<uint64_t> upstreams, Instant at = start)
{
    CrashSuspect suspect { request, {}, {} };
    for (auto const upstream : upstreams)
        suspect.ends.push_back({ UpstreamId(upstream), witness, at });
    return suspect;
}

}

BOOST_AUTO_TEST_SUITE(CrashSuspectsTests)

BOOST_AUTO_TEST_CASE(ThreeEndsThatOneSawItselfMakeARequestGuilty)
{
    CrashSuspects suspects(self);
    BOOST_TEST(suspects.isEmpty());
    BOOST_TEST(suspects.ended(request, UpstreamId(10), start));
    BOOST_TEST(!suspects.ended(request, UpstreamId(10), start));
    BOOST_TEST(suspects.ended(request, UpstreamId(11), start));
    BOOST_TEST(!suspects.isGuilty(request));
    BOOST_TEST(suspects.ended(request, UpstreamId(12), start));
    BOOST_TEST(suspects.isGuilty(request));
    BOOST_TEST(!suspects.isGuilty(RequestFingerprint(78)));
}

BOOST_AUTO_TEST_CASE(TheWordOfOneOtherDaemonIsNotEnough)
{
    CrashSuspects suspects(self);
    BOOST_TEST(suspects.merge(toldBy(other, { 10, 11, 12, 13, 14 }), start));
    BOOST_TEST(suspects.endCount(request) == 2u);
    BOOST_TEST(!suspects.isGuilty(request));
    // The same end seen by another one as well is certain.
    BOOST_TEST(suspects.merge(toldBy(third, { 10 }), start));
    BOOST_TEST(suspects.isGuilty(request));
}

BOOST_AUTO_TEST_CASE(TheWordOfOneOtherDaemonAndAnEndOfOnesOwnAre)
{
    CrashSuspects suspects(self);
    suspects.merge(toldBy(other, { 10, 11, 12 }), start);
    suspects.ended(request, UpstreamId(13), start);
    BOOST_TEST(suspects.isGuilty(request));
}

BOOST_AUTO_TEST_CASE(ARequestThatWasAnsweredIsCleared)
{
    CrashSuspects suspects(self);
    suspects.ended(request, UpstreamId(10), start);
    suspects.ended(request, UpstreamId(11), start);
    BOOST_TEST(suspects.answered(request, start + Seconds(1)));
    BOOST_TEST(!suspects.answered(request, start + Seconds(1)));
    BOOST_TEST(suspects.endCount(request) == 0u);
    // What was told late is of before.
    BOOST_TEST(!suspects.merge(toldBy(other, { 12, 13 }), start + Seconds(2)));
    BOOST_TEST(suspects.endCount(request) == 0u);
    suspects.ended(request, UpstreamId(14), start + Seconds(3));
    BOOST_TEST(suspects.endCount(request) == 1u);
}

BOOST_AUTO_TEST_CASE(OthersAreBelievedThatARequestWasAnswered)
{
    CrashSuspects suspects(self);
    for (uint64_t upstream = 10; upstream < 13; ++upstream)
        suspects.ended(request, UpstreamId(upstream), start);
    BOOST_TEST(suspects.merge({ request, {}, start + Seconds(1) }, start + Seconds(1)));
    BOOST_TEST(!suspects.isGuilty(request));
}

BOOST_AUTO_TEST_CASE(AGuiltyRequestIsLetThroughAgainAfterTenMinutes)
{
    CrashSuspects suspects(self);
    for (uint64_t upstream = 10; upstream < 13; ++upstream)
        suspects.ended(request, UpstreamId(upstream), start);
    suspects.prune(start + Seconds(600));
    BOOST_TEST(suspects.isGuilty(request));
    suspects.prune(start + Seconds(601));
    BOOST_TEST(!suspects.isGuilty(request));
    BOOST_TEST(suspects.isEmpty());
}

// A caller that sends a thousand other requests must not push the guilty one out.
BOOST_AUTO_TEST_CASE(TheLeastSuspectedLeaveFirst)
{
    CrashSuspects suspects(self);
    for (uint64_t upstream = 10; upstream < 13; ++upstream)
        suspects.ended(request, UpstreamId(upstream), start);
    for (uint64_t number = 100; number < 5100; ++number)
        suspects.ended(RequestFingerprint(number), UpstreamId(20), start + Seconds(1));
    BOOST_TEST(suspects.isGuilty(request));
    BOOST_TEST(suspects.all().size() == 1024u);
}

BOOST_AUTO_TEST_SUITE_END()

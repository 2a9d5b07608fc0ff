#include <boost/test/unit_test.hpp>
#include <stagepostd/AnswerCheck.h>
#include <stagepostd/GatewayReply.h>

using namespace Stagepost;

namespace {

std::optional<ResponseRejection> check(unsigned status, AnswerContext context, bool isSigned = true)
{
    UpstreamResponseInfo answer;
    answer.isSigned = isSigned;
    return checkAnswer(answer, status, context);
}

}

BOOST_AUTO_TEST_SUITE(AnswerCheckTests)

// Guards against an upstream's answer that tells a caller "not run" without a proof.
BOOST_AUTO_TEST_CASE(AStatusThatPromisesNotRunReachesNoCallerWhoseRequestMayNotBeRepeated)
{
    for (unsigned status = 200; status < 600; ++status) {
        auto const rejection = check(status, { false, false });
        BOOST_TEST(rejection.has_value() == promisesNotRun(status));
        if (rejection)
            BOOST_TEST((rejection->verdict == Verdict::mayHaveRun));
    }
    for (auto const status : { 408u, 429u, 503u })
        BOOST_TEST(!check(status, { true, false }));
    BOOST_TEST(check(421, { true, false }).has_value());
    // Without a signature, the caller would take it for the daemon's own word.
    for (auto const status : { 408u, 421u, 429u, 503u })
        BOOST_TEST((check(status, { true, false }, false)->verdict == Verdict::mayHaveRun));
    BOOST_TEST(!check(500, { true, false }, false));
}

BOOST_AUTO_TEST_CASE(ASuccessNeedsTheSignature)
{
    BOOST_TEST(!check(200, { false, false }));
    BOOST_TEST((check(200, { true, false }, false)->reason == RefusalReason::UpstreamMixedAnswer));
}

BOOST_AUTO_TEST_CASE(OnlyAnswersWithStatus200GoOnWithAStream)
{
    BOOST_TEST(!check(200, { true, true }));
    for (auto const status : { 206u, 404u, 429u, 500u })
        BOOST_TEST((check(status, { true, true })->verdict == Verdict::mayHaveRun));
}

BOOST_AUTO_TEST_SUITE_END()

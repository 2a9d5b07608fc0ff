#include <stagepostd/AnswerCheck.h>

#include <stagepostd/GatewayReply.h>

namespace Stagepost {

namespace {

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusMisdirectedRequest = 421;
    constexpr unsigned firstRedirect = 300;

}

std::optional<ResponseRejection> checkAnswer(UpstreamResponseInfo const& answer, unsigned status, AnswerContext context)
{
    bool const isSuccess = status >= statusOk && status < firstRedirect;
    if (isSuccess && !answer.isSigned)
        return ResponseRejection { RefusalReason::UpstreamMixedAnswer, Verdict::mayHaveRun, "a success without the upstream's signature" };
    bool const isPassedOn = context.isRepeatable && answer.isSigned && status != statusMisdirectedRequest;
    if (promisesNotRun(status) && !isPassedOn)
        return ResponseRejection { RefusalReason::UpstreamBroken, Verdict::mayHaveRun, "the upstream's status promises what its answer does not prove" };
    if (context.hasStreamBegun && status != statusOk)
        return ResponseRejection { RefusalReason::UpstreamBroken, Verdict::mayHaveRun, "the stream could not be taken up" };
    return {};
}

}

#pragma once

#include <LibProxy/ForwardPlan.h>
#include <stagepostd/GatewayDialect.h>

namespace Stagepost {

// What decides on an answer of an upstream, besides its header.
struct AnswerContext {
    // Whether the request may be run more than once.
    bool isRepeatable { false };
    // Whether the caller has the header of the stream that the answer goes on with.
    bool hasStreamBegun { false };
};

// Why an answer that doesn't prove that the request has not run may not be passed on; empty if it may.
std::optional<ResponseRejection> checkAnswer(UpstreamResponseInfo const&, unsigned status, AnswerContext);

}

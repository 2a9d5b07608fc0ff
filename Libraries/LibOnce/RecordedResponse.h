#pragma once

#include <string>

namespace Stagepost {

// The response to a call that ran, kept to be replayed to retries. A response that was
// too large to keep has no body: retries learn only that the call has run.
struct RecordedResponse {
    unsigned status { 0 };
    std::string contentType;
    std::string body;
    bool isComplete { false };

    size_t bytes() const { return sizeof(RecordedResponse) + contentType.size() + body.size(); }
};

}

#pragma once

#include <LibBase/RefusalReason.h>
#include <LibProxy/ConnectionEnd.h>
#include <LibProxy/EventFormat.h>
#include <LibProxy/HttpMessage.h>
#include <cstdint>
#include <optional>

namespace Stagepost {

// The outcome of forwarding a request to one upstream.
struct ForwardResult {
    // Not run if nothing was sent, or if the response filter determined it.
    Verdict verdict { Verdict::mayHaveRun };
    // Empty if the client received the complete response.
    std::optional<RefusalReason> failure;
    std::string detail;
    // Whether the response header was written to the client. No other response can be
    // sent after that.
    bool responseStarted { false };
    // Whether another upstream may send the response, or what is missing of it: nothing was written to the client yet, or
    // numbered events of a stream.
    bool canBeContinued { true };
    unsigned status { 0 };
    // Body bytes written to the client, and the number of writes.
    uint64_t responseBytes { 0 };
    uint64_t responseWrites { 0 };
    // Time from the start of the request until the response header was read.
    Microseconds timeToResponseHeader { 0 };
    // The upstream's response, if the plan sets maxRecordedBytes.
    HttpResponse recordedResponse;
    // Whether the whole body fitted into maxRecordedBytes.
    bool isRecordingComplete { false };
    bool reusedConnection { false };
    ConnectionEnd connectionEnd { ConnectionEnd::None };
    // Whether the answer had neither a length nor chunks, so that the end of the connection ended it. A process
    // that crashes may end its connections in the same way.
    bool endedWithConnection { false };
    // Whether the forward was cancelled at the plan's deadline.
    bool deadlineReached { false };
    // Set if the event stream contained bytes that are no part of its events.
    std::optional<EventFault> eventFault;
    // How these bytes begin. Only for the log, since they may be meant for another client.
    std::string foreignBytes;
    // Whether the upstream sent bytes that are no part of an answer to this request. That says nothing against the
    // request, and nothing against the links, which have brought them.
    bool hasForeignBytes { false };

    // Whether nothing of the request was sent.
    bool isUnconnected() const { return failure && verdict.isNotRun() && failure != RefusalReason::OverCapacity; }
    // Whether it failed because the client has disconnected or does not read the response.
    bool isCallerLost() const { return failure == RefusalReason::CallerGone || failure == RefusalReason::SlowCaller; }
};

}

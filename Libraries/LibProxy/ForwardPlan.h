#pragma once

#include <LibBase/RefusalReason.h>
#include <LibBase/Time.h>
#include <LibProxy/Endpoint.h>
#include <LibProxy/EventFormat.h>
#include <LibProxy/EventProgress.h>
#include <LibProxy/HttpMessage.h>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace Stagepost {

// Why an upstream's response is not forwarded, and whether the request has run.
struct ResponseRejection {
    RefusalReason reason { RefusalReason::UpstreamRefused };
    Verdict verdict { Verdict::mayHaveRun };
    std::string detail;
};

// Examines a response header before any of the response is forwarded. Empty accepts it.
using ResponseFilter = std::function<std::optional<ResponseRejection>(unsigned status, HttpFields const&)>;

// Events which show that an upstream is reachable.
enum class UpstreamActivity : uint8_t {
    // A new connection was established.
    Connected,
    ResponseStarted,
    // The relay gate holds the response back, so that nothing is read.
    ResponseHeldBack,
    ResponseDataReceived,
    // The data completes the first event of this response that the client does not have. It is passed on after this.
    FirstEventReceived,
};

// What becomes of a response whose header was accepted and of which nothing was passed on yet.
enum class RelayDecision : uint8_t {
    Relay,
    // Ask again shortly.
    Wait,
    Reject,
};

// Decides by when the first response on the upstream's connection began. Since then, the other end of the connection
// is the same process.
using RelayGate = std::function<RelayDecision(Instant connectionAnsweredAt)>;

// How to forward one request to one upstream.
struct ForwardPlan {
    Endpoint upstream;
    // Without the connection-specific fields of the client's request. All fields are sent.
    HttpRequest request;
    // Fields of the response that are forwarded even if the upstream's Connection field names them.
    std::span<std::string_view const> endToEndFields {};
    // Fields of the response that are not forwarded.
    std::span<std::string_view const> removedResponseFields {};
    // Added to the upstream's response, where they replace fields of the same name.
    HttpFields extraResponseHeaders;
    Milliseconds connectTimeout { 1000 };
    // From the start of the request until the response header was read.
    Milliseconds responseHeaderTimeout { 60000 };
    // Between two reads of the response body, and for each write to the client.
    Milliseconds idleTimeout { 60000 };
    // Called each time that the upstream has sent nothing for responseHeaderTimeout or idleTimeout, while another one
    // could go on with the response. The forward goes on waiting until Exchange::stopForward() is called. Without this
    // hook it fails.
    std::function<void()> onSilence;
    // The upstream may close a reused connection at any time, and then it is unknown
    // whether the request has run. Set for requests that must not be repeated.
    bool requireNewConnection { false };
    // Connections that have been idle for longer are not reused for this request.
    Milliseconds maxConnectionIdleTime { 60000 };
    // The number of idle connections to keep to this upstream. Upstreams limit the
    // connections of all their clients together.
    size_t maxIdleConnections { 64 };
    // The size up to which the response body is recorded, to be sent again later;
    // 0 records nothing.
    size_t maxRecordedBytes { 0 };
    // Responses up to this size are buffered and forwarded once they are complete, so
    // that the request can be retried if the response breaks off. Streams with an
    // EventProgress are not buffered.
    size_t maxBufferedBytes { 0 };
    // The field that carries the request's id and is repeated in the response.
    std::string requestIdField { "X-Request-Id" };
    // If set, every response must repeat it. If empty, an id is generated, and only
    // responses on reused connections must repeat it.
    std::string requestId;
    // Whether to send the client's Host field instead of the upstream's address.
    bool preserveHost { false };
    // Without it every response is forwarded.
    ResponseFilter responseFilter;
    // Without it every accepted response is forwarded at once.
    RelayGate relayGate;
    // Set for an event stream that is forwarded event by event. All forwards that
    // continue the same response share it.
    std::shared_ptr<EventProgress> progress;
    EventFormat eventFormat {};
    // Whether an event stream that fails ends with an error event. Of such a stream only whole events are forwarded, unless it is
    // encoded.
    bool sendErrorEvent { true };
    // May be empty.
    std::function<void(UpstreamActivity)> onUpstreamActivity;
    // When to cancel the forward, regardless of its progress.
    std::optional<Instant> deadline;
};

}

#include <LibProxy/Detail/Forwarder.h>

#include <LibProxy/Detail/ForwardedFields.h>
#include <LibProxy/Detail/InterimResponses.h>
#include <LibProxy/Detail/MessageFields.h>
#include <LibProxy/Detail/ResponseRules.h>
#include <LibProxy/Detail/UpstreamRequest.h>
#include <algorithm>

namespace Stagepost {

namespace {

    // Lists of upstreams are confirmed some tenths of a second apart.
    constexpr Milliseconds relayGateInterval { 5 };

}

void Forwarder::fail(RefusalReason reason, std::string const& detail)
{
    m_result.failure = m_exchange.isClientDisconnected() ? RefusalReason::CallerGone : reason;
    m_result.detail = detail;
}

void Forwarder::reportActivity(UpstreamActivity activity)
{
    if (m_plan.onUpstreamActivity)
        m_plan.onUpstreamActivity(activity);
}

void Forwarder::failUpstreamRead(NetError failure)
{
    m_result.deadlineReached = m_watchdog->hasReachedDeadline();
    if (m_watchdog->hasExpired() || m_exchange.isForwardStopped())
        fail(RefusalReason::UpstreamSlow, "the upstream was silent for too long");
    else if (isFormatError(failure))
        failForeignBytes("foreign bytes in the answer: " + failure.message());
    else
        fail(RefusalReason::UpstreamBroken, failure.message());
}

void Forwarder::failForeignBytes(std::string const& detail)
{
    m_result.hasForeignBytes = true;
    fail(RefusalReason::UpstreamMixedAnswer, detail);
}

// The sound events before were passed on, and nothing after them can be relied on.
void Forwarder::failEventStream()
{
    m_result.eventFault = m_events->fault();
    m_result.foreignBytes = m_events->foreignBytes();
    failForeignBytes(m_events->describeFault());
}

// Returns whether to go on waiting for the upstream. While no other one could go on, giving this one up would cut the response.
bool Forwarder::handleSilence()
{
    if (m_isWritingToClient || !m_plan.onSilence)
        return false;
    if (canBeContinued())
        m_plan.onSilence();
    return true;
}

bool Forwarder::canBeContinued() const
{
    auto const& progress = m_plan.progress;
    return !m_isHeaderWritten || (progress && progress->isHeaderSent && progress->canBeContinued());
}

void Forwarder::handleTimeout()
{
    m_connection->close();
    if (m_isWritingToClient)
        m_client.stream.close();
}

Net::awaitable<ForwardResult> Forwarder::run()
{
    m_client.stream.expires_never();
    m_requestId = m_plan.requestId.empty() ? generateRequestId() : m_plan.requestId;
    m_isHeaderWritten = m_plan.progress && m_plan.progress->isHeaderSent;
    m_result.responseStarted = m_isHeaderWritten;
    m_isChunked = m_isHeaderWritten && m_client.supportsChunked;
    m_isEndedByClose = m_isHeaderWritten && !m_isChunked;
    co_await attempt();
    m_exchange.setUpstream(nullptr);
    m_watchdog.reset();
    if (m_result.failure && m_result.responseStarted)
        co_await writeErrorEvent();
    releaseConnection();
    m_result.canBeContinued = canBeContinued();
    co_return std::move(m_result);
}

// GCC 12 miscompiles conditions with several co_await expressions, so each has its own statement.
Net::awaitable<void> Forwarder::attempt()
{
    bool const isConnected = co_await connect();
    if (!isConnected)
        co_return;
    sendRequest();
    bool const hasHeader = co_await readHeader();
    if (!hasHeader)
        co_return;
    if (acceptResponse())
        co_await relayResponse();
    else
        co_await drainRejectedBody();
}

// A connection is reused only if the response repeated the request's id. Other upstreams
// may leave an extra response on the connection, which the next request would receive.
bool Forwarder::mayReuseConnection() const
{
    return m_connection->isAnswered && m_connection->isRequestWritten && m_parser->keep_alive() && !m_connection->buffer.size() && !m_connection->hasManyRejections() && repeatsRequestId();
}

void Forwarder::releaseConnection()
{
    if (!m_connection)
        return;
    bool const isWhole = !m_result.failure || m_result.verdict.isNotRun();
    m_connection->isAnswered = isWhole && m_parser->is_done();
    if (m_result.verdict.isNotRun())
        m_connection->recordRejection(m_requestId);
    if (mayReuseConnection()) {
        m_connections.release(m_plan.upstream, std::move(m_connection), m_plan.maxIdleConnections);
        return;
    }
    // The upstream may still read the rest of a request that it has answered.
    if (!m_connection->isAnswered || m_connection->isRequestWritten)
        m_connection->close();
    m_result.connectionEnd = m_connection->end;
}

Net::awaitable<bool> Forwarder::connect()
{
    if (!m_plan.requireNewConnection)
        m_connection = m_connections.acquire(m_plan.upstream, m_plan.maxConnectionIdleTime, m_requestId);
    m_result.reusedConnection = m_connection != nullptr;
    if (!m_connection)
        m_connection = m_connections.create(m_context);
    m_exchange.setUpstream(m_connection.get());
    m_watchdog.emplace(m_context, m_plan.connectTimeout, m_plan.deadline, [this] { handleTimeout(); });
    if (m_result.reusedConnection)
        co_return true;
    auto [failure] = co_await m_connection->stream.async_connect(toNativeEndpoint<Tcp>(m_plan.upstream), useTuple);
    if (failure || m_exchange.isClientDisconnected() || m_watchdog->hasExpired()) {
        m_result.deadlineReached = m_watchdog->hasReachedDeadline();
        m_result.verdict = NotRunProof::notConnected();
        fail(RefusalReason::UpstreamRefused, m_plan.upstream.toString() + ": " + failure.message());
        co_return false;
    }
    reportActivity(UpstreamActivity::Connected);
    m_connection->setOptions();
    co_return true;
}

void Forwarder::sendRequest()
{
    m_watchdog->restart(m_plan.responseHeaderTimeout);
    m_watchdog->setExtendCallback([this] { return handleSilence(); });
    startWritingRequest(m_connection, m_plan, m_requestId);
}

Net::awaitable<bool> Forwarder::readHeader()
{
    auto const started = IdleWatchdog::Clock::now();
    InterimResponses interim;
    size_t headerSize = 0;
    do {
        m_parser.emplace();
        m_parser->body_limit(boost::none);
        if (m_client.isHeadRequest)
            m_parser->skip(true);
        auto [failure, read] = co_await Http::async_read_header(m_connection->stream, m_connection->buffer, *m_parser, useTuple);
        if (failure) {
            failUpstreamRead(failure);
            co_return false;
        }
        headerSize = read;
    } while (interim.shouldSkip(m_parser->get().result_int(), headerSize));
    if (!m_connection->answeredAt)
        m_connection->answeredAt = MonotonicClock::now();
    reportActivity(UpstreamActivity::ResponseStarted);
    m_result.timeToResponseHeader = std::chrono::duration_cast<Microseconds>(IdleWatchdog::Clock::now() - started);
    co_return true;
}

// Returns whether the response is forwarded to the client.
bool Forwarder::acceptResponse()
{
    auto const& header = m_parser->get();
    if (!isStatusCode(header.result_int())) {
        failForeignBytes("the answer has a status that HTTP has not");
        return false;
    }
    if (InterimResponses::isInterim(header.result_int())) {
        fail(RefusalReason::UpstreamBroken, "interim answers, but no final one");
        return false;
    }
    bool const mustMatch = m_result.reusedConnection || !m_plan.requestId.empty();
    if (mustMatch && !repeatsRequestId()) {
        failForeignBytes("the answer does not repeat this request's id");
        return false;
    }
    m_result.status = header.result_int();
    m_isEventStream = isEventStream(header[Http::field::content_type]) && (isSuccess(m_result.status) || !m_plan.progress);
    if (auto const keepAlive = parseKeepAliveTimeout(header["Keep-Alive"]))
        m_connection->keepAlive = *keepAlive;
    if (auto const rejection = m_plan.responseFilter ? m_plan.responseFilter(m_result.status, toHttpFields(m_parser->get())) : std::nullopt) {
        m_result.verdict = rejection->verdict;
        fail(rejection->reason, rejection->detail);
        return false;
    }
    bool const hasBody = !m_client.isHeadRequest && mayHaveBody(m_result.status);
    if (m_plan.progress && isSuccess(m_result.status) && hasBody && !m_isEventStream) {
        m_result.eventFault = EventFault::OtherType;
        failForeignBytes("the answer is no event stream");
        return false;
    }
    if (m_plan.progress && m_isEventStream && isBodyEncoded(m_parser->get())) {
        failForeignBytes("the event stream is encoded");
        return false;
    }
    return true;
}

// Heads that are joined from several answers may have several ids.
bool Forwarder::repeatsRequestId() const
{
    auto const& header = m_parser->get();
    return header.count(m_plan.requestIdField) == 1 && header[m_plan.requestIdField] == m_requestId;
}

Net::awaitable<void> Forwarder::drainRejectedBody()
{
    bool const isShort = m_parser->content_length().value_or(maxDrainedBodySize + 1) <= maxDrainedBodySize;
    if (!m_result.verdict.isNotRun() || !isShort)
        co_return;
    std::string_view ignored;
    bool canContinue = true;
    auto const failure = m_result.failure;
    while (canContinue && !m_parser->is_done())
        canContinue = co_await readBodyChunk(ignored);
    m_result.failure = failure;
}

std::optional<uint64_t> Forwarder::upstreamContentLength() const
{
    auto const length = m_parser->content_length();
    return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

// Returns whether the response may be forwarded. Until that is decided, nothing more is read from the upstream, so the
// upstream isn't silent.
Net::awaitable<bool> Forwarder::passRelayGate()
{
    ClockTimer timer(m_context);
    while (m_plan.relayGate) {
        auto const decision = m_plan.relayGate(*m_connection->answeredAt);
        if (decision == RelayDecision::Relay)
            break;
        if (decision == RelayDecision::Reject) {
            fail(RefusalReason::UpstreamMixedAnswer, "the upstream's process may have been replaced by one of another version");
            co_return false;
        }
        m_watchdog->recordActivity();
        reportActivity(UpstreamActivity::ResponseHeldBack);
        timer.expires_after(relayGateInterval);
        co_await timer.async_wait(useTuple);
        if (m_watchdog->hasExpired() || m_exchange.isClientDisconnected() || m_exchange.isForwardStopped()) {
            failUpstreamRead(Net::error::operation_aborted);
            co_return false;
        }
    }
    co_return true;
}

// Only whole events may come before an error event, so that it is not read as a part of one.
void Forwarder::startReadingEvents()
{
    if (!m_isEventStream || isBodyEncoded(m_parser->get()))
        return;
    if (m_plan.progress)
        m_events.emplace(*m_plan.progress, m_plan.eventFormat);
    else if (m_plan.sendErrorEvent)
        m_events.emplace(m_ownProgress, EventFormat {});
}

Net::awaitable<void> Forwarder::relayResponse()
{
    bool const mayRelay = co_await passRelayGate();
    if (!mayRelay)
        co_return;
    if (m_plan.maxRecordedBytes)
        m_held.recordHeader(m_result.status, toHttpFields(m_parser->get()));
    startReadingEvents();
    m_watchdog->restart(m_plan.idleTimeout);
    bool canContinue = true;
    if (!m_plan.maxBufferedBytes && (!m_events || !m_plan.progress)) {
        auto const length = upstreamContentLength();
        canContinue = co_await writeHeader(length);
    }
    uint64_t receivedBytes = 0;
    while (canContinue && !m_parser->is_done()) {
        std::string_view bytes;
        canContinue = co_await readBodyChunk(bytes);
        receivedBytes += bytes.size();
        if (canContinue && !bytes.empty())
            canContinue = co_await forwardBodyChunk(bytes);
    }
    if (!canContinue)
        co_return;
    m_result.endedWithConnection = m_parser->need_eof();
    if (m_events && !m_events->describeEarlyEnd().empty()) {
        fail(RefusalReason::UpstreamBroken, std::string(m_events->describeEarlyEnd()));
        co_return;
    }
    bool const hasEvents = m_events ? m_events->hasEvents() : receivedBytes > 0;
    if (m_isEventStream && m_result.endedWithConnection && !hasEvents) {
        fail(RefusalReason::UpstreamBroken, "the stream ended before its first event");
        co_return;
    }
    if (m_events) {
        auto heldEvents = m_events->finish();
        canContinue = co_await forwardEvents(std::move(heldEvents));
    }
    if (!canContinue)
        co_return;
    m_result.isRecordingComplete = m_held.isRecordingComplete();
    m_result.verdict = Verdict::ran;
    co_await finishResponse();
}

Net::awaitable<bool> Forwarder::readBodyChunk(std::string_view& bytes)
{
    auto& body = m_parser->get().body();
    body.data = m_bodyChunk.data();
    body.size = m_bodyChunk.size();
    body.more = true;
    auto [failure, read] = co_await Http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, useTuple);
    m_watchdog->recordActivity();
    if (failure && failure != Http::error::need_buffer) {
        failUpstreamRead(failure);
        co_return false;
    }
    reportActivity(UpstreamActivity::ResponseDataReceived);
    bytes = { m_bodyChunk.data(), m_bodyChunk.size() - body.size };
    co_return true;
}

Net::awaitable<bool> Forwarder::forwardBodyChunk(std::string_view bytes)
{
    m_held.record(bytes);
    if (!m_events && !m_isHeaderWritten && m_held.tryBuffer(bytes))
        co_return true;
    if (!m_events)
        co_return co_await writeBody(bytes);
    auto events = m_events->append(bytes);
    bool canContinue = co_await forwardEvents(std::move(events));
    if (canContinue && m_events->fault()) {
        failEventStream();
        co_return false;
    }
    if (canContinue && !m_held.tryHoldIncompleteEvent(m_events->heldBytes())) {
        fail(RefusalReason::ClientMemoryFull, "no memory for an event of " + std::to_string(m_events->heldBytes()) + " bytes");
        co_return false;
    }
    co_return canContinue;
}

Net::awaitable<bool> Forwarder::forwardEvents(std::string events)
{
    m_held.holdWholeEvents(events.size());
    if (events.empty())
        co_return true;
    if (!std::exchange(m_hasNewEvents, true))
        reportActivity(UpstreamActivity::FirstEventReceived);
    co_return co_await writeBody(events);
}

// Writes a part of the body, and before it what has to come first.
Net::awaitable<bool> Forwarder::writeBody(std::string_view bytes)
{
    if (!m_isHeaderWritten) {
        auto const length = m_plan.progress && m_events ? std::nullopt : upstreamContentLength();
        bool const canContinue = co_await writeHeader(length);
        if (!canContinue)
            co_return false;
    }
    if (!m_held.buffered().empty()) {
        bool const canContinue = co_await writeBodyChunk(m_held.buffered());
        m_held.clearBuffered();
        if (!canContinue)
            co_return false;
    }
    co_return co_await writeBodyChunk(bytes);
}

// Returns whether the write to the client succeeded.
bool Forwarder::finishWrite(NetError failure)
{
    m_isWritingToClient = false;
    m_watchdog->recordActivity();
    if (!failure)
        return true;
    fail(RefusalReason::SlowCaller, failure.message());
    return false;
}

// A body without a length is chunked, or delimited by closing the connection if the client
// does not support chunked encoding.
Net::awaitable<bool> Forwarder::writeHeader(std::optional<uint64_t> length)
{
    auto const headers = forwardedFields(toHttpFields(m_parser->get()), m_plan);
    Http::response<Http::empty_body> response;
    response.version(11);
    response.result(m_result.status);
    for (auto const& field : headers)
        response.insert(field.name, field.value);
    bool const hasBody = !m_client.isHeadRequest && mayHaveBody(m_result.status);
    m_isChunked = hasBody && !length && m_client.supportsChunked;
    m_isClientKeptAlive = m_client.keepAlive() && (!hasBody || length || m_isChunked);
    if (hasBody && !length && !m_isChunked)
        endByClose();
    response.keep_alive(m_isClientKeptAlive);
    m_isLengthAnnounced = length.has_value();
    if (length)
        response.content_length(*length);
    if (m_isChunked)
        response.chunked(true);
    Http::response_serializer<Http::empty_body> serializer(response);
    m_isHeaderWritten = true;
    m_result.responseStarted = true;
    if (m_events && m_plan.progress) {
        m_plan.progress->isHeaderSent = true;
        m_plan.progress->isClientKeptAlive = m_isClientKeptAlive;
    }
    m_isWritingToClient = true;
    auto [failure, written] = co_await Http::async_write_header(m_client.stream, serializer, useTuple);
    co_return finishWrite(failure);
}

// Only a reset tells the client that such a response was cut.
void Forwarder::endByClose()
{
    m_isEndedByClose = true;
    resetWhenClosed(m_client.stream);
}

Net::awaitable<bool> Forwarder::writeBodyChunk(std::string_view bytes)
{
    auto const buffer = Net::buffer(bytes.data(), bytes.size());
    m_client.sendBuffer.fit(m_client.stream.socket(), upstreamContentLength().value_or(2 * m_result.responseBytes));
    m_isWritingToClient = true;
    NetError failure;
    if (m_isChunked)
        std::tie(failure, std::ignore) = co_await Net::async_write(m_client.stream, Http::make_chunk(buffer), useTuple);
    else
        std::tie(failure, std::ignore) = co_await Net::async_write(m_client.stream, buffer, useTuple);
    m_result.responseBytes += bytes.size();
    ++m_result.responseWrites;
    co_return finishWrite(failure);
}

Net::awaitable<bool> Forwarder::finishResponse()
{
    // The forward that began a continued stream has written its header.
    if (m_plan.progress && m_plan.progress->isHeaderSent && m_isChunked)
        m_isClientKeptAlive = m_plan.progress->isClientKeptAlive;
    if (!m_isHeaderWritten) {
        std::optional<uint64_t> length;
        if (!m_events)
            length = m_client.isHeadRequest ? upstreamContentLength() : std::optional<uint64_t>(m_held.buffered().size());
        bool canContinue = co_await writeHeader(length);
        if (canContinue && !m_held.buffered().empty())
            canContinue = co_await writeBodyChunk(m_held.buffered());
        if (!canContinue)
            co_return false;
    }
    if (m_isEndedByClose)
        endNormallyWhenClosed(m_client.stream);
    if (!m_isChunked)
        co_return true;
    m_isWritingToClient = true;
    auto [failure, written] = co_await Net::async_write(m_client.stream, Http::make_chunk_last(), useTuple);
    co_return finishWrite(failure);
}

// A failed event stream ends with an error event. Clients of other responses detect the
// failure by the missing last chunk, or by the missing bytes of the announced length, which
// an error event would fill up.
Net::awaitable<void> Forwarder::writeErrorEvent()
{
    m_isClientKeptAlive = false;
    if (!m_events || m_isLengthAnnounced || !m_plan.sendErrorEvent || m_exchange.isClientDisconnected() || m_result.failure == RefusalReason::SlowCaller)
        co_return;
    auto const reason = std::string(nameOf(m_result.failure.value_or(RefusalReason::UpstreamBroken)));
    auto const event = "event: error\ndata: {\"error\":{\"reason\":\"" + reason + "\",\"verdict\":\"" + std::string(nameOf(m_result.verdict)) + "\"}}\n\n";
    auto const buffer = Net::buffer(event.data(), event.size());
    if (m_isChunked)
        co_await Net::async_write(m_client.stream, Http::make_chunk(buffer), useTuple);
    else
        co_await Net::async_write(m_client.stream, buffer, useTuple);
}

}

#include <LibProxy/Detail/Forwarder.h>

#include <LibProxy/Detail/UpstreamRequest.h>

namespace Stagepost {

namespace {

    bool mayHaveBody(unsigned status)
    {
        return status != 204 && status != 304;
    }

}

void Forwarder::fail(RefusalReason reason, std::string const& detail)
{
    m_result.failure = m_exchange.isCallerGone() ? RefusalReason::CallerGone : reason;
    m_result.detail = detail;
}

void Forwarder::noteSign(UpstreamSign sign)
{
    if (m_plan.heard)
        m_plan.heard(sign);
}

void Forwarder::failRead(NetError failure)
{
    m_result.reachedLimit = m_watchdog->hasReachedEnd();
    if (m_watchdog->hasExpired())
        fail(RefusalReason::UpstreamSlow, "the upstream was silent for too long");
    else
        fail(RefusalReason::UpstreamBroken, failure.message());
}

void Forwarder::expired()
{
    m_connection->stream.close();
    if (m_isCallersTurn)
        m_caller.stream.close();
}

Net::awaitable<ForwardResult> Forwarder::run()
{
    m_parser.body_limit(boost::none);
    if (m_caller.isHead)
        m_parser.skip(true);
    m_caller.stream.expires_never();
    m_requestId = m_plan.id.empty() ? makeRequestId() : m_plan.id;
    m_isHeadWritten = m_plan.progress && m_plan.progress->isHeadSent;
    m_result.answerStarted = m_isHeadWritten;
    m_isChunked = m_isHeadWritten && m_caller.canChunk;
    co_await attempt();
    m_exchange.setUpstream(nullptr);
    m_watchdog.reset();
    if (m_result.failure && m_result.answerStarted)
        co_await endWithErrorEvent();
    giveConnectionBack();
    co_return std::move(m_result);
}

// One await a statement: GCC 12 does not compile several in one condition right.
Net::awaitable<void> Forwarder::attempt()
{
    bool const isConnected = co_await connect();
    if (!isConnected)
        co_return;
    send();
    bool const hasHead = co_await readHead();
    if (!hasHead)
        co_return;
    if (checkHead())
        co_await relay();
    else
        co_await skipRejectedBody();
}

// Only an upstream that names the request in its answer can be trusted not to
// leave a surplus answer behind for whoever uses the connection next.
void Forwarder::giveConnectionBack()
{
    if (!m_connection || !m_connection->isWritten || !m_parser.is_done() || !m_parser.keep_alive() || m_connection->buffer.size())
        return;
    bool const isWhole = !m_result.failure || m_result.verdict == Verdict::NotRun;
    if (isWhole && m_parser.get()[m_plan.idField] == m_requestId)
        m_connections.give(m_plan.upstream, std::move(m_connection), m_plan.mostIdleConnections);
}

Net::awaitable<bool> Forwarder::connect()
{
    if (!m_plan.freshConnection)
        m_connection = m_connections.take(m_plan.upstream, m_plan.longestRest);
    m_result.reusedConnection = m_connection != nullptr;
    if (!m_connection)
        m_connection = std::make_shared<UpstreamConnection>(m_context);
    m_exchange.setUpstream(&m_connection->stream);
    m_watchdog.emplace(m_context, m_plan.connectTimeout, m_plan.limit, [this] { expired(); });
    if (m_result.reusedConnection)
        co_return true;
    auto [failure] = co_await m_connection->stream.async_connect(nativeEndpoint<Tcp>(m_plan.upstream), useTuple);
    if (failure || m_exchange.isCallerGone() || m_watchdog->hasExpired()) {
        m_result.reachedLimit = m_watchdog->hasReachedEnd();
        fail(RefusalReason::UpstreamRefused, m_plan.upstream.toString() + ": " + failure.message());
        co_return false;
    }
    noteSign(UpstreamSign::Connected);
    m_connection->stream.socket().set_option(Tcp::no_delay(true), failure);
    co_return true;
}

void Forwarder::send()
{
    m_result.verdict = Verdict::MayHaveRun;
    m_watchdog->allow(m_plan.answerTimeout);
    m_watchdog->extendBy([this] { return !m_isCallersTurn && m_plan.waitsOn && m_plan.waitsOn(); });
    startRequest(m_connection, m_plan, m_requestId);
}

Net::awaitable<bool> Forwarder::readHead()
{
    auto const started = IdleWatchdog::Clock::now();
    auto [failure, read] = co_await Http::async_read_header(m_connection->stream, m_connection->buffer, m_parser, useTuple);
    if (failure) {
        failRead(failure);
        co_return false;
    }
    noteSign(UpstreamSign::AnswerBegan);
    m_result.firstByteAfter = std::chrono::duration_cast<Microseconds>(IdleWatchdog::Clock::now() - started);
    co_return true;
}

// Whether the answer goes to the caller.
bool Forwarder::checkHead()
{
    auto const& head = m_parser.get();
    bool const mustMatch = m_result.reusedConnection || !m_plan.id.empty();
    if (mustMatch && head[m_plan.idField] != m_requestId) {
        fail(RefusalReason::UpstreamMixedAnswer, "the answer does not repeat this request's id");
        return false;
    }
    if (head.result_int() < 200) {
        fail(RefusalReason::UpstreamBroken, "an interim answer that was not asked for");
        return false;
    }
    m_result.status = head.result_int();
    m_isEventStream = head[Http::field::content_type].starts_with("text/event-stream");
    if (auto const keepAlive = keepAliveOf(head["Keep-Alive"]))
        m_connection->keepAlive = *keepAlive;
    auto const rejection = m_plan.judge ? m_plan.judge(m_result.status, answerHeaders()) : std::nullopt;
    if (!rejection)
        return true;
    m_result.verdict = rejection->verdict;
    fail(rejection->reason, rejection->detail);
    return false;
}

Net::awaitable<void> Forwarder::skipRejectedBody()
{
    bool const isShort = m_parser.content_length().value_or(mostRejectedBody + 1) <= mostRejectedBody;
    if (m_result.verdict != Verdict::NotRun || !isShort)
        co_return;
    std::string_view ignored;
    bool isGoing = true;
    auto const failure = m_result.failure;
    while (isGoing && !m_parser.is_done())
        isGoing = co_await readPart(ignored);
    m_result.failure = failure;
}

std::optional<uint64_t> Forwarder::upstreamLength() const
{
    auto const length = m_parser.content_length();
    return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

HttpFields Forwarder::answerHeaders() const
{
    HttpFields headers;
    for (auto const& field : m_parser.get())
        headers.add(field.name_string(), field.value());
    return headers;
}

Net::awaitable<void> Forwarder::relay()
{
    if (m_plan.keepBytes) {
        m_result.kept.status = m_result.status;
        m_result.kept.headers = answerHeaders();
        m_result.kept.headers.removeHopByHop();
        m_result.kept.headers.remove("Content-Length");
    }
    if (m_plan.progress && m_isEventStream)
        m_splitter.emplace(*m_plan.progress);
    m_watchdog->allow(m_plan.idleTimeout);
    bool isGoing = true;
    if (!m_splitter && !m_plan.holdBytes) {
        auto const length = upstreamLength();
        isGoing = co_await writeHead(length);
    }
    while (isGoing && !m_parser.is_done()) {
        std::string_view bytes;
        isGoing = co_await readPart(bytes);
        if (isGoing && !bytes.empty())
            isGoing = co_await passOn(bytes);
    }
    if (!isGoing)
        co_return;
    if (m_splitter && m_splitter->isInsideEvent()) {
        fail(RefusalReason::UpstreamBroken, "the stream ended inside an event");
        co_return;
    }
    m_result.keptWhole = m_plan.keepBytes && m_result.kept.body.size() <= m_plan.keepBytes;
    m_result.verdict = Verdict::Ran;
    co_await finishAnswer();
}

Net::awaitable<bool> Forwarder::readPart(std::string_view& bytes)
{
    auto& body = m_parser.get().body();
    body.data = m_part.data();
    body.size = m_part.size();
    body.more = true;
    auto [failure, read] = co_await Http::async_read_some(m_connection->stream, m_connection->buffer, m_parser, useTuple);
    m_watchdog->touch();
    if (failure && failure != Http::error::need_buffer) {
        failRead(failure);
        co_return false;
    }
    noteSign(UpstreamSign::AnswerWentOn);
    bytes = { m_part.data(), m_part.size() - body.size };
    co_return true;
}

Net::awaitable<bool> Forwarder::passOn(std::string_view bytes)
{
    if (m_plan.keepBytes && m_result.kept.body.size() <= m_plan.keepBytes)
        m_result.kept.body += bytes;
    std::string events;
    if (m_splitter) {
        events = m_splitter->take(bytes);
        bytes = events;
    } else if (!m_isHeadWritten && m_held.size() + bytes.size() <= m_plan.holdBytes) {
        m_held += bytes;
        co_return true;
    }
    if (bytes.empty())
        co_return true;
    if (!m_isHeadWritten) {
        auto const length = m_splitter ? std::nullopt : upstreamLength();
        bool const isGoing = co_await writeHead(length);
        if (!isGoing)
            co_return false;
    }
    if (!m_held.empty()) {
        auto const held = std::exchange(m_held, {});
        bool const isGoing = co_await writePart(held);
        if (!isGoing)
            co_return false;
    }
    co_return co_await writePart(bytes);
}

bool Forwarder::writeFailed(NetError failure)
{
    m_isCallersTurn = false;
    m_watchdog->touch();
    if (!failure)
        return false;
    fail(RefusalReason::SlowCaller, failure.message());
    return true;
}

// Without a length the body goes in chunks, or ends with the connection for a
// caller that does not know chunks.
Net::awaitable<bool> Forwarder::writeHead(std::optional<uint64_t> length)
{
    auto headers = answerHeaders();
    headers.removeHopByHop();
    headers.remove("Content-Length");
    for (auto const& field : m_plan.answerHeaders)
        headers.set(field.name, field.value);
    Http::response<Http::empty_body> answer;
    answer.version(11);
    answer.result(m_result.status);
    for (auto const& field : headers)
        answer.insert(field.name, field.value);
    bool const hasBody = !m_caller.isHead && mayHaveBody(m_result.status);
    m_isChunked = hasBody && !length && m_caller.canChunk;
    m_callerKeptAlive = m_caller.keepAlive && (!hasBody || length || m_isChunked);
    answer.keep_alive(m_callerKeptAlive);
    if (length)
        answer.content_length(*length);
    if (m_isChunked)
        answer.chunked(true);
    Http::response_serializer<Http::empty_body> serializer(answer);
    m_isHeadWritten = true;
    m_result.answerStarted = true;
    if (m_plan.progress)
        m_plan.progress->isHeadSent = true;
    m_isCallersTurn = true;
    auto [failure, written] = co_await Http::async_write_header(m_caller.stream, serializer, useTuple);
    co_return !writeFailed(failure);
}

Net::awaitable<bool> Forwarder::writePart(std::string_view part)
{
    auto const buffer = Net::buffer(part.data(), part.size());
    m_isCallersTurn = true;
    NetError failure;
    if (m_isChunked)
        std::tie(failure, std::ignore) = co_await Net::async_write(m_caller.stream, Http::make_chunk(buffer), useTuple);
    else
        std::tie(failure, std::ignore) = co_await Net::async_write(m_caller.stream, buffer, useTuple);
    m_result.answerBytes += part.size();
    ++m_result.answerParts;
    co_return !writeFailed(failure);
}

Net::awaitable<bool> Forwarder::finishAnswer()
{
    // A continued stream was kept open by the forward that began it.
    if (m_plan.progress && m_plan.progress->isHeadSent && m_isChunked)
        m_callerKeptAlive = m_caller.keepAlive;
    if (!m_isHeadWritten) {
        std::optional<uint64_t> length;
        if (!m_splitter)
            length = m_caller.isHead ? upstreamLength() : std::optional<uint64_t>(m_held.size());
        bool isGoing = co_await writeHead(length);
        if (isGoing && !m_held.empty())
            isGoing = co_await writePart(m_held);
        if (!isGoing)
            co_return false;
    }
    if (!m_isChunked)
        co_return true;
    m_isCallersTurn = true;
    auto [failure, written] = co_await Net::async_write(m_caller.stream, Http::make_chunk_last(), useTuple);
    co_return !writeFailed(failure);
}

// An event stream that breaks says so in its last event; the missing last chunk
// says it to everybody else.
Net::awaitable<void> Forwarder::endWithErrorEvent()
{
    m_callerKeptAlive = false;
    if (!m_isEventStream || !m_plan.endsWithErrorEvent || m_exchange.isCallerGone() || m_result.failure == RefusalReason::SlowCaller)
        co_return;
    std::string event = "event: error\ndata: {\"error\":{\"reason\":\"";
    event += nameOf(m_result.failure.value_or(RefusalReason::UpstreamBroken));
    event += "\",\"verdict\":\"";
    event += nameOf(m_result.verdict);
    event += "\"}}\n\n";
    auto const buffer = Net::buffer(event.data(), event.size());
    if (m_isChunked)
        co_await Net::async_write(m_caller.stream, Http::make_chunk(buffer), useTuple);
    else
        co_await Net::async_write(m_caller.stream, buffer, useTuple);
}

}

#include <LibProxy/Detail/Session.h>

#include <LibProxy/Detail/Forwarder.h>
#include <array>
#include <sys/socket.h>

namespace Stagepost {

namespace {

    constexpr size_t initialReadSize = 4096; // bytes
    // Read from a client after its last response. A client that goes on sending doesn't read it.
    constexpr size_t maxDiscardedBytes = 256u << 10;

    HttpRequest toHttpRequest(Http::request<Http::string_body> const& message)
    {
        HttpRequest request;
        request.method = message.method_string();
        request.target = message.target();
        for (auto const& field : message)
            request.headers.add(field.name_string(), field.value());
        request.body = message.body();
        return request;
    }

    Refusal refusalForReadError(NetError failure)
    {
        if (failure == Http::error::body_limit)
            return { RefusalReason::BodyTooLarge, Verdict::NotRun, "the body is larger than this daemon takes", {} };
        if (failure == Http::error::header_limit || failure == Http::error::buffer_overflow)
            return { RefusalReason::HeadersTooLarge, Verdict::NotRun, "the header fields are larger than this daemon takes", {} };
        if (failure == Beast::error::timeout)
            return { RefusalReason::SlowCaller, Verdict::NotRun, "the request did not arrive in time", {} };
        if (failure == Http::error::partial_message)
            return { RefusalReason::BadRequest, Verdict::NotRun, "the request ended before it was complete", {} };
        return { RefusalReason::BadRequest, Verdict::NotRun, failure.message(), {} };
    }

}

Session::Session(std::shared_ptr<HttpServer::State> server, Tcp::socket socket)
    : m_server(std::move(server))
    , m_stream(std::move(socket))
{
}

Net::awaitable<void> Session::run()
{
    auto const self = shared_from_this();
    m_server->sessions.insert(this);
    while (co_await serveRequest()) {
        if (m_server->stopped)
            break;
    }
    co_await end();
    m_server->sessions.erase(this);
}

// Unless a cut response has to end with a reset, waits until the client has closed the connection as well.
// Closing it while bytes of the client are unread would reset it, and the client would lose the part of its
// answer that it has yet to read.
Net::awaitable<void> Session::end()
{
    if (m_isResponseCut) {
        m_stream.close();
        co_return;
    }
    m_isBusy = true;
    NetError failure;
    m_stream.socket().shutdown(Tcp::socket::shutdown_send, failure);
    m_stream.expires_after(m_server->options.requestTimeout);
    std::array<char, initialReadSize> discarded {};
    size_t total = 0;
    while (!failure && total < maxDiscardedBytes) {
        size_t size = 0;
        std::tie(failure, size) = co_await m_stream.async_read_some(Net::buffer(discarded), useTuple);
        total += size;
    }
}

void Session::closeIfIdle()
{
    if (!m_isBusy)
        m_stream.close();
}

void Session::close()
{
    m_stream.close();
}

Net::awaitable<bool> Session::serveRequest()
{
    RequestParser parser;
    bool const isRead = co_await readRequest(parser);
    if (!isRead) {
        m_isBusy = false;
        co_return false;
    }
    auto exchange = std::make_shared<SessionExchange>(m_server->context, toHttpRequest(parser.get()));
    ++m_server->openExchanges;
    m_exchange = exchange;
    watchForDisconnect(exchange);
    m_server->handler(exchange);
    bool const keepAlive = co_await sendResponse(parser, exchange);
    m_stopWatching.emit(Net::cancellation_type::terminal);
    --m_server->openExchanges;
    m_exchange.reset();
    m_isBusy = false;
    co_return keepAlive;
}

Net::awaitable<bool> Session::readRequest(RequestParser& parser)
{
    parser.header_limit(static_cast<uint32_t>(m_server->options.maxHeaderSize));
    parser.body_limit(m_server->options.maxBodySize);
    NetError failure;
    if (m_buffer.size() == 0) {
        m_stream.expires_after(m_server->options.keepAliveTimeout);
        auto [firstFailure, size] = co_await m_stream.async_read_some(m_buffer.prepare(initialReadSize), useTuple);
        if (firstFailure)
            co_return false;
        m_buffer.commit(size);
    }
    // Once the first byte of a request has arrived, the request must get a response.
    // closeIfIdle() would lose it between its reading and its handling.
    m_isBusy = true;
    m_stream.expires_after(m_server->options.requestTimeout);
    std::tie(failure, std::ignore) = co_await Http::async_read_header(m_stream, m_buffer, parser, useTuple);
    if (!failure && equalsIgnoringCase(parser.get()[Http::field::expect], "100-continue")) {
        constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
        std::tie(failure, std::ignore) = co_await Net::async_write(m_stream, Net::buffer(continueResponse), useTuple);
    }
    if (!failure)
        std::tie(failure, std::ignore) = co_await Http::async_read(m_stream, m_buffer, parser, useTuple);
    if (!failure)
        co_return true;
    if (failure != Http::error::end_of_stream)
        co_await rejectUnreadableRequest(failure);
    co_return false;
}

// A timeout has already closed the stream. The refusal hook is still called, which counts the rejection.
Net::awaitable<void> Session::rejectUnreadableRequest(NetError failure)
{
    auto response = m_server->refusalHook(refusalForReadError(failure));
    if (!m_stream.socket().is_open())
        co_return;
    m_stream.expires_after(m_server->options.requestTimeout);
    co_await writeResponse(std::move(response), 11, false, false);
}

Net::awaitable<bool> Session::sendResponse(RequestParser const& parser, std::shared_ptr<SessionExchange> exchange)
{
    auto const version = parser.get().version();
    bool const keepAlive = parser.keep_alive() && !m_server->closeAfterResponse;
    bool const isHead = parser.get().method() == Http::verb::head;
    while (true) {
        auto action = co_await exchange->nextAction();
        if (auto* response = std::get_if<HttpResponse>(&action))
            co_return co_await writeResponse(std::move(*response), version, keepAlive, isHead);
        auto* forward = std::get_if<SessionExchange::ForwardAction>(&action);
        if (!forward)
            co_return false;
        Forwarder forwarder(m_server->context, *m_server->upstreams, *exchange, { m_stream, version >= 11, keepAlive, isHead }, forward->plan);
        auto const result = co_await forwarder.run();
        m_isResponseCut = result.failure && forwarder.isResponseEndedByClose();
        forward->callback(result);
        if (result.responseStarted && (!result.failure || !result.canBeContinued))
            co_return forwarder.isClientKeptAlive() && !result.failure;
    }
}

Net::awaitable<bool> Session::writeResponse(HttpResponse response, unsigned version, bool keepAlive, bool isHead)
{
    Http::response<Http::string_body> message;
    message.version(version);
    message.result(response.status);
    for (auto const& field : response.headers)
        message.insert(field.name, field.value);
    message.keep_alive(keepAlive);
    message.content_length(response.body.size());
    if (!isHead)
        message.body() = std::move(response.body);
    m_stream.expires_after(m_server->options.requestTimeout);
    auto [failure, written] = co_await Http::async_write(m_stream, message, useTuple);
    co_return keepAlive && !failure;
}

// While a request is served its client sends nothing, except for pipelined requests.
// An end of file or an error means that the client has disconnected.
void Session::watchForDisconnect(std::shared_ptr<SessionExchange> const& exchange)
{
    auto onReadable = [self = shared_from_this(), weak = std::weak_ptr(exchange)](NetError failure) {
        auto const watched = weak.lock();
        if (failure || !watched)
            return;
        char byte = 0;
        auto const received = ::recv(self->m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (received == 0 || (received < 0 && errno != EAGAIN))
            watched->handleClientDisconnect();
    };
    m_stream.socket().async_wait(Tcp::socket::wait_read, Net::bind_cancellation_slot(m_stopWatching.slot(), std::move(onReadable)));
}

}

#include <LibProxy/Detail/Session.h>

#include <LibProxy/Detail/Forwarder.h>
#include <sys/socket.h>

namespace Stagepost {

namespace {

    constexpr size_t readAhead = 4096;

    HttpCall callOf(Http::request<Http::string_body> const& request)
    {
        HttpCall call;
        call.method = request.method_string();
        call.target = request.target();
        for (auto const& field : request)
            call.headers.add(field.name_string(), field.value());
        call.body = request.body();
        return call;
    }

    Refusal refusalOf(NetError failure)
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
    while (co_await serveOne()) {
        if (m_server->stopped)
            break;
    }
    m_server->sessions.erase(this);
    NetError ignored;
    m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
}

void Session::closeIfIdle()
{
    if (!m_busy)
        m_stream.close();
}

void Session::close()
{
    m_stream.close();
}

Net::awaitable<bool> Session::serveOne()
{
    RequestParser parser;
    bool const isRead = co_await readRequest(parser);
    if (!isRead) {
        m_busy = false;
        co_return false;
    }
    auto exchange = std::make_shared<SessionExchange>(m_server->context, callOf(parser.get()));
    ++m_server->openExchanges;
    watchCaller(exchange);
    m_server->handler(exchange);
    bool const keepAlive = co_await answer(parser, exchange);
    m_stopWatching.emit(Net::cancellation_type::terminal);
    --m_server->openExchanges;
    m_busy = false;
    co_return keepAlive;
}

Net::awaitable<bool> Session::readRequest(RequestParser& parser)
{
    parser.header_limit(static_cast<uint32_t>(m_server->options.largestHeaders));
    parser.body_limit(m_server->options.largestBody);
    NetError failure;
    if (m_buffer.size() == 0) {
        m_stream.expires_after(m_server->options.keepAliveTimeout);
        auto [firstFailure, size] = co_await m_stream.async_read_some(m_buffer.prepare(readAhead), useTuple);
        if (firstFailure)
            co_return false;
        m_buffer.commit(size);
    }
    // From its first byte on a request is owed an answer: closing the connection
    // between its reading and its handling would lose it.
    m_busy = true;
    m_stream.expires_after(m_server->options.requestTimeout);
    std::tie(failure, std::ignore) = co_await Http::async_read_header(m_stream, m_buffer, parser, useTuple);
    if (!failure && equalsIgnoringCase(parser.get()[Http::field::expect], "100-continue")) {
        constexpr std::string_view goOn = "HTTP/1.1 100 Continue\r\n\r\n";
        std::tie(failure, std::ignore) = co_await Net::async_write(m_stream, Net::buffer(goOn), useTuple);
    }
    if (!failure)
        std::tie(failure, std::ignore) = co_await Http::async_read(m_stream, m_buffer, parser, useTuple);
    if (!failure)
        co_return true;
    if (failure != Http::error::end_of_stream)
        co_await refuseUnreadable(failure);
    co_return false;
}

// A timeout has closed the stream already; the reply is then only counted.
Net::awaitable<void> Session::refuseUnreadable(NetError failure)
{
    auto reply = m_server->refusalReply(refusalOf(failure));
    if (!m_stream.socket().is_open())
        co_return;
    m_stream.expires_after(m_server->options.requestTimeout);
    co_await writeReply(std::move(reply), 11, false, false);
}

Net::awaitable<bool> Session::answer(RequestParser const& parser, std::shared_ptr<SessionExchange> exchange)
{
    auto const version = parser.get().version();
    bool const keepAlive = parser.keep_alive() && !m_server->closing;
    bool const isHead = parser.get().method() == Http::verb::head;
    while (true) {
        auto choice = co_await exchange->nextChoice();
        if (auto* reply = std::get_if<HttpReply>(&choice))
            co_return co_await writeReply(std::move(*reply), version, keepAlive, isHead);
        auto* forward = std::get_if<SessionExchange::ForwardChoice>(&choice);
        if (!forward)
            co_return false;
        Forwarder forwarder(m_server->context, m_server->upstreams, *exchange, { m_stream, version >= 11, keepAlive, isHead }, forward->plan);
        auto const result = co_await forwarder.run();
        forward->finished(result);
        bool const mayContinue = result.failure && forward->plan.progress;
        if (result.answerStarted && !mayContinue)
            co_return forwarder.callerKeptAlive() && !result.failure;
    }
}

Net::awaitable<bool> Session::writeReply(HttpReply reply, unsigned version, bool keepAlive, bool isHead)
{
    Http::response<Http::string_body> answer;
    answer.version(version);
    answer.result(reply.status);
    for (auto const& field : reply.headers)
        answer.insert(field.name, field.value);
    answer.keep_alive(keepAlive);
    answer.content_length(reply.body.size());
    if (!isHead)
        answer.body() = std::move(reply.body);
    m_stream.expires_after(m_server->options.requestTimeout);
    auto [failure, written] = co_await Http::async_write(m_stream, answer, useTuple);
    co_return keepAlive && !failure;
}

// While a request is being answered its caller sends nothing, unless it sends
// the next request early. The end of its stream means that it has gone.
void Session::watchCaller(std::shared_ptr<SessionExchange> const& exchange)
{
    auto onReadable = [self = shared_from_this(), weak = std::weak_ptr(exchange)](NetError failure) {
        auto const watched = weak.lock();
        if (failure || !watched)
            return;
        char byte = 0;
        auto const received = ::recv(self->m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (received == 0 || (received < 0 && errno != EAGAIN))
            watched->callerHasGone();
    };
    m_stream.socket().async_wait(Tcp::socket::wait_read, Net::bind_cancellation_slot(m_stopWatching.slot(), std::move(onReadable)));
}

}

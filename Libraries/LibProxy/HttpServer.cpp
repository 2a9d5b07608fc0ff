#include <LibProxy/HttpServer.h>

#include <LibProxy/Detail/Session.h>

namespace Stagepost {

namespace {

    // After a failed accept or at the connection limit. A process that has run out of file
    // descriptors needs time to free some.
    constexpr Milliseconds acceptRetryDelay { 50 };

}

HttpServer::HttpServer(EventLoop& loop, HttpServerOptions options, ExchangeHandler handler, RefusalHook refusalHook)
    : m_state(std::make_shared<State>(loop, options, std::move(handler), std::move(refusalHook)))
{
}

HttpServer::~HttpServer()
{
    stopListening();
    for (auto* session : m_state->sessions)
        session->close();
    m_state->upstreams->clear();
}

void HttpServer::shareUpstreamConnections(HttpServer const& other)
{
    m_state->upstreams = other.m_state->upstreams;
}

void HttpServer::dropIdleConnections(Endpoint const& upstream)
{
    m_state->upstreams->drop(upstream);
}

bool HttpServer::dropClosedConnections(Endpoint const& upstream)
{
    bool const hasClosed = m_state->upstreams->hasClosed(upstream);
    if (hasClosed)
        m_state->upstreams->drop(upstream);
    return hasClosed;
}

Result<Endpoint> HttpServer::listen(Endpoint const& endpoint)
{
    auto const nativeEndpoint = toNativeEndpoint<Tcp>(endpoint);
    auto& acceptor = m_state->acceptor;
    NetError failure;
    acceptor.open(nativeEndpoint.protocol(), failure);
    if (!failure)
        acceptor.set_option(Net::socket_base::reuse_address(true), failure);
    if (!failure)
        acceptor.bind(nativeEndpoint, failure);
    if (!failure)
        acceptor.listen(Net::socket_base::max_listen_connections, failure);
    if (failure) {
        NetError ignored;
        acceptor.close(ignored);
        return Error(ErrorCode::Unreachable, "cannot listen on " + endpoint.toString() + ": " + failure.message());
    }
    Net::co_spawn(m_state->context, m_state->acceptLoop(), Net::detached);
    return toEndpoint(acceptor.local_endpoint());
}

Net::awaitable<void> HttpServer::State::acceptLoop()
{
    auto const self = shared_from_this();
    ClockTimer retryTimer(context);
    while (acceptor.is_open()) {
        auto [failure, socket] = co_await acceptor.async_accept(useTuple);
        if (!acceptor.is_open())
            break;
        if (failure || sessions.size() >= options.maxConnections) {
            retryTimer.expires_after(acceptRetryDelay);
            co_await retryTimer.async_wait(useTuple);
            continue;
        }
        socket.set_option(Tcp::no_delay(true), failure);
        auto session = std::make_shared<Session>(self, std::move(socket));
        Net::co_spawn(
            context, [session]() { return session->run(); }, Net::detached);
    }
}

void HttpServer::setOptions(HttpServerOptions const& options)
{
    m_state->options = options;
}

void HttpServer::setCloseAfterResponse(bool closeAfterResponse)
{
    m_state->closeAfterResponse = closeAfterResponse || m_state->stopped;
}

void HttpServer::stopListening()
{
    NetError ignored;
    m_state->acceptor.close(ignored);
    m_state->stopped = true;
    m_state->closeAfterResponse = true;
    auto const sessions = m_state->sessions;
    for (auto* session : sessions)
        session->closeIfIdle();
}

void HttpServer::forEachOpenRequest(std::function<void(HttpRequest const&)> const& callback) const
{
    for (auto const* session : m_state->sessions) {
        if (auto const exchange = session->openExchange())
            callback(exchange->request());
    }
}

size_t HttpServer::openExchanges() const
{
    return m_state->openExchanges;
}

}

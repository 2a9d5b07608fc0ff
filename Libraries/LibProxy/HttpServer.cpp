#include <LibProxy/HttpServer.h>

#include <LibProxy/Detail/Session.h>

namespace Stagepost {

namespace {

    // After a failed accept. A process that has run out of file
    // descriptors needs time to free some.
    constexpr Milliseconds acceptRetryDelay { 50 };
    // The part of the clients' memory that connections may take which wait to be accepted.
    constexpr uint64_t waitingPartOfLimit = 8;
    constexpr uint64_t minWaitingConnections = 64;

}

void HttpServerOptions::apply(ClientLimits const& limits)
{
    maxConnections = std::min(maxConnections, limits.connections);
    socketBufferSize = limits.socketBufferSize();
    maxIdleUpstreamConnections = limits.idleUpstreamConnections;
}

HttpServer::HttpServer(EventLoop& loop, HttpServerOptions options, ExchangeHandler handler, RefusalHook refusalHook, std::shared_ptr<ClientMemory> memory, HeadHook headHook)
    : m_state(std::make_shared<State>(loop, options, std::move(handler), std::move(refusalHook), std::move(memory), std::move(headHook)))
{
    setOptions(options);
}

HttpServer::HttpServer(EventLoop& loop, HttpServerOptions options, ExchangeHandler handler, RefusalHook refusalHook)
    : HttpServer(loop, options, std::move(handler), std::move(refusalHook), std::make_shared<ClientMemory>(ClientLimits::forMachine(Machine::current()).memory))
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
    // Accepted connections inherit the sizes of the buffers.
    auto const bufferSize = static_cast<int>(m_state->options.socketBufferSize);
    if (!failure && bufferSize) {
        NetError ignored;
        acceptor.set_option(Net::socket_base::receive_buffer_size(bufferSize), ignored);
        acceptor.set_option(Net::socket_base::send_buffer_size(bufferSize), ignored);
    }
    if (!failure)
        acceptor.bind(nativeEndpoint, failure);
    if (!failure)
        acceptor.listen(m_state->maxWaitingConnections(), failure);
    if (failure) {
        NetError ignored;
        acceptor.close(ignored);
        return Error(ErrorCode::Unreachable, "cannot listen on " + endpoint.toString() + ": " + failure.message());
    }
    Net::co_spawn(m_state->context, m_state->acceptLoop(), Net::detached);
    return toEndpoint(acceptor.local_endpoint());
}

// The kernel receives data also for connections that nobody has accepted yet.
int HttpServer::State::maxWaitingConnections() const
{
    constexpr int max = Net::socket_base::max_listen_connections;
    if (!options.socketBufferSize)
        return max;
    auto const count = memory->limit() / waitingPartOfLimit / options.socketBufferSize;
    return static_cast<int>(std::clamp<uint64_t>(count, minWaitingConnections, max));
}

Net::awaitable<void> HttpServer::State::acceptLoop()
{
    auto const self = shared_from_this();
    ClockTimer retryTimer(context);
    while (acceptor.is_open()) {
        auto [failure, socket] = co_await acceptor.async_accept(useTuple);
        if (!acceptor.is_open())
            break;
        if (!failure) {
            serve(std::move(socket));
            continue;
        }
        memory->disconnectOne(this);
        retryTimer.expires_after(acceptRetryDelay);
        co_await retryTimer.async_wait(useTuple);
    }
}

// A connection for which there is no room is closed before anything of it was read.
void HttpServer::State::serve(Tcp::socket socket)
{
    if (sessions.size() >= options.maxConnections && !memory->disconnectOne(this)) {
        memory->countClosedConnection();
        return;
    }
    NetError ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    auto session = std::make_shared<Session>(shared_from_this(), std::move(socket));
    if (!session->reserveMemory()) {
        memory->countClosedConnection();
        return;
    }
    Net::co_spawn(
        context, [session]() { return session->run(); }, Net::detached);
}

void HttpServer::setOptions(HttpServerOptions const& options)
{
    m_state->options = options;
    m_state->upstreams->setLimits({ options.maxIdleUpstreamConnections, options.socketBufferSize });
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

size_t HttpServer::connectionCount() const
{
    return m_state->sessions.size();
}

size_t HttpServer::lateActions() const
{
    return m_state->lateActions;
}

size_t HttpServer::openExchanges() const
{
    return m_state->openExchanges;
}

}

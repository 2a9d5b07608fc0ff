#include <LibProxy/Detail/Session.h>

#include <LibProxy/Detail/Forwarder.h>
#include <LibProxy/Detail/MessageFields.h>
#include <LibProxy/Detail/RequestFraming.h>
#include <array>
#include <sys/socket.h>

namespace Stagepost {

namespace {

    constexpr size_t initialReadSize = 4096; // bytes
    // Read from a client after its last response. A client that goes on sending doesn't read it.
    constexpr size_t maxDiscardedBytes = 256u << 10;
    constexpr size_t discardedReadSize = 16u << 10; // bytes
    // The memory of an open connection besides its buffers.
    constexpr size_t sessionMemory = 8u << 10; // bytes
    // A head is copied for the handler and for the upstream. Its fields take more memory than their text.
    constexpr size_t copiesOfHead = 4;
    constexpr size_t memoryPerField = 80; // bytes
    // The kernel may hold that much for a client that doesn't read, also after its connection was closed.
    constexpr size_t maxSendBufferSize = 256u << 10; // bytes
    // When a client may return that was refused for lack of memory.
    constexpr Milliseconds memoryRetryDelay { 1000 };

    HttpRequest toHttpRequest(Http::request<Http::buffer_body> const& message)
    {
        HttpRequest request;
        request.method = message.method_string();
        request.target = message.target();
        request.headers = toHttpFields(message);
        return request;
    }

    size_t memoryOfHead(Http::request<Http::buffer_body> const& message)
    {
        size_t bytes = message.target().size();
        for (auto const& field : message)
            bytes += field.name_string().size() + field.value().size() + memoryPerField;
        return copiesOfHead * bytes;
    }

    Refusal refusalForReadError(NetError failure)
    {
        if (failure == Http::error::body_limit)
            return { RefusalReason::BodyTooLarge, NotRunProof::nothingSent(), "the body is larger than this daemon takes", {} };
        if (failure == Http::error::header_limit || failure == Http::error::buffer_overflow)
            return { RefusalReason::HeadersTooLarge, NotRunProof::nothingSent(), "the header fields are larger than this daemon takes", {} };
        if (failure == Beast::error::timeout)
            return { RefusalReason::SlowCaller, NotRunProof::nothingSent(), "the request did not arrive in time", {} };
        if (failure == Http::error::partial_message)
            return { RefusalReason::BadRequest, NotRunProof::nothingSent(), "the request ended before it was complete", {} };
        return { RefusalReason::BadRequest, NotRunProof::nothingSent(), failure.message(), {} };
    }

    // Reads that only lacked room for the body have not failed.
    NetError withoutNeedForRoom(NetError failure)
    {
        return failure == Http::error::need_buffer ? NetError() : failure;
    }

}

Session::Session(std::shared_ptr<HttpServer::State> server, Tcp::socket socket)
    : Client(server.get())
    , m_server(std::move(server))
    , m_stream(std::move(socket))
    , m_body(m_server->memory)
    , m_receiveBuffer(m_server->memory, SocketBuffer::Direction::Receive, { m_server->options.socketBufferSize })
    , m_sendBuffer(m_server->memory, SocketBuffer::Direction::Send, { m_server->options.socketBufferSize, maxSendBufferSize })
    , m_connectionCharge(m_server->memory)
    , m_responseCharge(m_server->memory)
    , m_maxDiscarded(maxDiscardedBytes)
{
}

Session::~Session()
{
    m_server->memory->remove(*this);
}

bool Session::reserveMemory()
{
    auto const use = std::min(m_server->options.requestUse, ClientMemory::Use::Connection);
    return m_connectionCharge.tryResize(connectionMemory() + initialReadSize, use, this);
}

Net::awaitable<void> Session::run()
{
    auto const self = shared_from_this();
    m_server->sessions.insert(this);
    // Once the server is stopped, only a client that was told before that the connection stays open may send one more request.
    while (co_await serveRequest()) { }
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
    m_phase = Phase::Ending;
    m_connectionCharge.resize(connectionMemory() + discardedReadSize);
    m_server->memory->setIdle(*this);
    NetError failure;
    m_stream.socket().shutdown(Tcp::socket::shutdown_send, failure);
    m_stream.expires_after(m_server->options.requestTimeout);
    std::array<char, discardedReadSize> discarded {};
    size_t total = 0;
    while (!failure && total < m_maxDiscarded) {
        size_t size = 0;
        std::tie(failure, size) = co_await m_stream.async_read_some(Net::buffer(discarded), useTuple);
        total += size;
    }
}

void Session::closeIfIdle()
{
    if (m_phase == Phase::Idle)
        m_stream.close();
}

void Session::close()
{
    m_stream.close();
}

// A pending read may still write to the body and the buffer. They are freed as soon as it has ended.
void Session::giveWay()
{
    if (m_phase == Phase::Idle && m_receiveBuffer.isEnlarged()) {
        m_receiveBuffer.fit(m_stream.socket(), 0);
        if (!m_receiveBuffer.isEnlarged()) {
            m_server->memory->setIdle(*this);
            return;
        }
    }
    if (m_phase != Phase::Reading) {
        m_connectionCharge.resize(0);
        m_stream.close();
        return;
    }
    m_hasGivenWay = true;
    m_body.uncharge();
    m_receiveBuffer.fit(m_stream.socket(), 0);
    m_connectionCharge.resize(connectionMemory());
    m_stream.cancel();
}

Net::awaitable<bool> Session::serveRequest()
{
    RequestParser parser;
    bool const isRead = co_await readRequest(parser);
    // The connection may have been closed for another one while the last bytes were on their way here.
    if (!isRead || !m_stream.socket().is_open())
        co_return false;
    m_phase = Phase::Serving;
    m_server->memory->remove(*this);
    auto request = toHttpRequest(parser.get());
    request.body = m_body.release();
    auto exchange = std::make_shared<SessionExchange>(m_server->context, std::move(request), ClientMemory::Charge(m_server->memory), [server = m_server] { ++server->lateActions; });
    ++m_server->openExchanges;
    m_exchange = exchange;
    watchForDisconnect(exchange);
    m_server->handler(exchange);
    bool const keepAlive = co_await sendResponse(parser, exchange);
    exchange->end();
    m_stopWatching.emit(Net::cancellation_type::terminal);
    --m_server->openExchanges;
    m_exchange.reset();
    m_responseCharge.resize(0);
    m_headMemory = 0;
    m_phase = Phase::Idle;
    co_return keepAlive;
}

// Waits for the first bytes of a request. Returns false if the client has closed the connection, or was idle for too long.
Net::awaitable<bool> Session::awaitRequest()
{
    if (m_buffer.size())
        co_return true;
    // The buffer may have grown with the last request.
    if (m_buffer.capacity() > initialReadSize)
        m_buffer = Beast::flat_buffer(maxUnparsedBytes);
    m_connectionCharge.resize(connectionMemory() + initialReadSize);
    m_sendBuffer.fit(m_stream.socket(), 0);
    m_server->memory->setIdle(*this);
    m_stream.expires_after(m_server->options.keepAliveTimeout);
    auto const [failure, size] = co_await m_stream.async_read_some(m_buffer.prepare(initialReadSize), useTuple);
    if (failure)
        co_return false;
    m_buffer.commit(size);
    co_return true;
}

Net::awaitable<bool> Session::readRequest(RequestParser& parser)
{
    bool const hasBegun = co_await awaitRequest();
    if (!hasBegun)
        co_return false;
    // The connection may have been idle while the options changed.
    auto const maxBodySize = m_server->options.maxBodySize;
    parser.header_limit(static_cast<uint32_t>(m_server->options.maxHeaderSize));
    parser.body_limit(maxBodySize);
    // Once the first byte of a request has arrived, the request must get a response.
    // closeIfIdle() would lose it between its reading and its handling.
    m_phase = Phase::Reading;
    m_isHeadChecked = false;
    m_server->memory->recordProgress(*this, false);
    m_stream.expires_after(m_server->options.requestTimeout);
    auto failure = co_await readHead(parser);
    if (!failure && !isRefused())
        failure = co_await continueAfterHead(parser);
    if (!failure && !isRefused())
        failure = co_await readBody(parser, maxBodySize);
    if (!failure && !isRefused())
        reserveForwardMemory();
    if (m_hasGivenWay)
        refuseForMemory();
    m_hasGivenWay = false;
    if (!failure && !m_earlyResponse)
        co_return true;
    m_server->memory->remove(*this);
    m_body.clear();
    m_receiveBuffer.fit(m_stream.socket(), 0);
    m_buffer = Beast::flat_buffer(maxUnparsedBytes);
    if (m_earlyResponse) {
        // The client may be within its limits, and learns the reason only if it can send the rest.
        m_maxDiscarded = std::max(maxDiscardedBytes, maxBodySize);
        m_stream.expires_after(m_server->options.requestTimeout);
        co_await writeResponse(std::move(*m_earlyResponse), 11, false, false);
    } else if (failure != Http::error::end_of_stream) {
        co_await rejectUnreadableRequest(failure);
    }
    co_return false;
}

Net::awaitable<NetError> Session::readHead(RequestParser& parser)
{
    while (!parser.is_header_done()) {
        auto const [failure, size] = co_await Http::async_read_some(m_stream, m_buffer, parser, useTuple);
        if (withoutNeedForRoom(failure) || m_hasGivenWay)
            co_return withoutNeedForRoom(failure);
        if (!chargeConnection())
            co_return NetError();
    }
    m_headMemory = memoryOfHead(parser.get());
    chargeConnection();
    co_return checkRequestFraming(parser);
}

// A client that asks whether to send its body, or announces a large one, learns at once that its request is refused.
Net::awaitable<NetError> Session::continueAfterHead(RequestParser const& parser)
{
    bool const awaitsContinue = equalsIgnoringCase(parser.get()[Http::field::expect], "100-continue");
    bool const isLarge = parser.content_length().value_or(0) > ClientMemory::maxOrdinaryBodySize;
    if ((awaitsContinue || isLarge) && !checkHead(parser))
        co_return NetError();
    if (!awaitsContinue)
        co_return NetError();
    constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
    auto const [failure, size] = co_await Net::async_write(m_stream, Net::buffer(continueResponse), useTuple);
    co_return failure;
}

Net::awaitable<NetError> Session::readBody(RequestParser& parser, size_t maxSizeOfChunks)
{
    parser.eager(true);
    auto const maxSize = static_cast<size_t>(parser.content_length().value_or(maxSizeOfChunks));
    while (!parser.is_done() && !isRefused()) {
        if (!m_body.makeRoom(maxSize, *this)) {
            refuseForMemory();
            break;
        }
        if (m_body.isLarge() && !checkHead(parser))
            break;
        m_receiveBuffer.grow(m_stream.socket(), m_body.capacity());
        auto const room = m_body.room();
        auto& target = parser.get().body();
        target.data = room.data();
        target.size = room.size();
        auto const [failure, size] = co_await Http::async_read_some(m_stream, m_buffer, parser, useTuple);
        m_body.commit(room.size() - target.size);
        // Without room the same bytes would be read again and again.
        if (failure == Http::error::need_buffer && room.empty())
            co_return Http::make_error_code(Http::error::body_limit);
        if (withoutNeedForRoom(failure))
            co_return failure;
        if (!m_hasGivenWay && chargeConnection())
            m_server->memory->recordProgress(*this, m_body.isLarge());
    }
    m_receiveBuffer.trim(m_stream.socket());
    co_return NetError();
}

// Asks once whether a request would be refused, whatever its body contains.
bool Session::checkHead(RequestParser const& parser)
{
    if (!std::exchange(m_isHeadChecked, true) && m_server->headHook)
        m_earlyResponse = m_server->headHook(toHttpRequest(parser.get()));
    return !m_earlyResponse;
}

bool Session::chargeConnection()
{
    auto const bytes = connectionMemory() + std::max(initialReadSize, m_buffer.capacity()) + m_headMemory;
    return m_connectionCharge.tryResize(bytes, m_server->options.requestUse, this) || refuseForMemory();
}

bool Session::refuseForMemory()
{
    m_earlyResponse = m_server->refusalHook({ RefusalReason::ClientMemoryFull, NotRunProof::nothingSent(), "the requests under way take all memory that this daemon has for them", memoryRetryDelay });
    return false;
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
    auto const keepAlive = [this, &parser] { return parser.keep_alive() && !m_server->closeAfterResponse; };
    bool const isHead = parser.get().method() == Http::verb::head;
    while (true) {
        auto action = co_await exchange->nextAction();
        if (auto* response = std::get_if<HttpResponse>(&action))
            co_return co_await writeResponse(std::move(*response), version, keepAlive(), isHead);
        auto* forward = std::get_if<SessionExchange::ForwardAction>(&action);
        if (!forward)
            co_return false;
        Forwarder forwarder(m_server->context, *m_server->upstreams, *exchange, { m_stream, m_sendBuffer, version >= 11, keepAlive, isHead }, forward->plan);
        auto const result = co_await forwarder.run();
        m_isResponseCut = result.failure && forwarder.isResponseEndedByClose();
        forward->callback(result);
        if (result.responseStarted && (!result.failure || !result.canBeContinued))
            co_return forwarder.isClientKeptAlive() && !result.failure;
    }
}

// The forwarder, and what the kernel holds of the request for the upstream and of the response for the client. It is
// reserved before the handler has the request, which can still be refused then.
bool Session::reserveForwardMemory()
{
    auto const bufferSize = m_server->options.socketBufferSize;
    auto const bytes = sizeof(Forwarder) + bufferSize + std::min(m_body.size(), bufferSize);
    return m_connectionCharge.tryResize(m_connectionCharge.bytes() + bytes, m_server->options.requestUse, this) || refuseForMemory();
}

// The kernel may receive a whole buffer before any of it is read, also behind a request that is served.
size_t Session::connectionMemory() const
{
    return sessionMemory + m_server->options.socketBufferSize;
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
    m_responseCharge.resize(response.body.size());
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

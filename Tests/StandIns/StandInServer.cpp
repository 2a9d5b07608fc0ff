#include <StandIns/StandInServer.h>

#include <LibProxy/HttpMessage.h>
#include <charconv>
#include <iostream>

namespace Stagepost::StandIns {

struct StandInServer::State : std::enable_shared_from_this<StandInServer::State> {
    State(EventLoop& loop, Handler requestHandler)
        : context(loop.native().context)
        , handler(std::move(requestHandler))
        , acceptor(context)
    {
    }

    Net::awaitable<void> acceptLoop()
    {
        auto const self = shared_from_this();
        while (acceptor.is_open()) {
            auto [error, socket] = co_await acceptor.async_accept(useTuple);
            if (error)
                continue;
            socket.set_option(Tcp::no_delay(true), error);
            auto stream = std::make_shared<TcpStream>(std::move(socket));
            Net::co_spawn(
                context, [self, stream] { return self->serve(*stream); }, Net::detached);
        }
    }

    Net::awaitable<void> serve(TcpStream& stream)
    {
        auto const self = shared_from_this();
        Beast::flat_buffer buffer;
        while (true) {
            Http::request_parser<Http::string_body> parser;
            parser.body_limit(64u << 20);
            auto [error, size] = co_await Http::async_read(stream, buffer, parser, useTuple);
            if (error)
                break;
            auto request = parser.release();
            if (!co_await handler(stream, request))
                break;
        }
        NetError ignored;
        stream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
    }

    Net::io_context& context;
    Handler handler;
    Tcp::acceptor acceptor;
};

StandInServer::StandInServer(EventLoop& loop, Handler handler)
    : m_state(std::make_shared<State>(loop, std::move(handler)))
{
}

StandInServer::~StandInServer()
{
    stopListening();
}

Endpoint StandInServer::listen(Endpoint const& endpoint)
{
    auto const native = toNativeEndpoint<Tcp>(endpoint);
    m_state->acceptor.open(native.protocol());
    m_state->acceptor.set_option(Net::socket_base::reuse_address(true));
    NetError error;
    m_state->acceptor.bind(native, error);
    if (error) {
        std::cerr << "stagepost-stand-in: cannot bind " << endpoint.toString() << ": " << error.message() << '\n';
        std::exit(1);
    }
    m_state->acceptor.listen();
    Net::co_spawn(m_state->context, m_state->acceptLoop(), Net::detached);
    return toEndpoint(m_state->acceptor.local_endpoint());
}

void StandInServer::stopListening()
{
    NetError ignored;
    m_state->acceptor.close(ignored);
}

Response jsonResponse(Request const& request, unsigned status, std::string body)
{
    Response response;
    response.version(11);
    response.result(status);
    response.set(Http::field::content_type, "application/json");
    if (auto const id = request.find("X-Request-Id"); id != request.end())
        response.set("X-Request-Id", id->value());
    response.keep_alive(request.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

Net::awaitable<bool> send(TcpStream& stream, Response response)
{
    auto [error, size] = co_await Http::async_write(stream, response, useTuple);
    co_return !error && response.keep_alive();
}

Net::awaitable<void> sleepFor(Milliseconds duration)
{
    Net::steady_timer timer(co_await Net::this_coro::executor, duration);
    co_await timer.async_wait(useTuple);
}

uint64_t queryNumber(Request const& request, std::string_view name, uint64_t fallback)
{
    HttpRequest call;
    call.target = request.target();
    auto const text = call.queryParameter(name);
    uint64_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

}

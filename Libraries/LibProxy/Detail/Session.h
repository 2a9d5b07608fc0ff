#pragma once

#include <LibProxy/Detail/Exchange.h>
#include <LibProxy/Detail/UpstreamConnections.h>
#include <LibProxy/HttpServer.h>
#include <set>

namespace Stagepost {

class Session;

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    State(EventLoop& loop, HttpServerOptions chosen, ExchangeHandler handle, RefusalHook refuse)
        : context(loop.native().context)
        , options(chosen)
        , handler(std::move(handle))
        , refusalReply(std::move(refuse))
        , acceptor(context)
    {
    }

    Net::awaitable<void> acceptLoop();

    Net::io_context& context;
    HttpServerOptions options;
    ExchangeHandler handler;
    RefusalHook refusalReply;
    Tcp::acceptor acceptor;
    UpstreamConnections upstreams;
    std::set<Session*> sessions;
    size_t openExchanges { 0 };
    bool closing { false };
    bool stopped { false };
};

// One caller's connection: reads a request, has it answered, and so on.
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<HttpServer::State>, Tcp::socket);

    Net::awaitable<void> run();

    // Closes the connection unless a request is being answered on it.
    void closeIfIdle();
    void close();

private:
    using RequestParser = Http::request_parser<Http::string_body>;

    Net::awaitable<bool> serveOne();
    Net::awaitable<bool> readRequest(RequestParser&);
    Net::awaitable<bool> answer(RequestParser const&, std::shared_ptr<SessionExchange>);
    Net::awaitable<bool> writeReply(HttpReply, unsigned version, bool keepAlive, bool isHead);
    Net::awaitable<void> refuseUnreadable(NetError);
    void watchCaller(std::shared_ptr<SessionExchange> const&);

    std::shared_ptr<HttpServer::State> m_server;
    TcpStream m_stream;
    Beast::flat_buffer m_buffer;
    Net::cancellation_signal m_stopWatching;
    bool m_busy { false };
};

}

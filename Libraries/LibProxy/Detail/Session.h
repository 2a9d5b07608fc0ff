#pragma once

#include <LibProxy/Detail/Exchange.h>
#include <LibProxy/Detail/UpstreamConnections.h>
#include <LibProxy/HttpServer.h>
#include <set>

namespace Stagepost {

class Session;

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    State(EventLoop& loop, HttpServerOptions initialOptions, ExchangeHandler exchangeHandler, RefusalHook hook)
        : context(loop.native().context)
        , options(initialOptions)
        , handler(std::move(exchangeHandler))
        , refusalHook(std::move(hook))
        , acceptor(context)
    {
    }

    Net::awaitable<void> acceptLoop();

    Net::io_context& context;
    HttpServerOptions options;
    ExchangeHandler handler;
    RefusalHook refusalHook;
    Tcp::acceptor acceptor;
    std::shared_ptr<UpstreamConnections> upstreams { std::make_shared<UpstreamConnections>() };
    std::set<Session*> sessions;
    size_t openExchanges { 0 };
    bool closeAfterResponse { false };
    bool stopped { false };
};

// A client's connection, which serves one request after another.
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<HttpServer::State>, Tcp::socket);

    Net::awaitable<void> run();

    // Closes the connection unless it is reading or serving a request.
    void closeIfIdle();
    void close();
    // Null unless a request is being served.
    std::shared_ptr<SessionExchange> openExchange() const { return m_exchange.lock(); }

private:
    using RequestParser = Http::request_parser<Http::string_body>;

    Net::awaitable<bool> serveRequest();
    Net::awaitable<bool> readRequest(RequestParser&);
    Net::awaitable<bool> sendResponse(RequestParser const&, std::shared_ptr<SessionExchange>);
    Net::awaitable<bool> writeResponse(HttpResponse, unsigned version, bool keepAlive, bool isHead);
    Net::awaitable<void> rejectUnreadableRequest(NetError);
    Net::awaitable<void> end();
    void watchForDisconnect(std::shared_ptr<SessionExchange> const&);

    std::shared_ptr<HttpServer::State> m_server;
    TcpStream m_stream;
    Beast::flat_buffer m_buffer { maxUnparsedBytes };
    Net::cancellation_signal m_stopWatching;
    std::weak_ptr<SessionExchange> m_exchange;
    bool m_isBusy { false };
    // Whether the client was sent a part of a response that the end of its connection would complete.
    bool m_isResponseCut { false };
};

}

#pragma once

#include <LibProxy/Detail/Exchange.h>
#include <LibProxy/Detail/IncomingBody.h>
#include <LibProxy/Detail/SocketBuffer.h>
#include <LibProxy/Detail/UpstreamConnections.h>
#include <LibProxy/HttpServer.h>
#include <set>

namespace Stagepost {

class Session;

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    State(EventLoop& loop, HttpServerOptions initialOptions, ExchangeHandler exchangeHandler, RefusalHook refusal, std::shared_ptr<ClientMemory> clientMemory, HeadHook head)
        : context(loop.native().context)
        , options(initialOptions)
        , handler(std::move(exchangeHandler))
        , refusalHook(std::move(refusal))
        , memory(std::move(clientMemory))
        , headHook(std::move(head))
        , acceptor(context)
    {
    }

    Net::awaitable<void> acceptLoop();
    void serve(Tcp::socket);
    int maxWaitingConnections() const;

    Net::io_context& context;
    HttpServerOptions options;
    ExchangeHandler handler;
    RefusalHook refusalHook;
    std::shared_ptr<ClientMemory> memory;
    HeadHook headHook;
    Tcp::acceptor acceptor;
    std::shared_ptr<UpstreamConnections> upstreams { std::make_shared<UpstreamConnections>(memory) };
    std::set<Session*> sessions;
    size_t openExchanges { 0 };
    size_t lateActions { 0 };
    bool closeAfterResponse { false };
    bool stopped { false };
};

// A client's connection, which serves one request after another.
class Session : public std::enable_shared_from_this<Session>, private ClientMemory::Client {
public:
    Session(std::shared_ptr<HttpServer::State>, Tcp::socket);
    ~Session() override;
    Session(Session const&) = delete;
    Session& operator=(Session const&) = delete;

    // Returns false if there is no memory for the connection.
    bool reserveMemory();
    Net::awaitable<void> run();

    // Closes the connection unless it is reading or serving a request.
    void closeIfIdle();
    void close();
    // Null unless a request is being served.
    std::shared_ptr<SessionExchange> openExchange() const { return m_exchange.lock(); }

private:
    using RequestParser = Http::request_parser<Http::buffer_body>;

    enum class Phase : uint8_t {
        Idle,
        Reading,
        Serving,
        // The last response was sent.
        Ending,
    };

    void giveWay() override;
    void disconnect() override { m_stream.close(); }

    Net::awaitable<bool> serveRequest();
    Net::awaitable<bool> awaitRequest();
    Net::awaitable<bool> readRequest(RequestParser&);
    Net::awaitable<NetError> readHead(RequestParser&);
    Net::awaitable<NetError> continueAfterHead(RequestParser const&);
    // The size bounds a body without an announced length.
    Net::awaitable<NetError> readBody(RequestParser&, size_t maxSizeOfChunks);
    bool checkHead(RequestParser const&);
    // Whether the rest of the request is not read.
    bool isRefused() const { return m_hasGivenWay || m_earlyResponse; }
    // These return false if the request is refused.
    bool chargeConnection();
    bool reserveForwardMemory();
    bool refuseForMemory();
    Net::awaitable<bool> sendResponse(RequestParser const&, std::shared_ptr<SessionExchange>);
    Net::awaitable<bool> writeResponse(HttpResponse, unsigned version, bool keepAlive, bool isHead);
    Net::awaitable<void> rejectUnreadableRequest(NetError);
    Net::awaitable<void> end();
    void watchForDisconnect(std::shared_ptr<SessionExchange> const&);
    size_t connectionMemory() const;

    std::shared_ptr<HttpServer::State> m_server;
    TcpStream m_stream;
    Beast::flat_buffer m_buffer { maxUnparsedBytes };
    IncomingBody m_body;
    SocketBuffer m_receiveBuffer;
    SocketBuffer m_sendBuffer;
    // The memory of the connection, with its buffers and the head of its request, and of the response.
    ClientMemory::Charge m_connectionCharge;
    ClientMemory::Charge m_responseCharge;
    Net::cancellation_signal m_stopWatching;
    std::weak_ptr<SessionExchange> m_exchange;
    // Sent in place of reading the rest of a request.
    std::optional<HttpResponse> m_earlyResponse;
    size_t m_headMemory { 0 };
    size_t m_maxDiscarded;
    Phase m_phase { Phase::Idle };
    bool m_hasGivenWay { false };
    bool m_isHeadChecked { false };
    // Whether the client was sent a part of a response that the end of its connection would complete.
    bool m_isResponseCut { false };
};

}

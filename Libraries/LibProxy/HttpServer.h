#pragma once

#include <LibBase/RefusalReason.h>
#include <LibProxy/Endpoint.h>
#include <LibProxy/EventLoop.h>
#include <LibProxy/Exchange.h>

namespace Stagepost {

struct HttpServerOptions {
    // The bodies that one request may carry, in bytes.
    size_t largestBody { 8u << 20 };
    size_t largestHeaders { 16u << 10 };
    // For a caller to send its whole request, from the first byte on.
    Milliseconds requestTimeout { 15000 };
    // For a connection to stay open between two requests.
    Milliseconds keepAliveTimeout { 75000 };
    size_t mostConnections { 20000 };
};

// Takes callers' requests and hands each to a handler. What the server itself
// refuses (a request it cannot read) goes to the refusal hook, which makes the reply.
class HttpServer {
public:
    using RefusalHook = std::function<HttpReply(Refusal const&)>;

    HttpServer(EventLoop&, HttpServerOptions, ExchangeHandler, RefusalHook);
    ~HttpServer();
    HttpServer(HttpServer const&) = delete;
    HttpServer& operator=(HttpServer const&) = delete;

    // Port 0 takes a free one. Returns what was bound.
    Result<Endpoint> listen(Endpoint const&);

    // What the next request of every connection is held to.
    void setOptions(HttpServerOptions const&);

    // While set, every answer closes its connection, so that callers move on.
    void setClosing(bool);
    // Takes no further connection and closes those that carry no request.
    void stopListening();

    // Closes the connections to an upstream that carry no request: what answers at that
    // address now is another process.
    void dropIdleConnections(Endpoint const& upstream);

    // Requests that have been read and are not yet answered in full.
    size_t openExchanges() const;

    struct State;

private:
    std::shared_ptr<State> m_state;
};

}

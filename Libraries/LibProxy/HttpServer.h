#pragma once

#include <LibBase/RefusalReason.h>
#include <LibProxy/ClientLimits.h>
#include <LibProxy/ClientMemory.h>
#include <LibProxy/Endpoint.h>
#include <LibProxy/EventLoop.h>
#include <LibProxy/Exchange.h>

namespace Stagepost {

struct HttpServerOptions {
    // Maximum sizes of a request's body and of its header, in bytes.
    size_t maxBodySize { 8u << 20 };
    size_t maxHeaderSize { 16u << 10 };
    // Time for a client to send a whole request, counted from its first byte.
    Milliseconds requestTimeout { 15000 };
    // Time for which an idle connection stays open.
    Milliseconds keepAliveTimeout { 75000 };
    // At the limit, a new connection takes the place of one that is idle or whose request is incomplete. If there is none,
    // it is closed.
    size_t maxConnections { 20000 };
    // The size of each connection's buffers in the kernel, in bytes; 0 for the kernel's default. Applies to connections that
    // are accepted after listen().
    size_t socketBufferSize { 0 };
    // Idle connections to all upstreams together.
    size_t maxIdleUpstreamConnections { SIZE_MAX };
    // What the memory of a request counts as, unless its body is large.
    ClientMemory::Use requestUse { ClientMemory::Use::Request };

    // Sets the limits that don't concern a single request.
    void apply(ClientLimits const&);
};

// Accepts client connections and passes each request to a handler. The refusal hook
// builds the response to requests that the server rejects itself because it cannot
// read them. What all clients hold together is bounded by the memory that the server shares with others.
class HttpServer {
public:
    using RefusalHook = std::function<HttpResponse(Refusal const&)>;
    // Examines the header of a request whose body is large, or whose client asks whether to send it, before the body is read.
    // Returns the response if the request is refused.
    using HeadHook = std::function<std::optional<HttpResponse>(HttpRequest const& head)>;

    HttpServer(EventLoop&, HttpServerOptions, ExchangeHandler, RefusalHook, std::shared_ptr<ClientMemory>, HeadHook = {});
    // With a limit of its own.
    HttpServer(EventLoop&, HttpServerOptions, ExchangeHandler, RefusalHook);
    ~HttpServer();
    HttpServer(HttpServer const&) = delete;
    HttpServer& operator=(HttpServer const&) = delete;

    // Port 0 selects a free port. Returns the bound endpoint.
    Result<Endpoint> listen(Endpoint const&);

    // Applies to the next request of each connection, open connections included.
    void setOptions(HttpServerOptions const&);

    // While set, each connection is closed after its response, so that clients reconnect
    // elsewhere.
    void setCloseAfterResponse(bool);
    // Accepts no more connections and closes the idle ones.
    void stopListening();

    // Uses the other server's idle connections to upstreams from now on, and returns connections to it.
    void shareUpstreamConnections(HttpServer const&);

    // Closes the idle connections to an upstream. Used when another process has taken over
    // the address.
    void dropIdleConnections(Endpoint const& upstream);
    // The same if the upstream has closed any of them. Returns whether it has: its process may have ended.
    bool dropClosedConnections(Endpoint const& upstream);

    // The number of requests that have been read and whose responses are incomplete.
    size_t openExchanges() const;
    // Calls back for each of them.
    void forEachOpenRequest(std::function<void(HttpRequest const&)> const&) const;
    // How many answers and forwards of handlers came after the answer to their request, or while it was being forwarded,
    // and were not carried out.
    size_t lateActions() const;
    // The number of open connections.
    size_t connectionCount() const;

    struct State;

private:
    std::shared_ptr<State> m_state;
};

}

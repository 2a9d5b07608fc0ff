#pragma once

#include <LibProxy/Detail/ConnectionClose.h>
#include <LibProxy/Detail/SocketBuffer.h>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Stagepost {

struct UpstreamConnection {
    explicit UpstreamConnection(Net::io_context& context, std::shared_ptr<ClientMemory> memory = {}, size_t socketBufferSize = 0)
        : stream(context)
        , sendBuffer(std::move(memory), SocketBuffer::Direction::Send, { socketBufferSize })
    {
    }
    ~UpstreamConnection() { close(); }
    UpstreamConnection(UpstreamConnection const&) = delete;
    UpstreamConnection& operator=(UpstreamConnection const&) = delete;

    // Sets the options of a connection that was just opened.
    void setOptions();
    // Takes the last request back as far as possible, unless it was answered.
    void close();

    // Records that the request was rejected on this connection.
    void recordRejection(std::string const& requestId);
    // Whether an answer that repeats the request's id can't be the repetition of an earlier rejection.
    bool mayCarry(std::string const& requestId) const;
    // Whether no more rejections can be remembered, so that the connection may carry no other request.
    bool hasManyRejections() const { return m_rejectedRequests.size() >= maxRejectedRequests; }

    TcpStream stream;
    SocketBuffer sendBuffer;
    // Bytes that were read from the stream and not parsed yet.
    Beast::flat_buffer buffer { maxUnparsedBytes };
    Instant idleSince;
    // When the header of the first response arrived.
    std::optional<Instant> answeredAt;
    // How long the upstream keeps an idle connection open, by its Keep-Alive field.
    Microseconds keepAlive { Microseconds::max() };
    // Whether the last request has been written completely.
    bool isRequestWritten { true };
    // Whether the last request has got its whole response.
    bool isAnswered { true };
    ConnectionEnd end { ConnectionEnd::None };
    NetError writeFailure;

private:
    static constexpr size_t maxRejectedRequests = 32;

    // The hashes of the ids of requests that were rejected on this connection.
    std::vector<uint64_t> m_rejectedRequests;
};

// The pool of idle connections to upstreams. It holds only connections whose last response
// was complete and repeated its request's id.
class UpstreamConnections {
public:
    // Connections are not reused in the last fifth of the upstream's keep-alive time,
    // when a close may already be in transit. Upstreams announce whole seconds, so a
    // fifth far exceeds the latency between halls.
    static constexpr double usableKeepAliveShare = 0.8;

    struct Limits {
        // Idle connections to all upstreams together.
        size_t maxIdle { SIZE_MAX };
        // Of what the kernel holds for an upstream that reads slowly, in bytes; 0 for the kernel's default.
        size_t socketBufferSize { 0 };
    };

    // Larger buffers of connections are charged to the memory.
    explicit UpstreamConnections(std::shared_ptr<ClientMemory> memory)
        : m_memory(std::move(memory))
    {
    }

    void setLimits(Limits const& limits) { m_limits = limits; }

    // Returns a connection that is not open yet.
    std::shared_ptr<UpstreamConnection> create(Net::io_context&) const;

    // Removes and returns a connection that has been idle for at most maxIdleTime, has no unread data and may carry
    // the request, or returns null.
    std::shared_ptr<UpstreamConnection> acquire(Endpoint const&, Milliseconds maxIdleTime, std::string const& requestId);
    // Adds a connection to the pool, which keeps the newest maxIdle of this upstream. At the limit of all, it is closed.
    void release(Endpoint const&, std::shared_ptr<UpstreamConnection>, size_t maxIdle);
    // Whether the other end has closed any of the idle connections.
    bool hasClosed(Endpoint const&) const;
    void clear() { m_idle.clear(); }
    void drop(Endpoint const& endpoint) { m_idle.erase(endpoint); }

private:
    size_t idleCount() const;

    std::shared_ptr<ClientMemory> m_memory;
    Limits m_limits;
    std::map<Endpoint, std::vector<std::shared_ptr<UpstreamConnection>>> m_idle;
};

}

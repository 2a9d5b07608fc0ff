#pragma once

#include <LibBase/Time.h>
#include <cstdint>
#include <list>
#include <memory>
#include <utility>

namespace Stagepost {

// Counts the memory that clients make a process hold, over all its servers, and keeps it within a limit. Where the limit
// is reached, clients that hold memory without progress give way, so that they can't keep ordinary requests out.
// It must be owned by a std::shared_ptr, since charges may outlive the servers.
class ClientMemory : public std::enable_shared_from_this<ClientMemory> {
public:
    // What memory is needed for. Each use leaves a part of the limit to those before it.
    enum class Use : uint8_t {
        // Never refused: the load balancer's checks, whose number and size are bounded.
        Check,
        Connection,
        Request,
        LargeBody,
        // Larger buffers in the kernel, which only make large bodies faster. Nobody gives way to them.
        SocketBuffer,
    };

    // Bodies of more bytes are large. Ordinary requests are smaller.
    static constexpr size_t maxOrdinaryBodySize = 128u << 10;

    // A client's connection, as seen by the others that need its memory.
    class Client {
    public:
        explicit Client(void const* server)
            : m_server(server)
        {
        }
        virtual ~Client() = default;
        Client(Client const&) = delete;
        Client& operator=(Client const&) = delete;

    private:
        friend class ClientMemory;

        // Frees what the client holds. Its incomplete request, if any, is refused.
        virtual void giveWay() = 0;
        // Closes its connection at once.
        virtual void disconnect() = 0;

        void const* m_server;
        std::list<Client*>* m_queue { nullptr };
        std::list<Client*>::iterator m_position;
        Instant m_lastProgress;
    };

    // A number of bytes that are counted until they are released.
    class Charge {
    public:
        Charge() = default;
        explicit Charge(std::shared_ptr<ClientMemory> memory)
            : m_memory(std::move(memory))
        {
        }
        ~Charge() { resize(0); }
        Charge(Charge&& other) noexcept
            : m_memory(std::move(other.m_memory))
            , m_bytes(std::exchange(other.m_bytes, 0))
        {
        }
        Charge& operator=(Charge&& other) noexcept;
        Charge(Charge const&) = delete;
        Charge& operator=(Charge const&) = delete;

        size_t bytes() const { return m_bytes; }
        // Returns false, and changes nothing, if the limit would be exceeded and no other client than this one can give way.
        bool tryResize(size_t bytes, Use, Client const*);
        // For memory that is needed in any case.
        void resize(size_t bytes);

    private:
        std::shared_ptr<ClientMemory> m_memory;
        size_t m_bytes { 0 };
    };

    struct Counts {
        // Connections that were closed, and requests that were refused, to make room for others.
        uint64_t closedConnections { 0 };
        uint64_t refusedRequests { 0 };
    };

    explicit ClientMemory(uint64_t limit);
    ClientMemory(ClientMemory const&) = delete;
    ClientMemory& operator=(ClientMemory const&) = delete;

    uint64_t used() const { return m_used; }
    uint64_t limit() const { return m_limit; }
    Counts const& counts() const { return m_counts; }

    // The client's connection is idle: it is closed if others need its place.
    void setIdle(Client&);
    // The client's request is incomplete, and bytes of it have just arrived.
    void recordProgress(Client&, bool isLarge);
    // The client's request is complete, so that it doesn't give way any more.
    void remove(Client&);

    // Closes the connection of a client of this server that is idle, or whose request is incomplete. Returns false if there
    // is none.
    bool disconnectOne(void const* server);
    // A connection was closed at once, since there was none.
    void countClosedConnection() { ++m_counts.closedConnections; }

private:
    void enqueue(Client&, std::list<Client*>&);
    bool makeRoom(Use, Client const*);
    bool reclaim(std::list<Client*>&, Client const* except, Instant latestProgress);
    uint64_t limitOf(Use) const;
    void release();

    uint64_t m_limit;
    uint64_t m_used { 0 };
    // The largest use since unused memory was returned to the system.
    uint64_t m_peak { 0 };
    Counts m_counts;
    // Each has those without progress for the longest time first.
    std::list<Client*> m_idle;
    std::list<Client*> m_ordinary;
    std::list<Client*> m_large;
};

}

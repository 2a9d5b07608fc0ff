#pragma once

#include <LibProxy/ClientMemory.h>
#include <LibProxy/HttpBody.h>
#include <span>

namespace Stagepost {

// The body of a request while it arrives. Its memory grows with what has arrived, also if a length was announced, and is
// counted for as long as any copy of the body is used.
class IncomingBody {
public:
    explicit IncomingBody(std::shared_ptr<ClientMemory> memory)
        : m_memory(std::move(memory))
        , m_charge(m_memory)
    {
    }

    size_t size() const { return m_size; }
    size_t capacity() const { return m_capacity; }
    bool isLarge() const { return m_capacity > ClientMemory::maxOrdinaryBodySize; }

    // Makes room for more bytes, unless there is some or the body has this size already. Returns false if the memory is not to
    // be had.
    bool makeRoom(size_t maxSize, ClientMemory::Client const&);
    std::span<char> room() { return { m_bytes.get() + m_size, m_capacity - m_size }; }
    // That many bytes were written to the room.
    void commit(size_t size) { m_size += size; }

    // Returns the whole body. The next one may follow.
    HttpBody release();
    // Its memory is about to be freed.
    void uncharge() { m_charge.resize(0); }
    void clear();

private:
    std::shared_ptr<ClientMemory> m_memory;
    ClientMemory::Charge m_charge;
    // Not initialised, so that pages without bytes take no memory.
    std::unique_ptr<char[]> m_bytes;
    size_t m_size { 0 };
    size_t m_capacity { 0 };
};

}

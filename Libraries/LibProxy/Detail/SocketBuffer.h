#pragma once

#include <LibProxy/ClientMemory.h>
#include <LibProxy/Detail/Native.h>

namespace Stagepost {

// A connection's buffer in the kernel, for one direction. It is enlarged for large bodies while memory is ample, since its size
// bounds what is under way at a time. What exceeds its base size is charged.
class SocketBuffer {
public:
    enum class Direction : uint8_t {
        Receive,
        Send,
    };

    struct Sizes {
        // In bytes; 0 leaves the buffer to the kernel.
        size_t base { 0 };
        // A body of some megabytes needs few round trips with it, also between regions.
        size_t max { 1u << 20 };
    };

    SocketBuffer(std::shared_ptr<ClientMemory>, Direction, Sizes);

    // Sets the base size. Not needed for connections that inherit it from their listener.
    void apply(Tcp::socket& socket)
    {
        if (m_sizes.base)
            setSize(socket, m_sizes.base);
    }
    // Fits the size to that many bytes that are to pass, within the base size and a maximum. It stays smaller without memory, and
    // doesn't fall while the kernel holds more than the base size.
    void fit(Tcp::socket&, size_t bytes);
    // The same, but the size never falls.
    void grow(Tcp::socket& socket, size_t bytes)
    {
        if (bytes > m_size)
            fit(socket, bytes);
    }
    // Returns to the base size unless memory is ample. A window that was offered can't be taken back, so that the next
    // large body of the same connection would be slower.
    void trim(Tcp::socket&);

    bool isEnlarged() const { return m_size > m_sizes.base; }

private:
    // Whether the kernel holds more than the base size.
    bool isFilled(Tcp::socket&) const;
    void setSize(Tcp::socket&, size_t);

    std::shared_ptr<ClientMemory> m_memory;
    Direction m_direction;
    Sizes m_sizes;
    size_t m_size;
    ClientMemory::Charge m_charge;
};

}

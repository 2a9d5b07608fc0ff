#include <LibProxy/Detail/SocketBuffer.h>

#include <algorithm>
#include <bit>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace Stagepost {

namespace {

    // The kernel allocates twice the size that was asked for, since its own structures count as well.
    constexpr size_t allocatedPerSize = 2;
    constexpr uint64_t ampleMemoryDivisor = 4;

}

SocketBuffer::SocketBuffer(std::shared_ptr<ClientMemory> memory, Direction direction, Sizes sizes)
    : m_memory(std::move(memory))
    , m_direction(direction)
    , m_sizes(sizes)
    , m_size(sizes.base)
    , m_charge(m_memory)
{
}

void SocketBuffer::fit(Tcp::socket& socket, size_t bytes)
{
    if (!m_sizes.base)
        return;
    auto size = std::max(m_sizes.base, std::bit_ceil(std::min(bytes, m_sizes.max)));
    if (size == m_size || (size < m_size && isFilled(socket)))
        return;
    auto const minSize = size > m_size ? m_size : m_sizes.base;
    while (size > minSize && !m_charge.tryResize(allocatedPerSize * size - m_sizes.base, ClientMemory::Use::SocketBuffer, nullptr))
        size = std::max(minSize, size / 2);
    setSize(socket, size);
    if (!isEnlarged())
        m_charge.resize(0);
}

void SocketBuffer::trim(Tcp::socket& socket)
{
    if (isEnlarged() && m_memory->used() > m_memory->limit() / ampleMemoryDivisor)
        fit(socket, 0);
}

bool SocketBuffer::isFilled(Tcp::socket& socket) const
{
    int bytes = 0;
    auto const request = m_direction == Direction::Send ? SIOCOUTQ : SIOCINQ;
    return ::ioctl(socket.native_handle(), request, &bytes) == 0 && static_cast<size_t>(bytes) > m_sizes.base;
}

void SocketBuffer::setSize(Tcp::socket& socket, size_t size)
{
    NetError ignored;
    if (m_direction == Direction::Receive)
        socket.set_option(Net::socket_base::receive_buffer_size(static_cast<int>(size)), ignored);
    else
        socket.set_option(Net::socket_base::send_buffer_size(static_cast<int>(size)), ignored);
    m_size = size;
}

}

#include <LibProxy/Detail/IncomingBody.h>

#include <algorithm>
#include <cstring>

namespace Stagepost {

namespace {

    constexpr size_t initialCapacity = 16u << 10; // bytes

    // The members are destroyed in reverse order, so that the memory is freed before it is no longer counted.
    struct BodyStorage {
        ClientMemory::Charge charge;
        std::unique_ptr<char[]> bytes;
    };

}

bool IncomingBody::makeRoom(size_t maxSize, ClientMemory::Client const& client)
{
    if (m_size < m_capacity || m_capacity >= maxSize)
        return true;
    auto const capacity = std::min(maxSize, std::max(initialCapacity, 2 * m_capacity));
    auto const use = capacity > ClientMemory::maxOrdinaryBodySize ? ClientMemory::Use::LargeBody : ClientMemory::Use::Request;
    if (!m_charge.tryResize(capacity, use, &client))
        return false;
    std::unique_ptr<char[]> bytes(new char[capacity]);
    if (m_size)
        std::memcpy(bytes.get(), m_bytes.get(), m_size);
    m_bytes = std::move(bytes);
    m_capacity = capacity;
    return true;
}

HttpBody IncomingBody::release()
{
    if (!m_size)
        return {};
    auto const storage = std::make_shared<BodyStorage>();
    storage->charge = std::exchange(m_charge, ClientMemory::Charge(m_memory));
    storage->bytes = std::move(m_bytes);
    m_capacity = 0;
    return { storage, { storage->bytes.get(), std::exchange(m_size, 0) } };
}

void IncomingBody::clear()
{
    m_bytes.reset();
    m_size = m_capacity = 0;
    m_charge.resize(0);
}

}

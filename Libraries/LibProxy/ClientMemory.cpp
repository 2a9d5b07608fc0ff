#include <LibProxy/ClientMemory.h>

#include <algorithm>
#include <array>
#include <malloc.h>

namespace Stagepost {

namespace {

    // The parts of the limit up to which a use may fill it, so that large bodies leave room for ordinary requests, and
    // these for connections.
    constexpr double largeBodyShare = 0.75;
    constexpr double requestShare = 0.875;
    constexpr double socketBufferShare = 0.5;
    // A large body that makes no progress for this long gives way to other large ones. To ordinary requests it always does.
    constexpr Milliseconds stallTime { 500 };
    // Unused memory is returned to the system once it may be that part of the limit.
    constexpr uint64_t returnedPartOfLimit = 4;
    // The allocator maps larger blocks one by one, so that each is returned to the system when it is freed. It would
    // otherwise raise this size with each large body.
    constexpr int minMappedBlockSize = 512 << 10;

}

ClientMemory::ClientMemory(uint64_t limit)
    : m_limit(limit)
{
    ::mallopt(M_MMAP_THRESHOLD, minMappedBlockSize);
}

uint64_t ClientMemory::limitOf(Use use) const
{
    if (use == Use::Check)
        return UINT64_MAX;
    auto const limit = static_cast<double>(m_limit);
    if (use == Use::SocketBuffer)
        return static_cast<uint64_t>(limit * socketBufferShare);
    if (use == Use::LargeBody)
        return static_cast<uint64_t>(limit * largeBodyShare);
    return use == Use::Request ? static_cast<uint64_t>(limit * requestShare) : m_limit;
}

ClientMemory::Charge& ClientMemory::Charge::operator=(Charge&& other) noexcept
{
    resize(0);
    m_memory = std::move(other.m_memory);
    m_bytes = std::exchange(other.m_bytes, 0);
    return *this;
}

bool ClientMemory::Charge::tryResize(size_t bytes, Use use, Client const* client)
{
    while (m_memory && bytes > m_bytes && m_memory->m_used + (bytes - m_bytes) > m_memory->limitOf(use)) {
        if (!m_memory->makeRoom(use, client))
            return false;
    }
    resize(bytes);
    return true;
}

void ClientMemory::Charge::resize(size_t bytes)
{
    if (!m_memory)
        return;
    m_memory->m_used += bytes;
    m_memory->m_used -= m_bytes;
    bool const isReleased = bytes < m_bytes;
    m_bytes = bytes;
    if (isReleased)
        m_memory->release();
    else
        m_memory->m_peak = std::max(m_memory->m_peak, m_memory->m_used);
}

// The allocator keeps small blocks that were freed, and a later crowd of another kind would come on top of them.
void ClientMemory::release()
{
    if (m_peak - m_used < m_limit / returnedPartOfLimit)
        return;
    m_peak = m_used;
    ::malloc_trim(0);
}

void ClientMemory::enqueue(Client& client, std::list<Client*>& queue)
{
    client.m_lastProgress = MonotonicClock::now();
    if (client.m_queue) {
        queue.splice(queue.end(), *client.m_queue, client.m_position);
    } else {
        client.m_position = queue.insert(queue.end(), &client);
    }
    client.m_queue = &queue;
}

void ClientMemory::setIdle(Client& client)
{
    enqueue(client, m_idle);
}

void ClientMemory::recordProgress(Client& client, bool isLarge)
{
    enqueue(client, isLarge ? m_large : m_ordinary);
}

void ClientMemory::remove(Client& client)
{
    if (auto* queue = std::exchange(client.m_queue, nullptr))
        queue->erase(client.m_position);
}

bool ClientMemory::reclaim(std::list<Client*>& queue, Client const* except, Instant latestProgress)
{
    auto const found = std::find_if(queue.begin(), queue.end(), [&](auto const* client) { return client != except; });
    if (found == queue.end() || (*found)->m_lastProgress > latestProgress)
        return false;
    auto& client = **found;
    remove(client);
    client.giveWay();
    // An idle connection may have had something else to free.
    if (!client.m_queue)
        ++(&queue == &m_idle ? m_counts.closedConnections : m_counts.refusedRequests);
    return true;
}

bool ClientMemory::makeRoom(Use use, Client const* client)
{
    if (use == Use::SocketBuffer)
        return false;
    if (use == Use::LargeBody)
        return reclaim(m_large, client, MonotonicClock::now() - stallTime);
    return reclaim(m_large, client, Instant::max()) || reclaim(m_idle, client, Instant::max()) || reclaim(m_ordinary, client, Instant::max());
}

bool ClientMemory::disconnectOne(void const* server)
{
    for (auto* queue : std::array { &m_idle, &m_ordinary, &m_large }) {
        auto const found = std::find_if(queue->begin(), queue->end(), [&](auto const* client) { return client->m_server == server; });
        if (found == queue->end())
            continue;
        auto& client = **found;
        ++m_counts.closedConnections;
        remove(client);
        client.disconnect();
        return true;
    }
    return false;
}

}

#include <stagepostd/ServiceShares.h>

#include <algorithm>

namespace Stagepost {

namespace {

    constexpr double connectionShare = 0.75;
    constexpr double memoryShare = 0.6;
    // When a caller may return whose service has its share of this daemon.
    constexpr Milliseconds retryDelay { 250 };

}

ServiceShares::ServiceShares(ClientLimits const& limits)
    : m_maxRequests(std::max<size_t>(1, static_cast<size_t>(static_cast<double>(limits.connections) * connectionShare)))
    , m_maxBodyBytes(static_cast<uint64_t>(static_cast<double>(limits.memory) * memoryShare))
{
}

std::shared_ptr<void const> ServiceShares::enter(std::string const& service, size_t bodySize)
{
    auto const entry = m_usages->try_emplace(service).first;
    auto& usage = entry->second;
    bool const isFull = usage.requests >= m_maxRequests || (usage.requests && usage.bodyBytes + bodySize > m_maxBodyBytes);
    if (isFull)
        return nullptr;
    ++usage.requests;
    usage.bodyBytes += bodySize;
    return { &usage, [usages = m_usages, entry, bodySize](Usage const* /*counted*/) {
                entry->second.bodyBytes -= bodySize;
                if (!--entry->second.requests)
                    usages->erase(entry);
            } };
}

Refusal ServiceShares::refusal()
{
    return { RefusalReason::OverCapacity, NotRunProof::nothingSent(), "the requests to this service take all that this daemon has for one", retryDelay };
}

}

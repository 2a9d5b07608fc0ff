#include <Measure/Placement/SimulatedEngine.h>

#include <algorithm>

namespace Stagepost::Measure {

uint32_t SimulatedEngine::cachedTokens(uint64_t chat) const
{
    auto const found = m_cache.find(chat);
    return found == m_cache.end() ? 0 : found->second.tokens;
}

uint32_t SimulatedEngine::start(TracedRequest const& request)
{
    ++inFlight;
    auto const reused = std::min(cachedTokens(request.chat), request.contextTokens);
    store(request.chat, request.contextTokens + request.newTokens);
    return reused;
}

void SimulatedEngine::finish(TracedRequest const& request)
{
    --inFlight;
    store(request.chat, request.contextTokens + request.newTokens + request.answerTokens);
}

void SimulatedEngine::store(uint64_t chat, uint32_t tokens)
{
    auto const found = m_cache.find(chat);
    if (found != m_cache.end()) {
        m_usedTokens -= found->second.tokens;
        m_recency.erase(found->second.position);
    } else {
        m_events.push_back({ chat, true, tokens });
    }
    m_recency.push_front(chat);
    m_cache[chat] = { tokens, m_recency.begin() };
    m_usedTokens += tokens;
    while (m_usedTokens > cacheCapacityTokens && m_recency.size() > 1) {
        auto const oldest = m_recency.back();
        m_usedTokens -= m_cache[oldest].tokens;
        m_cache.erase(oldest);
        m_recency.pop_back();
        m_events.push_back({ oldest, false, 0 });
    }
}

void SimulatedEngine::reset()
{
    m_cache.clear();
    m_recency.clear();
    m_usedTokens = 0;
    m_events.clear();
    inFlight = 0;
    ++generation;
}

}

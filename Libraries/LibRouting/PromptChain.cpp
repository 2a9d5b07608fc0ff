#include <LibRouting/PromptChain.h>

#include <LibBase/Hash.h>

namespace Stagepost {

void PromptChain::add(std::string_view id, uint32_t tokens)
{
    auto const prefixKey = m_parts.empty() ? 0 : m_parts.back().key;
    auto const idHash = hashOf(id);
    m_parts.push_back({ mixHashes(prefixKey, idHash), tokens, idHash });
}

uint64_t PromptChain::tokens() const
{
    uint64_t sum = 0;
    for (auto const& part : m_parts)
        sum += part.tokens;
    return sum;
}

std::optional<uint64_t> PromptChain::sharedKey() const
{
    if (m_parts.empty())
        return {};
    return m_parts.size() == 1 ? m_parts.front().key : m_parts[m_parts.size() - 2].key;
}

}

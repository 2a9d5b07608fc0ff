#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Stagepost {

// One part of a prompt. A cached part can be reused only together with all parts before it,
// so its key covers the whole prefix.
struct PromptPart {
    // Hash of the ids of this part and of all parts before it.
    uint64_t key { 0 };
    uint32_t tokens { 0 };
    // Hash of the id of this part alone.
    uint64_t idHash { 0 };
};

// The parts of a prompt, from the most widely shared one to the one specific to this request.
class PromptChain {
public:
    PromptChain() = default;

    void add(std::string_view id, uint32_t tokens);

    std::vector<PromptPart> const& parts() const { return m_parts; }
    uint64_t tokens() const;
    // Key of the prefix that other requests are expected to share: all parts but the last, or
    // the only part. Requests with the same key are placed on the same upstream.
    std::optional<uint64_t> sharedKey() const;
    // The parts that other requests may have as well: all but the last.
    std::span<PromptPart const> sharedParts() const { return { m_parts.data(), m_parts.empty() ? 0 : m_parts.size() - 1 }; }

private:
    std::vector<PromptPart> m_parts;
};

}

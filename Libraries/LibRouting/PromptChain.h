#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Stagepost {

// One part of a prompt. An upstream that keeps a part can use it only where it
// keeps every part before it too, so a part is named with all that precede it.
struct PromptPart {
    // A hash of this part's id and those of all parts before it.
    uint64_t key { 0 };
    uint32_t tokens { 0 };
};

// A prompt, from its most widely shared part to the one of its own.
class PromptChain {
public:
    PromptChain() = default;

    void add(std::string_view id, uint32_t tokens);

    std::vector<PromptPart> const& parts() const { return m_parts; }
    uint64_t tokens() const;
    // The longest run of parts that other requests share: all but the last, or
    // the only one. This is what decides where the prompt is best read.
    std::optional<uint64_t> sharedKey() const;

private:
    std::vector<PromptPart> m_parts;
};

}

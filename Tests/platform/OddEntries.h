#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

namespace Stagepost {

// Changes sound JSON records into odd ones, as another writer of the store might leave them. The same seed gives the
// same entries.
class OddEntries {
public:
    explicit OddEntries(uint64_t seed)
        : m_random(seed)
    {
    }

    // A record with one field, or its whole text, changed. Some results are sound.
    std::string mutate(nlohmann::json const& sound);

    // A JSON text with this many levels of nesting.
    static std::string nested(size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }

private:
    size_t below(size_t limit) { return m_random() % limit; }
    std::string oddValue();
    std::string damage(std::string text);

    std::mt19937_64 m_random;
};

}

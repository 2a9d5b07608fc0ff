#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Stagepost::Measure {

// Command-line options after the name of the measurement: "--key value" pairs and the flag "--quick".
class Arguments {
public:
    Arguments(int argc, char const* const* argv);

    std::string text(std::string const& key, std::string const& fallback) const;
    uint64_t number(std::string const& key, uint64_t fallback) const;
    bool isQuick() const { return m_values.contains("quick"); }

private:
    std::map<std::string, std::string> m_values;
};

}

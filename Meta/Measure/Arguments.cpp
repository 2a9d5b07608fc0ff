#include <Measure/Arguments.h>

#include <cstdlib>

namespace Stagepost::Measure {

Arguments::Arguments(int argc, char const* const* argv)
{
    for (int index = 2; index < argc; ++index) {
        std::string argument = argv[index];
        if (!argument.starts_with("--"))
            continue;
        argument = argument.substr(2);
        bool const hasValue = index + 1 < argc && std::string(argv[index + 1]).rfind("--", 0) != 0;
        m_values[argument] = hasValue ? argv[++index] : "";
    }
}

std::string Arguments::text(std::string const& key, std::string const& fallback) const
{
    auto const found = m_values.find(key);
    return found == m_values.end() ? fallback : found->second;
}

uint64_t Arguments::number(std::string const& key, uint64_t fallback) const
{
    auto const found = m_values.find(key);
    return found == m_values.end() ? fallback : std::strtoull(found->second.c_str(), nullptr, 10);
}

}

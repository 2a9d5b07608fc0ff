#pragma once

#include <LibBase/Result.h>
#include <LibBase/Time.h>
#include <LibProxy/Endpoint.h>
#include <map>
#include <string>
#include <vector>

namespace Stagepost {

// The definition of one command-line flag.
struct FlagDefinition {
    char const* flag;
    char const* defaultValue;
    char const* help;
    bool isRequired;
};

// Parses command-line flags. A flag that is not given takes its value from its environment
// variable (STAGEPOST_PEER_LISTEN for --peer-listen), or else its default value.
// All errors are BadInput. Their text names the flag and what is wrong with it.
class Flags {
public:
    static Result<Flags> parse(std::string const& program, std::string const& about, std::vector<FlagDefinition> const& definitions, int argc, char const* const* argv);

    // The text for --help or --version, or empty if neither was given.
    std::string const& message() const { return m_message; }

    Result<std::string> text(std::string const& flag) const;
    Result<Endpoint> endpoint(std::string const& flag) const;
    Result<uint64_t> number(std::string const& flag, uint64_t min, uint64_t max) const;
    Result<double> decimal(std::string const& flag, double min, double max) const;
    Result<Milliseconds> duration(std::string const& flag, Milliseconds min, Milliseconds max) const;
    Result<std::string> secret(std::string const& flag, size_t minLength) const;
    Result<std::string> oneOf(std::string const& flag, std::vector<std::string> const& allowed) const;

private:
    struct MissingFlag {
        std::string help;
    };

    std::map<std::string, std::string> m_values;
    std::map<std::string, MissingFlag> m_missing;
    std::string m_message;
};

}

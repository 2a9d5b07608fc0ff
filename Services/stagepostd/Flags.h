#pragma once

#include <LibBase/Result.h>
#include <LibBase/Time.h>
#include <LibProxy/Endpoint.h>
#include <map>
#include <string>
#include <vector>

namespace Stagepost {

// One setting of a process.
struct FlagRow {
    char const* flag;
    char const* fallback;
    char const* help;
    bool isRequired;
};

// The settings of a process as texts: each from its flag, else from its
// environment variable (--peer-listen is STAGEPOST_PEER_LISTEN), else its default.
// All errors are BadInput and name the flag, its value and what is allowed.
class Flags {
public:
    static Result<Flags> parse(std::string const& program, std::string const& about, std::vector<FlagRow> const& rows, int argc, char const* const* argv);

    // The help or the version, where one of them was asked for.
    std::string const& message() const { return m_message; }

    Result<std::string> text(std::string const& flag) const;
    Result<Endpoint> endpoint(std::string const& flag) const;
    Result<uint64_t> number(std::string const& flag, uint64_t least, uint64_t most) const;
    Result<double> decimal(std::string const& flag, double least, double most) const;
    Result<Milliseconds> duration(std::string const& flag, Milliseconds least, Milliseconds most) const;
    Result<std::string> secret(std::string const& flag, size_t leastSize) const;
    Result<std::string> oneOf(std::string const& flag, std::vector<std::string> const& allowed) const;

private:
    struct Missing {
        std::string help;
    };

    std::map<std::string, std::string> m_values;
    std::map<std::string, Missing> m_missing;
    std::string m_message;
};

}

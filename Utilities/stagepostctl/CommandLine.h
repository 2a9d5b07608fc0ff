#pragma once

#include <LibBase/Result.h>
#include <LibProxy/Endpoint.h>
#include <optional>
#include <string>
#include <vector>

namespace Stagepost {

// The exit codes of the operator's tool, as its help lists them.
enum class ExitCode : int {
    Done = 0,
    Failed = 1,
    Usage = 2,
    Conflict = 3,
    NotInForce = 4,
};

// One call of the operator's tool.
struct CommandLine {
    std::string command;
    std::vector<std::string> arguments;
    std::optional<Endpoint> log;
    std::optional<Endpoint> vmList;
    std::string operatorToken;
    std::string author;
    std::optional<uint64_t> base;
    uint64_t timeoutMs { 10000 };
    bool wantsJson { false };
    bool allowsRemovals { false };

    std::string message;

    // Error: BadInput that names the flag, its value and what is allowed.
    static Result<CommandLine> parse(int argc, char const* const* argv);
};

}

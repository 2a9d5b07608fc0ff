#pragma once

#include <LibBase/Result.h>
#include <LibProxy/Endpoint.h>
#include <optional>
#include <string>
#include <vector>

namespace Stagepost {

// Exit codes of stagepostctl, documented in its --help.
enum class ExitCode : int {
    Done = 0,
    Failed = 1,
    Usage = 2,
    Conflict = 3,
    NotInForce = 4,
};

// The parsed command line of stagepostctl.
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

    // Set if --help was given; the caller prints it and exits.
    std::string helpText;

    // Error: BadInput, with the flag or argument at fault in the detail.
    static Result<CommandLine> parse(int argc, char const* const* argv);
};

}

#include <stagepostctl/CommandLine.h>

#include <cstdlib>
#include <cxxopts.hpp>
#include <pwd.h>
#include <unistd.h>

namespace Stagepost {

namespace {

    constexpr char const* commandHelp = R"(
Commands:
  check FILE                 checks a settings tree and says all that is wrong with it
  hash-token                 reads a bearer token from standard input, prints its hash
  publish FILE               publishes a settings tree, waits until it is in force
  show [PATH [KEY]]          the settings in force: all, of one node, or one with its origin
  diff FILE                  what publishing the file would change
  history                    the publications that the log still keeps
  status                     every daemon of the fleet
  drain VM, undrain VM       takes a daemon out of the balancer's rotation, or back in
  explain MODEL ORG CHAT     where a chat would go, and why
  reference settings|reasons the page of all settings, or of all refusal reasons

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 somebody else published first,
4 published but not in force everywhere in time.
)";

    cxxopts::Options describe()
    {
        cxxopts::Options options("stagepostctl", "The operator's tool. Flags can be given as environment variables: --vm-list is STAGEPOST_VM_LIST.");
        options.positional_help("COMMAND [ARGUMENT...]");
        options.add_options()("log", "IP:PORT of the platform's append-only log", cxxopts::value<std::string>())("vm-list", "IP:PORT of the platform's list of VMs", cxxopts::value<std::string>())("operator-token", "the daemons' operator token", cxxopts::value<std::string>())("author", "who publishes (default: $USER)", cxxopts::value<std::string>())("base", "the revision that the published tree was made from (default: the one in force)", cxxopts::value<uint64_t>())("allow-removals", "publishes also what takes organisations, pools or services away")("timeout-ms", "how long publish waits until the tree is in force (default: 10000)", cxxopts::value<uint64_t>())("json", "prints JSON")("help", "prints this and exits")("words", "the command and its arguments", cxxopts::value<std::vector<std::string>>());
        options.parse_positional({ "words" });
        return options;
    }

    // Whom the system takes this process for, where no variable says it.
    std::string nameOfUser()
    {
        auto const* entry = getpwuid(geteuid());
        return entry ? std::string(entry->pw_name) : std::to_string(geteuid());
    }

    std::string textOrVariable(cxxopts::ParseResult const& parsed, char const* flag, char const* variable)
    {
        if (parsed.count(flag))
            return parsed[flag].as<std::string>();
        auto const* value = std::getenv(variable);
        return value ? value : "";
    }

    Result<std::optional<Endpoint>> endpointOf(cxxopts::ParseResult const& parsed, char const* flag, char const* variable)
    {
        auto const text = textOrVariable(parsed, flag, variable);
        if (text.empty())
            return std::optional<Endpoint> {};
        auto const endpoint = Endpoint::parse(text);
        if (!endpoint)
            return Error(ErrorCode::BadInput, "--" + std::string(flag) + ": " + endpoint.error().detail);
        return std::optional<Endpoint> { *endpoint };
    }

}

Result<CommandLine> CommandLine::parse(int argc, char const* const* argv)
{
    auto description = describe();
    try {
        auto const parsed = description.parse(argc, argv);
        CommandLine line;
        if (parsed.count("help")) {
            line.message = description.help() + commandHelp;
            return line;
        }
        if (!parsed.count("words"))
            return Error(ErrorCode::BadInput, "no command; see --help");
        line.arguments = parsed["words"].as<std::vector<std::string>>();
        line.command = line.arguments.front();
        line.arguments.erase(line.arguments.begin());
        line.log = TRY(endpointOf(parsed, "log", "STAGEPOST_LOG"));
        line.vmList = TRY(endpointOf(parsed, "vm-list", "STAGEPOST_VM_LIST"));
        line.operatorToken = textOrVariable(parsed, "operator-token", "STAGEPOST_OPERATOR_TOKEN");
        line.author = textOrVariable(parsed, "author", "USER");
        if (line.author.empty())
            line.author = nameOfUser();
        line.allowsRemovals = parsed.count("allow-removals") > 0;
        if (parsed.count("base"))
            line.base = parsed["base"].as<uint64_t>();
        if (parsed.count("timeout-ms"))
            line.timeoutMs = parsed["timeout-ms"].as<uint64_t>();
        line.wantsJson = parsed.count("json") > 0;
        return line;
    } catch (cxxopts::exceptions::exception const& failure) {
        return Error(ErrorCode::BadInput, failure.what());
    }
}

}

#include <stagepostctl/CommandLine.h>

#include <cstdlib>
#include <cxxopts.hpp>
#include <pwd.h>
#include <unistd.h>

namespace Stagepost {

namespace {

    constexpr char const* commandHelp = R"(
Commands:
  check FILE                 validates a settings file and reports what is wrong with it
  hash-token                 reads a bearer token from standard input and prints its hash
  publish FILE               publishes a settings file and waits until it is in force
  show [PATH [KEY]]          prints the settings in force: the whole file, the resolved
                             settings of a node with their origins, or one of them
  diff FILE                  prints what publishing the file would change
  history                    lists the publications retained in the log
  status                     prints the status of every daemon in the fleet
  drain VM, undrain VM       removes a daemon from the load balancer's rotation, or restores it
  explain MODEL ORG CHAT     lists the candidate upstreams for a chat in order of preference,
                             with their owners and loads
  rollouts IP:PORT...        prints the roll-outs that daemons of the users' platform carry out,
                             by the daemons' ready addresses
  reference settings|reasons prints the reference page of all settings or refusal reasons

Exit codes: 0 success, 1 failure, 2 usage error, 3 conflict with another publication,
4 published, but not in force on every daemon before the timeout.
)";

    cxxopts::Options createOptions()
    {
        cxxopts::Options options("stagepostctl", "Administers a Stagepost fleet. --log, --vm-list and --operator-token can also be set in the environment, e.g. STAGEPOST_VM_LIST for --vm-list.");
        options.positional_help("COMMAND [ARGUMENT...]");
        options.add_options()("log", "IP:PORT of the platform's append-only log", cxxopts::value<std::string>())("vm-list", "IP:PORT of the platform's VM list", cxxopts::value<std::string>())("operator-token", "the daemons' operator token", cxxopts::value<std::string>())("author", "author recorded with a publication (default: $USER)", cxxopts::value<std::string>())("base", "revision that the published settings are based on (default: the revision in force)", cxxopts::value<uint64_t>())("allow-removals", "allow a publication that removes organisations, pools or services")("timeout-ms", "how long publish waits for the settings to be in force (default: 10000)", cxxopts::value<uint64_t>())("json", "print JSON")("help", "print this help and exit")("words", "the command and its arguments", cxxopts::value<std::vector<std::string>>());
        options.parse_positional({ "words" });
        return options;
    }

    // The name of the effective user, used as the author when $USER is unset. Falls back to the
    // numeric user id if the user database has no entry.
    std::string effectiveUserName()
    {
        auto const* entry = getpwuid(geteuid());
        return entry ? std::string(entry->pw_name) : std::to_string(geteuid());
    }

    std::string flagOrEnvironment(cxxopts::ParseResult const& parsed, char const* flag, char const* variable)
    {
        if (parsed.count(flag))
            return parsed[flag].as<std::string>();
        auto const* value = std::getenv(variable);
        return value ? value : "";
    }

    Result<std::optional<Endpoint>> parseEndpoint(cxxopts::ParseResult const& parsed, char const* flag, char const* variable)
    {
        auto const text = flagOrEnvironment(parsed, flag, variable);
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
    auto description = createOptions();
    try {
        auto const parsed = description.parse(argc, argv);
        CommandLine line;
        if (parsed.count("help")) {
            line.helpText = description.help() + commandHelp;
            return line;
        }
        if (!parsed.count("words"))
            return Error(ErrorCode::BadInput, "missing command; see --help");
        line.arguments = parsed["words"].as<std::vector<std::string>>();
        line.command = line.arguments.front();
        line.arguments.erase(line.arguments.begin());
        line.log = TRY(parseEndpoint(parsed, "log", "STAGEPOST_LOG"));
        line.vmList = TRY(parseEndpoint(parsed, "vm-list", "STAGEPOST_VM_LIST"));
        line.operatorToken = flagOrEnvironment(parsed, "operator-token", "STAGEPOST_OPERATOR_TOKEN");
        line.author = flagOrEnvironment(parsed, "author", "USER");
        if (line.author.empty())
            line.author = effectiveUserName();
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

#include <stagepostd/Options.h>

#include <stagepostd/ClientLimitFlags.h>

namespace Stagepost {

namespace {

    std::vector<FlagDefinition> const flagDefinitions {
        { "name", "", "name of this VM in the platform's list of VMs", true },
        { "hall", "", "hall of this VM", true },
        { "listen", "", "IP:PORT for callers, health, metrics and the operator's tool", true },
        { "peer-listen", "", "IP:PORT (UDP) for other daemons", true },
        { "log", "", "IP:PORT of the platform's append-only log", true },
        { "vm-list", "", "IP:PORT of the platform's list of VMs", true },
        { "key", "", "key shared by all daemons of the fleet, at least 16 characters", true },
        { "operator-token", "", "bearer token of the operator's tool, at least 16 characters", true },
        { "log-level", "info", "debug, info, warning or error", false },
        { "drain-grace-ms", "2000", "how long a draining daemon still accepts requests, in ms", false },
        { "drain-limit-ms", "600000", "how long a draining daemon then waits for open requests, in ms", false },
        { "largest-body", "8388608", "maximum size of a request body, in bytes", false },
        { "largest-headers", "16384", "maximum size of a request's headers, in bytes", false },
        { "request-timeout-ms", "15000", "how long a caller may take to send a request, in ms", false },
        { "keep-alive-timeout-ms", "75000", "how long a connection may stay idle between requests, in ms", false },
        { "most-connections", "20000", "maximum number of open connections from callers", false },
    };

    constexpr size_t minSecretLength = 16;
    constexpr Milliseconds hour { 3600000 };

    Result<Options> readOptions(Flags const& flags)
    {
        constexpr uint64_t gigabyte = 1u << 30;
        Options options;
        options.name = TRY(flags.text("name"));
        options.hall = TRY(flags.text("hall"));
        options.listen = TRY(flags.endpoint("listen"));
        options.peerListen = TRY(flags.endpoint("peer-listen"));
        options.log = TRY(flags.endpoint("log"));
        options.vmList = TRY(flags.endpoint("vm-list"));
        options.key = TRY(flags.secret("key", minSecretLength));
        options.operatorToken = TRY(flags.secret("operator-token", minSecretLength));
        options.logLevel = TRY(flags.oneOf("log-level", { "debug", "info", "warning", "error" }));
        options.drainGrace = TRY(flags.duration("drain-grace-ms", Milliseconds(0), hour));
        options.drainLimit = TRY(flags.duration("drain-limit-ms", Milliseconds(0), 24 * hour));
        options.http.maxBodySize = TRY(flags.number("largest-body", 1, gigabyte));
        options.http.maxHeaderSize = TRY(flags.number("largest-headers", 256, 1 << 20));
        options.http.requestTimeout = TRY(flags.duration("request-timeout-ms", Milliseconds(1), hour));
        options.http.keepAliveTimeout = TRY(flags.duration("keep-alive-timeout-ms", Milliseconds(1), hour));
        options.http.maxConnections = TRY(flags.number("most-connections", 1, 1000000));
        options.clients = TRY(readClientLimits(flags));
        options.clients.connections = std::min(options.clients.connections, options.http.maxConnections);
        options.http.apply(options.clients);
        return options;
    }

}

Result<Options> Options::parse(int argc, char const* const* argv)
{
    auto const flags = TRY(Flags::parse("stagepostd", "The daemon of one entry VM.", withClientLimitFlags(flagDefinitions), argc, argv));
    if (flags.message().empty())
        return readOptions(flags);
    Options options;
    options.printsMessage = true;
    options.message = flags.message();
    return options;
}

}

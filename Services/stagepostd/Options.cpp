#include <stagepostd/Options.h>

#include <stagepostd/Flags.h>

namespace Stagepost {

namespace {

    std::vector<FlagRow> const flagRows {
        { "name", "", "this VM's name in the platform's list", true },
        { "hall", "", "this VM's hall", true },
        { "listen", "", "IP:PORT for callers, health, metrics and the operator's tool", true },
        { "peer-listen", "", "IP:PORT (UDP) for other daemons", true },
        { "log", "", "IP:PORT of the platform's append-only log", true },
        { "vm-list", "", "IP:PORT of the platform's list of VMs", true },
        { "key", "", "the key that all daemons of the fleet share, 16 characters or more", true },
        { "operator-token", "", "the bearer token of the operator's tool, 16 characters or more", true },
        { "log-level", "info", "debug, info, warning or error", false },
        { "drain-grace-ms", "2000", "how long a draining daemon still takes requests", false },
        { "drain-limit-ms", "600000", "how long a draining daemon lets streams finish", false },
        { "largest-body", "8388608", "the largest request body, in bytes", false },
        { "largest-headers", "16384", "the largest request header, in bytes", false },
        { "request-timeout-ms", "15000", "how long a caller may take to send a request", false },
        { "keep-alive-timeout-ms", "75000", "how long a connection may stay idle between requests", false },
        { "most-connections", "20000", "the most callers' connections at once", false },
    };

    constexpr size_t leastKeySize = 16;
    constexpr Milliseconds hour { 3600000 };

    Result<Options> read(Flags const& flags)
    {
        constexpr uint64_t gigabyte = 1u << 30;
        Options options;
        options.name = TRY(flags.text("name"));
        options.hall = TRY(flags.text("hall"));
        options.listen = TRY(flags.endpoint("listen"));
        options.peerListen = TRY(flags.endpoint("peer-listen"));
        options.log = TRY(flags.endpoint("log"));
        options.vmList = TRY(flags.endpoint("vm-list"));
        options.key = TRY(flags.secret("key", leastKeySize));
        options.operatorToken = TRY(flags.secret("operator-token", leastKeySize));
        options.logLevel = TRY(flags.oneOf("log-level", { "debug", "info", "warning", "error" }));
        options.drainGrace = TRY(flags.duration("drain-grace-ms", Milliseconds(0), hour));
        options.drainLimit = TRY(flags.duration("drain-limit-ms", Milliseconds(0), 24 * hour));
        options.http.maxBodySize = TRY(flags.number("largest-body", 1, gigabyte));
        options.http.maxHeaderSize = TRY(flags.number("largest-headers", 256, 1 << 20));
        options.http.requestTimeout = TRY(flags.duration("request-timeout-ms", Milliseconds(1), hour));
        options.http.keepAliveTimeout = TRY(flags.duration("keep-alive-timeout-ms", Milliseconds(1), hour));
        options.http.maxConnections = TRY(flags.number("most-connections", 1, 1000000));
        return options;
    }

}

Result<Options> Options::parse(int argc, char const* const* argv)
{
    auto const flags = TRY(Flags::parse("stagepostd", "The daemon of one entry VM.", flagRows, argc, argv));
    if (flags.message().empty())
        return read(flags);
    Options options;
    options.isHelp = true;
    options.message = flags.message();
    return options;
}

}

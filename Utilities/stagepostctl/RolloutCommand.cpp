#include <stagepostctl/Commands.h>

#include <iostream>
#include <stagepostctl/FleetConnection.h>

namespace Stagepost {

namespace {

    constexpr unsigned statusOk = 200;

    Result<std::string> fetchRollouts(FleetConnection& connection, std::string const& address)
    {
        auto const endpoint = TRY(Endpoint::parse(address));
        auto const reply = TRY(connection.fetch(endpoint, { "GET", "/rollouts", {}, {} }));
        if (reply.status != statusOk)
            return Error(ErrorCode::NotFound, "status " + std::to_string(reply.status) + "; roll-outs may be switched off there");
        return reply.body;
    }

}

// The platform's daemons have no VM list and no operator token, so they are named by their ready
// addresses.
ExitCode showRollouts(CommandLine const& line)
{
    if (line.arguments.empty())
        return fail(Error(ErrorCode::BadInput, "rollouts requires the ready address of at least one daemon"));
    EventLoop loop;
    FleetConnection connection(loop, {}, {});
    bool areAllReachable = true;
    for (auto const& address : line.arguments) {
        auto const text = fetchRollouts(connection, address);
        areAllReachable = areAllReachable && text;
        std::cout << "daemon " << address << '\n'
                  << (text ? *text : "error: " + text.error().message() + '\n');
    }
    return areAllReachable ? ExitCode::Done : ExitCode::Failed;
}

}

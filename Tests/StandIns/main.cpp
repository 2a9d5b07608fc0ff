#include <StandIns/EngineStandIn.h>
#include <StandIns/LogStandIn.h>
#include <StandIns/ServiceStandIn.h>
#include <StandIns/VMListStandIn.h>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace Stagepost;

int usage()
{
    std::cerr << "usage: stagepost-stand-in engine|service|log|vm-list IP:PORT [NAME [TOKEN_MS]]\n";
    return 2;
}

}

int main(int argc, char** argv)
{
    if (argc < 3)
        return usage();
    std::string const role = argv[1];
    auto const endpoint = Endpoint::parse(argv[2]);
    if (!endpoint)
        return usage();
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    StandIns::EngineStandIn::Options engineOptions;
    if (argc > 3)
        engineOptions.name = argv[3];
    if (argc > 4)
        engineOptions.tokenInterval = Milliseconds(std::atoi(argv[4]));
    StandIns::EngineStandIn engine(loop, engineOptions);
    StandIns::ServiceStandIn service(loop);
    StandIns::LogStandIn log(loop);
    StandIns::VMListStandIn vmList(loop);
    Endpoint boundEndpoint;
    if (role == "engine")
        boundEndpoint = engine.listen(*endpoint);
    else if (role == "service")
        boundEndpoint = service.listen(*endpoint);
    else if (role == "log")
        boundEndpoint = log.listen(*endpoint);
    else if (role == "vm-list")
        boundEndpoint = vmList.listen(*endpoint);
    else
        return usage();
    // Reports the bound endpoint to the parent process.
    std::cout << boundEndpoint.toString() << std::endl;
    loop.onSignals({ SIGTERM, SIGINT }, [&](int) { loop.stop(); });
    loop.run();
    return 0;
}

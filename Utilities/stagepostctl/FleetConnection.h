#pragma once

#include <LibPlatform/VMList.h>
#include <LibProxy/HttpClient.h>
#include <string>
#include <vector>

namespace Stagepost {

// Calls the platform's list and the daemons, and waits for their answers.
class FleetConnection {
public:
    FleetConnection(EventLoop&, Endpoint vmList, std::string operatorToken);

    // The entry VMs of the platform's list. Errors: PlatformDown, Malformed.
    Result<std::vector<VMEntry>> entryVMs();
    // The result of a JSON-RPC call, as JSON. Errors: Unreachable, BadInput.
    Result<std::string> call(VMEntry const&, std::string const& method, std::string const& parametersJson = "{}");

private:
    Result<HttpResponse> fetch(Endpoint const&, HttpRequest);

    EventLoop& m_loop;
    HttpClient m_client;
    Endpoint m_vmList;
    std::string m_operatorToken;
};

}

#pragma once

#include <LibPlatform/VMList.h>
#include <LibProxy/HttpClient.h>
#include <string>
#include <vector>

namespace Stagepost {

// Blocking client for the platform's VM list and the daemons' JSON-RPC interface.
class FleetConnection {
public:
    FleetConnection(EventLoop&, Endpoint vmList, std::string operatorToken);

    // Returns the entry VMs from the VM list. Errors: those of HttpClient::fetch() and VMList::apply().
    Result<std::vector<VMEntry>> entryVMs();
    // Calls a JSON-RPC method of a daemon and returns its result as JSON. Errors: those of
    // HttpClient::fetch(); Forged for an HTTP status other than 200; BadInput for a JSON-RPC error.
    Result<std::string> call(VMEntry const&, std::string const& method, std::string const& parametersJson = "{}");

    // Makes one HTTP call. Errors: those of HttpClient::fetch().
    Result<HttpResponse> fetch(Endpoint const&, HttpRequest);

private:
    EventLoop& m_loop;
    HttpClient m_client;
    Endpoint m_vmList;
    std::string m_operatorToken;
};

}

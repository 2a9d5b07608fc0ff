#include <stagepostctl/FleetConnection.h>

#include <stagepostctl/RpcClient.h>

namespace Stagepost {

namespace {

    constexpr Milliseconds callTimeout { 3000 };

}

FleetConnection::FleetConnection(EventLoop& loop, Endpoint vmList, std::string operatorToken)
    : m_loop(loop)
    , m_client(loop)
    , m_vmList(std::move(vmList))
    , m_operatorToken(std::move(operatorToken))
{
}

Result<HttpResponse> FleetConnection::fetch(Endpoint const& endpoint, HttpRequest call)
{
    Result<HttpResponse> result = Error(ErrorCode::Unreachable, "no response");
    m_client.fetch(endpoint, std::move(call), callTimeout, [&](Result<HttpResponse> reply) {
        result = std::move(reply);
        m_loop.stop();
    });
    m_loop.run();
    return result;
}

Result<std::vector<VMEntry>> FleetConnection::entryVMs()
{
    auto const reply = TRY(fetch(m_vmList, { "GET", "/v1/vms?since=0&wait_ms=0", {}, {} }));
    VMList list;
    TRY(list.apply(reply.body));
    std::vector<VMEntry> entries;
    for (auto const& [id, entry] : list.entries()) {
        if (entry.role == VMRole::Entry)
            entries.push_back(entry);
    }
    return entries;
}

Result<std::string> FleetConnection::call(VMEntry const& vm, std::string const& method, std::string const& parametersJson)
{
    Error failure;
    auto const send = [&](std::string const& request) -> std::string {
        auto const reply = fetch(vm.endpoint, { "POST", "/rpc", { { "Authorization", "Bearer " + m_operatorToken }, { "Content-Type", "application/json" } }, request });
        if (!reply)
            failure = reply.error();
        else if (reply->status != 200)
            failure = Error(ErrorCode::NotAuthenticated, vm.name + " returned HTTP status " + std::to_string(reply->status) + ": " + reply->body);
        return reply && reply->status == 200 ? reply->body : "";
    };
    auto result = callRpc(send, method, parametersJson);
    if (failure.code)
        return failure;
    if (!result.error.empty())
        return Error(ErrorCode::BadInput, vm.name + ": " + result.error);
    return result.json;
}

}

#include <LibPlatform/FetchHook.h>

#include <LibProxy/HttpClient.h>

namespace Stagepost {

FetchHook makeFetchHook(HttpClient& client)
{
    return [&client](Endpoint const& endpoint, HttpRequest call, Milliseconds timeout, HttpClient::Callback callback) {
        client.fetch(endpoint, std::move(call), timeout, std::move(callback));
    };
}

}

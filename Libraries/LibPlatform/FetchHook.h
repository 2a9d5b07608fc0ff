#pragma once

#include <LibBase/Result.h>
#include <LibBase/Time.h>
#include <LibProxy/Endpoint.h>
#include <LibProxy/HttpMessage.h>
#include <functional>

namespace Stagepost {

class HttpClient;

// Makes one HTTP call and invokes the callback once. Errors: those of HttpClient::fetch().
using FetchHook = std::function<void(Endpoint const&, HttpRequest, Milliseconds timeout, std::function<void(Result<HttpResponse>)>)>;

// Returns a hook that makes its calls with the client, which must outlive the hook.
FetchHook makeFetchHook(HttpClient&);

}

#pragma once

#include <LibBase/Result.h>
#include <LibBase/Time.h>
#include <LibProxy/Endpoint.h>
#include <LibProxy/EventLoop.h>
#include <LibProxy/HttpMessage.h>

namespace Stagepost {

// Sends requests whose response is buffered in memory as a whole: to the platform
// and between daemons.
class HttpClient {
public:
    static constexpr size_t maxResponseBodySize = 16u << 20; // bytes
    using Callback = std::function<void(Result<HttpResponse>)>;

    explicit HttpClient(EventLoop& loop)
        : m_loop(loop)
    {
    }

    // Calls back exactly once. The timeout covers the time until the first bytes of the
    // response and each pause between later reads. A response that keeps arriving may
    // take several timeouts in total.
    // Errors: Unreachable if the connection failed, so the request cannot have run;
    // Timeout or Malformed if it may have run.
    void fetch(Endpoint const&, HttpRequest, Milliseconds timeout, Callback);

private:
    EventLoop& m_loop;
};

}

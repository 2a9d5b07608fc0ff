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

    // A response with a larger body, in bytes, is malformed.
    explicit HttpClient(EventLoop& loop, size_t maxBodySize = maxResponseBodySize)
        : m_loop(loop)
        , m_maxBodySize(maxBodySize)
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
    size_t m_maxBodySize;
};

}

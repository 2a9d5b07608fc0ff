#pragma once

#include <LibBase/Result.h>
#include <LibBase/Time.h>
#include <LibProxy/Endpoint.h>
#include <LibProxy/EventLoop.h>
#include <LibProxy/HttpMessage.h>

namespace Stagepost {

// Makes small calls whose whole answer fits in memory: to the platform and
// between daemons.
class HttpClient {
public:
    static constexpr size_t largestAnswer = 16u << 20;
    using Callback = std::function<void(Result<HttpReply>)>;

    explicit HttpClient(EventLoop& loop)
        : m_loop(loop)
    {
    }

    // Calls back exactly once. The time-out is for the call until its answer begins, and
    // for each pause within the answer; one that goes on may take a few times as long.
    // Errors: Unreachable where not one byte was sent,
    // so the call has not run; Timeout or Malformed where it may have run.
    void fetch(Endpoint const&, HttpCall, Milliseconds timeout, Callback);

private:
    EventLoop& m_loop;
};

}

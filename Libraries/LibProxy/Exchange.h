#pragma once

#include <LibProxy/ForwardPlan.h>
#include <LibProxy/ForwardResult.h>
#include <functional>
#include <memory>

namespace Stagepost {

// One request of a client, until its response is complete. The handler calls
// respond() or forward(), immediately or later. When a forward fails before any
// of its response was written to the client, the handler calls one of them again.
class Exchange {
public:
    using ForwardCallback = std::function<void(ForwardResult const&)>;

    Exchange() = default;
    virtual ~Exchange() = default;
    Exchange(Exchange const&) = delete;
    Exchange& operator=(Exchange const&) = delete;

    virtual HttpRequest const& request() const = 0;
    virtual void respond(HttpResponse) = 0;
    virtual void forward(ForwardPlan, ForwardCallback) = 0;
    // Gives the forward in progress up, for another one. Unless it has ended meanwhile, its callback gets
    // UpstreamSlow as the failure.
    virtual void stopForward() = 0;
    // Truncates the response by closing the client's connection. After a failure of a
    // response that has started and can be continued, the handler either forwards the request again or
    // aborts the exchange. Every other response that fails after its start is truncated
    // without a call to abort().
    virtual void abort() = 0;

    // Calls back at most once, if the client disconnects before its response is complete.
    virtual void onClientDisconnect(std::function<void()>) = 0;
    virtual bool isClientDisconnected() const = 0;
};

using ExchangeHandler = std::function<void(std::shared_ptr<Exchange>)>;

}

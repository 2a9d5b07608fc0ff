#pragma once

#include <LibProxy/ForwardPlan.h>
#include <LibProxy/ForwardResult.h>
#include <functional>
#include <memory>

namespace Stagepost {

// One request of a caller, until it has its answer. The handler answers it by
// respond() or forward(), at once or later; when a forward fails before the
// caller has seen any of its answer, the handler chooses again.
class Exchange {
public:
    using Finished = std::function<void(ForwardResult const&)>;

    Exchange() = default;
    virtual ~Exchange() = default;
    Exchange(Exchange const&) = delete;
    Exchange& operator=(Exchange const&) = delete;

    virtual HttpCall const& call() const = 0;
    virtual void respond(HttpReply) = 0;
    virtual void forward(ForwardPlan, Finished) = 0;
    // Breaks the answer off where it is, by closing the caller's connection. A
    // stream of events that failed on the way is either forwarded again or
    // abandoned; every other answer that fails after its start is broken off
    // without asking.
    virtual void abandon() = 0;

    // Called at most once, when the caller leaves before its answer is complete.
    virtual void onCallerGone(std::function<void()>) = 0;
    virtual bool isCallerGone() const = 0;
};

using ExchangeHandler = std::function<void(std::shared_ptr<Exchange>)>;

}

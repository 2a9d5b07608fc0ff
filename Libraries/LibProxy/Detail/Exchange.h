#pragma once

#include <LibProxy/Detail/Native.h>
#include <LibProxy/Exchange.h>
#include <variant>

namespace Stagepost {

// The session's side of an exchange: it waits here for the handler's choice.
class SessionExchange final : public Exchange {
public:
    struct ForwardChoice {
        ForwardPlan plan;
        Finished finished;
    };
    using Choice = std::variant<std::monostate, HttpReply, ForwardChoice>;

    SessionExchange(Net::io_context& context, HttpCall call)
        : m_call(std::move(call))
        , m_chosen(context, ClockTimer::time_point::max())
    {
    }

    HttpCall const& call() const override { return m_call; }
    void respond(HttpReply reply) override { choose(std::move(reply)); }
    void forward(ForwardPlan plan, Finished finished) override { choose(ForwardChoice { std::move(plan), std::move(finished) }); }
    void abandon() override
    {
        m_isAbandoned = true;
        m_chosen.cancel();
    }
    void onCallerGone(std::function<void()> callback) override { m_callerGoneHook = std::move(callback); }
    bool isCallerGone() const override { return m_callerGone; }

    // Waits until the handler has chosen or the caller has gone; the choice is
    // empty when the caller has gone or the answer is abandoned.
    Net::awaitable<Choice> nextChoice();

    void callerHasGone();

    // The upstream stream in use, which a leaving caller closes.
    void setUpstream(TcpStream* stream) { m_upstream = stream; }

private:
    void choose(Choice);

    HttpCall m_call;
    ClockTimer m_chosen;
    Choice m_choice;
    std::function<void()> m_callerGoneHook;
    TcpStream* m_upstream { nullptr };
    bool m_callerGone { false };
    bool m_isAbandoned { false };
};

}

#pragma once

#include <LibProxy/ClientMemory.h>
#include <LibProxy/Detail/UpstreamConnections.h>
#include <LibProxy/Exchange.h>
#include <variant>

namespace Stagepost {

// The session's implementation of an exchange. The session waits in nextAction() for
// the handler to respond or forward.
class SessionExchange final : public Exchange {
public:
    struct ForwardAction {
        ForwardPlan plan;
        ForwardCallback callback;
    };
    using Action = std::variant<std::monostate, HttpResponse, ForwardAction>;

    // The charge counts what is held of the answer.
    // Actions that come too late are reported to the hook.
    SessionExchange(Net::io_context& context, HttpRequest request, ClientMemory::Charge answerCharge = {}, std::function<void()> onLateAction = {})
        : m_context(context)
        , m_request(std::move(request))
        , m_answerCharge(std::move(answerCharge))
        , m_onLateAction(std::move(onLateAction))
        , m_actionReady(context, ClockTimer::time_point::max())
    {
    }

    HttpRequest const& request() const override { return m_request; }
    void respond(HttpResponse) override;
    void forward(ForwardPlan, ForwardCallback) override;
    void stopForward() override;
    void abort() override;
    void onClientDisconnect(std::function<void()> callback) override { m_disconnectCallback = std::move(callback); }
    bool isClientDisconnected() const override { return m_isClientDisconnected; }

    // Waits for the handler's next action. The action is empty if the client has
    // disconnected or the exchange was aborted. A forward that does not take place any more
    // fails as one whose client has left.
    Net::awaitable<Action> nextAction();

    void handleClientDisconnect();
    // The session waits for no further action, since the request was answered or its client has left.
    void end();

    // The upstream connection in use, which is closed if the client disconnects.
    void setUpstream(UpstreamConnection* connection)
    {
        m_upstream = connection;
        m_isForwardStopped = false;
    }
    bool isForwardStopped() const { return m_isForwardStopped; }

    // Counts that many bytes of the answer, which are held in any case.
    void hold(size_t bytes) { m_answerCharge.resize(bytes); }
    // Returns whether there is memory to hold that many bytes of the answer.
    bool mayHold(size_t bytes, ClientMemory::Use use) { return m_answerCharge.tryResize(bytes, use, nullptr); }

private:
    // What the handler may do next.
    enum class State : uint8_t {
        // Answer or forward.
        Open,
        // Wait for the callback of the forward.
        Forwarding,
        // Nothing: the answer may say that the request has not run.
        Answered,
    };

    bool mayAct();
    void setAction(Action);

    Net::io_context& m_context;
    HttpRequest m_request;
    ClientMemory::Charge m_answerCharge;
    std::function<void()> m_onLateAction;
    State m_state { State::Open };
    // Never expires: cancelling it wakes nextAction().
    ClockTimer m_actionReady;
    Action m_action;
    std::function<void()> m_disconnectCallback;
    UpstreamConnection* m_upstream { nullptr };
    bool m_isClientDisconnected { false };
    bool m_isAborted { false };
    // The session waits for no further action.
    bool m_isEnded { false };
    bool m_isForwardStopped { false };
};

}

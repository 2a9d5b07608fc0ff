#include <LibProxy/Detail/Exchange.h>

namespace Stagepost {

namespace {

    ForwardResult callerGone()
    {
        ForwardResult result;
        result.verdict = NotRunProof::nothingSent();
        result.failure = RefusalReason::CallerGone;
        result.detail = "the client left before its request was sent";
        return result;
    }

    // Another forward of the request may have run it, or still run it.
    ForwardResult lateForward()
    {
        ForwardResult result;
        result.failure = RefusalReason::CallerGone;
        result.detail = "the request is answered or under way already";
        return result;
    }

}

// Each callback runs exactly once, since handlers count their requests from the call of forward() on.
void SessionExchange::forward(ForwardPlan plan, ForwardCallback callback)
{
    if (!mayAct()) {
        auto result = m_state == State::Open ? callerGone() : lateForward();
        Net::post(m_context, [callback = std::move(callback), result = std::move(result)] { callback(result); });
        return;
    }
    m_state = State::Forwarding;
    setAction(ForwardAction { std::move(plan), [this, callback = std::move(callback)](ForwardResult const& result) {
                                 m_state = State::Open;
                                 callback(result);
                             } });
}

void SessionExchange::respond(HttpResponse response)
{
    if (!mayAct())
        return;
    m_state = State::Answered;
    setAction(std::move(response));
}

void SessionExchange::abort()
{
    if (m_state == State::Answered)
        return;
    m_isAborted = true;
    m_actionReady.cancel();
}

// A request is never sent after its answer, and is answered or sent again only once its forward has ended. Otherwise it
// could run after its caller was told that it has not.
bool SessionExchange::mayAct()
{
    if (m_state == State::Open)
        return !m_isEnded;
    if (m_onLateAction)
        m_onLateAction();
    return false;
}

void SessionExchange::end()
{
    m_isEnded = true;
    auto const action = std::exchange(m_action, Action {});
    if (auto const* forward = std::get_if<ForwardAction>(&action))
        forward->callback(callerGone());
}

void SessionExchange::setAction(Action action)
{
    m_action = std::move(action);
    m_actionReady.cancel();
}

Net::awaitable<SessionExchange::Action> SessionExchange::nextAction()
{
    while (std::holds_alternative<std::monostate>(m_action) && !m_isClientDisconnected && !m_isAborted)
        co_await m_actionReady.async_wait(useTuple);
    if (m_isClientDisconnected || m_isAborted) {
        end();
        co_return Action {};
    }
    co_return std::exchange(m_action, Action {});
}

void SessionExchange::stopForward()
{
    if (!m_upstream)
        return;
    m_isForwardStopped = true;
    m_upstream->close();
}

void SessionExchange::handleClientDisconnect()
{
    if (m_isClientDisconnected)
        return;
    m_isClientDisconnected = true;
    m_actionReady.cancel();
    if (m_upstream)
        m_upstream->close();
    if (auto const callback = std::exchange(m_disconnectCallback, nullptr))
        callback();
}

}

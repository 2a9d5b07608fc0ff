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

}

// Each callback runs exactly once, since handlers count their requests from the call of forward() on.
void SessionExchange::forward(ForwardPlan plan, ForwardCallback callback)
{
    if (m_isEnded)
        Net::post(m_context, [callback = std::move(callback)] { callback(callerGone()); });
    else
        setAction(ForwardAction { std::move(plan), std::move(callback) });
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

#include <LibProxy/Detail/Exchange.h>

namespace Stagepost {

void SessionExchange::setAction(Action action)
{
    m_action = std::move(action);
    m_actionReady.cancel();
}

Net::awaitable<SessionExchange::Action> SessionExchange::nextAction()
{
    while (std::holds_alternative<std::monostate>(m_action) && !m_isClientDisconnected && !m_isAborted)
        co_await m_actionReady.async_wait(useTuple);
    if (m_isClientDisconnected || m_isAborted)
        co_return Action {};
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

#include <LibProxy/Detail/Exchange.h>

namespace Stagepost {

void SessionExchange::choose(Choice choice)
{
    m_choice = std::move(choice);
    m_chosen.cancel();
}

Net::awaitable<SessionExchange::Choice> SessionExchange::nextChoice()
{
    while (std::holds_alternative<std::monostate>(m_choice) && !m_callerGone && !m_isAbandoned)
        co_await m_chosen.async_wait(useTuple);
    if (m_callerGone || m_isAbandoned)
        co_return Choice {};
    co_return std::exchange(m_choice, Choice {});
}

void SessionExchange::callerHasGone()
{
    if (m_callerGone)
        return;
    m_callerGone = true;
    m_chosen.cancel();
    if (m_upstream)
        m_upstream->close();
    if (auto const hook = std::exchange(m_callerGoneHook, nullptr))
        hook();
}

}

#include <LibRouting/StreamOriginLogRelay.h>

#include <algorithm>

namespace Stagepost {

Result<void> StreamOriginLogRelay::receive(std::string_view bytes)
{
    for (auto const& record : TRY(StreamOriginBatch::decode(bytes)))
        add(record);
    return {};
}

void StreamOriginLogRelay::peerStarted(VMId peer)
{
    if (m_appender == peer)
        passAgain();
}

void StreamOriginLogRelay::passAgain()
{
    for (auto const& passed : m_passed)
        m_waiting.push_back(passed.record);
    m_passed.clear();
}

void StreamOriginLogRelay::tick(Instant now)
{
    while (!m_passed.empty() && now - m_passed.front().at > m_bounds.repetitionTime)
        m_passed.pop_front();
    auto const appender = m_hooks.appender();
    if (m_appender != appender)
        passAgain();
    m_appender = appender;
    if (!appender) {
        for (auto const& record : std::exchange(m_waiting, {}))
            m_hooks.append(record);
    } else if (!m_waiting.empty() && now >= m_nextMessageAt) {
        m_nextMessageAt = now + m_bounds.interval;
        passOn(*appender, now);
    }
}

void StreamOriginLogRelay::passOn(VMId to, Instant now)
{
    auto const waiting = std::exchange(m_waiting, {});
    for (size_t first = 0; first < waiting.size(); first += m_bounds.maxRecordsPerMessage) {
        auto const begin = waiting.begin() + static_cast<std::ptrdiff_t>(first);
        auto const count = std::min(m_bounds.maxRecordsPerMessage, waiting.size() - first);
        m_hooks.send(to, StreamOriginBatch::encode({ begin, begin + static_cast<std::ptrdiff_t>(count) }));
    }
    for (auto const& record : waiting)
        m_passed.push_back({ record, now });
    while (m_passed.size() > m_bounds.maxRecords)
        m_passed.pop_front();
}

}

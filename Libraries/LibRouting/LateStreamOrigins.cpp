#include <LibRouting/LateStreamOrigins.h>

#include <algorithm>

namespace Stagepost {

void LateStreamOrigins::add(std::string const& service, StreamOriginRecord const& record, Instant now)
{
    auto& late = m_late[service];
    late.push_back({ record, now + record.lifetime });
    if (late.size() > m_bounds.maxRecords)
        late.pop_front();
}

void LateStreamOrigins::expire(Instant now)
{
    for (auto& [service, late] : m_late) {
        while (!late.empty() && late.front().expiresAt <= now)
            late.pop_front();
    }
    std::erase_if(m_late, [](auto const& entry) { return entry.second.empty(); });
}

void LateStreamOrigins::send(bool isLargeFleet, Instant now)
{
    auto const perSecond = isLargeFleet ? m_bounds.perSecondInLargeFleet : m_bounds.perSecond;
    Microseconds const interval(static_cast<int64_t>(1e6 / perSecond));
    for (auto& [service, late] : m_late) {
        if (!m_hooks.needsRecords(service, now))
            continue;
        m_nextAt = std::max(m_nextAt, now - m_bounds.burst);
        for (; !late.empty() && m_nextAt <= now; late.pop_back()) {
            auto const& latest = late.back();
            if (latest.expiresAt <= now)
                continue;
            m_hooks.send({ latest.record.stream, latest.record.version, latest.expiresAt - now });
            m_nextAt += interval;
        }
    }
}

}

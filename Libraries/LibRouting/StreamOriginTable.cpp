#include <LibRouting/StreamOriginTable.h>

#include <algorithm>

namespace Stagepost {

void StreamOriginTable::record(StreamId stream, VersionId version, Instant expiresAt)
{
    auto const [entry, isNew] = m_records.try_emplace(stream, Record { version, expiresAt });
    if (!isNew && expiresAt <= entry->second.expiresAt)
        return;
    entry->second.expiresAt = expiresAt;
    m_expiries.emplace(expiresAt, stream);
    while (m_records.size() > m_maxRecords) {
        m_records.erase(m_expiries.begin()->second);
        m_expiries.erase(m_expiries.begin());
    }
}

std::optional<VersionId> StreamOriginTable::find(StreamId stream, Instant now) const
{
    auto const found = m_records.find(stream);
    return found == m_records.end() || found->second.expiresAt <= now ? std::nullopt : std::optional(found->second.version);
}

void StreamOriginTable::expire(Instant now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        auto const found = m_records.find(m_expiries.begin()->second);
        if (found != m_records.end() && found->second.expiresAt <= now)
            m_records.erase(found);
        m_expiries.erase(m_expiries.begin());
    }
}

}

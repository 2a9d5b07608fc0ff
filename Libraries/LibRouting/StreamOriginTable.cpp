#include <LibRouting/StreamOriginTable.h>

namespace Stagepost {

std::optional<Instant> StreamOriginTable::record(StreamId stream, VersionId version, Instant expiresAt, Arrival arrival)
{
    auto const [entry, isNew] = m_records.try_emplace(stream, Record { version, expiresAt, arrival, {} });
    if (!isNew) {
        if (version != entry->second.version)
            entry->second.contradicting = version;
        if (expiresAt <= entry->second.expiresAt)
            return {};
        m_expiries.erase({ entry->second.expiresAt, stream });
        entry->second.expiresAt = expiresAt;
    }
    m_expiries.emplace(expiresAt, stream);
    if (m_records.size() <= m_maxRecords)
        return {};
    auto const dropped = m_expiries.begin()->first;
    eraseFirst();
    return dropped;
}

std::optional<VersionId> StreamOriginTable::find(StreamId stream, Instant now) const
{
    auto const* record = findRecord(stream, now);
    return record && !record->contradicting ? std::optional(record->version) : std::nullopt;
}

StreamOriginTable::Record const* StreamOriginTable::findRecord(StreamId stream, Instant now) const
{
    auto const found = m_records.find(stream);
    return found == m_records.end() || found->second.expiresAt <= now ? nullptr : &found->second;
}

void StreamOriginTable::eraseFirst()
{
    m_records.erase(m_expiries.begin()->second);
    m_expiries.erase(m_expiries.begin());
}

void StreamOriginTable::expire(Instant now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now)
        eraseFirst();
}

}

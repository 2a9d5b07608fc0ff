#include <LibMembership/UpstreamDirectory.h>

#include <LibBase/Hash.h>
#include <set>

namespace Stagepost {

void UpstreamDirectory::confirm(Instant readSentAt, Instant now)
{
    auto const age = m_age.age(readSentAt);
    if (age && *age > m_bounds.outage)
        m_graceUntil = now + m_bounds.returnGrace;
    m_age.confirm(readSentAt);
}

void UpstreamDirectory::put(UpstreamRecord record, Instant)
{
    m_lapsed.erase(record.instance);
    auto& known = m_records[record.instance];
    if (known == record)
        return;
    known = std::move(record);
    m_changed();
}

void UpstreamDirectory::remove(std::string const& instance, Instant now)
{
    if (!m_records.contains(instance))
        return;
    if (isGracious(now)) {
        m_lapsed.emplace(instance, m_graceUntil);
        return;
    }
    m_lapsed.erase(instance);
    m_records.erase(instance);
    m_changed();
}

void UpstreamDirectory::replace(std::vector<UpstreamRecord> const& list, Instant now)
{
    m_hasList = true;
    std::set<std::string> listed;
    for (auto const& record : list) {
        listed.insert(record.instance);
        put(record, now);
    }
    std::vector<std::string> missing;
    for (auto const& [instance, record] : m_records) {
        if (!listed.contains(instance))
            missing.push_back(instance);
    }
    for (auto const& instance : missing)
        remove(instance, now);
}

void UpstreamDirectory::tick(Instant now)
{
    std::vector<std::string> over;
    for (auto const& [instance, until] : m_lapsed) {
        if (now >= until)
            over.push_back(instance);
    }
    for (auto const& instance : over)
        remove(instance, now);
}

uint64_t UpstreamDirectory::hash() const
{
    uint64_t result = 0;
    for (auto const& [instance, record] : m_records) {
        for (auto const& text : { instance, record.service, record.address, record.hall })
            result = mixHashes(result, hashOf(text));
        result = mixHashes(result, record.slots * 2 + (record.isLeaving ? 1 : 0));
    }
    return result;
}

}

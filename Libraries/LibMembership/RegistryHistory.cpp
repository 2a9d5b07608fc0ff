#include <LibMembership/RegistryHistory.h>

#include <algorithm>

namespace Stagepost {

void RegistryHistory::reset(uint64_t version)
{
    m_changes.clear();
    m_version = version;
    m_baseVersion = version;
}

void RegistryHistory::add(std::vector<RegistryRecord> const& records, uint64_t version)
{
    for (auto const& record : records)
        m_changes.push_back({ record, version });
    m_version = version;
    for (; m_changes.size() > maxChanges; m_changes.pop_front())
        m_baseVersion = m_changes.front().version;
}

std::optional<std::vector<RegistryRecord>> RegistryHistory::changesSince(uint64_t version) const
{
    if (version < m_baseVersion || version > m_version)
        return {};
    std::vector<RegistryRecord> newest;
    for (auto const& change : m_changes) {
        if (change.version <= version)
            continue;
        std::erase_if(newest, [&](auto const& known) { return known.name == change.record.name; });
        newest.push_back(change.record);
    }
    if (newest.size() > maxRecordsPerMessage)
        return {};
    return newest;
}

}

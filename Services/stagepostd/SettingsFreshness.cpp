#include <stagepostd/SettingsFreshness.h>

#include <algorithm>

namespace Stagepost {

namespace {

    // For this long after a failed read, the whole fleet may be behind the store.
    constexpr Seconds storeFailureMemory { 4 };

}

bool SettingsFreshness::storeRead(Read const& read)
{
    // A store without eras that has lost records assigns their positions again.
    if (read.isComplete && read.position < m_position)
        m_position = 0;
    if (read.hasNewSettings)
        m_lastChangeReadUntil = read.position;
    else if (read.isComplete)
        m_lastChangeReadUntil = 0;
    m_readUntil = read.position;
    m_positionProofs.add(read.position, read.provenAt);
    return applyProofs();
}

bool SettingsFreshness::versionProven(uint64_t version, Instant provenAt)
{
    m_versionProofs.add(version, provenAt);
    return applyProofs();
}

bool SettingsFreshness::putInForce(uint64_t version, uint64_t position)
{
    if (version > m_version)
        m_storeIsAheadSince.reset();
    m_version = std::max(m_version, version);
    m_position = std::max(m_position, position);
    return applyProofs();
}

bool SettingsFreshness::applyProofs()
{
    if (m_position >= m_lastChangeReadUntil)
        m_position = std::max(m_position, m_readUntil);
    bool isProven = false;
    for (auto const& provenAt : { m_positionProofs.take(m_position), m_versionProofs.take(m_version) }) {
        if (!provenAt)
            continue;
        confirm(*provenAt);
        isProven = true;
    }
    return isProven;
}

void SettingsFreshness::confirm(Instant provenAt)
{
    m_age.confirm(provenAt);
    // The records that the store had in addition contain no newer configuration.
    if (m_storeIsAheadSince && provenAt >= *m_storeIsAheadSince)
        m_storeIsAheadSince.reset();
}

void SettingsFreshness::announced(uint64_t version, Instant now)
{
    if (version > m_version && m_announcedVersion <= m_version)
        m_announcedSince = now;
    m_announcedVersion = std::max(m_announcedVersion, version);
}

void SettingsFreshness::storeIsAhead(Instant now)
{
    if (!m_storeIsAheadSince)
        m_storeIsAheadSince = now;
}

bool SettingsFreshness::isOverdue(Instant now, bool isLoadingAnnounced, bool isLoading) const
{
    auto const isOver = [&](Instant since) { return now - since > m_bounds.peerTimeout; };
    bool const isAnnouncedMissing = m_announcedVersion > m_version && !isLoadingAnnounced;
    bool const isStoreAhead = m_storeIsAheadSince && !isLoading;
    return (isAnnouncedMissing && isOver(m_announcedSince)) || (isStoreAhead && isOver(*m_storeIsAheadSince));
}

bool SettingsFreshness::isProofLate(Instant now, bool isLoading) const
{
    bool const hasFailed = m_storeFailedAt && now - *m_storeFailedAt < storeFailureMemory;
    return m_storeIsAheadSince && !hasFailed && !isLoading && m_age.isKnown() && !m_age.isWithin(m_bounds.fallbackAge, now);
}

}

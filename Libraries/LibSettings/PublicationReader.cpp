#include <LibSettings/PublicationReader.h>

#include <cassert>

namespace Stagepost {

void PublicationReader::startAtBeginning()
{
    assert(m_position.isNull());
    if (!m_accepted)
        m_accepted = AcceptedSettings {};
}

PublicationReader::Outcome PublicationReader::apply(Offset offset, std::string_view record)
{
    assert(offset == m_position);
    m_position = Offset(offset.value() + 1);
    auto const publication = Publication::fromRecord(record);
    auto outcome = Outcome::Ignored;
    if (publication)
        outcome = publication->kind == Publication::Kind::Change ? applyChange(*publication) : applySnapshot(*publication);
    if (m_accepted)
        m_accepted->upTo = m_position;
    return outcome;
}

PublicationReader::Outcome PublicationReader::applyChange(Publication const& change)
{
    if (!m_accepted) {
        m_pendingChanges.emplace_back(Offset(m_position.value() - 1), change);
        return Outcome::Unknown;
    }
    if (change.revision != m_accepted->revision)
        return Outcome::Conflict;
    if (!m_isValid(change.toml))
        return Outcome::Invalid;
    m_accepted->revision = Revision(change.revision.value() + 1);
    m_accepted->toml = change.toml;
    m_accepted->author = change.author;
    m_accepted->nonce = change.nonce;
    return Outcome::Accepted;
}

// A snapshot is used only by a reader without accepted settings, and only if that reader has
// read every record that the snapshot doesn't cover: a change may have been appended between
// the snapshot's upTo and the snapshot itself, and must not be lost.
PublicationReader::Outcome PublicationReader::applySnapshot(Publication const& snapshot)
{
    if (m_accepted || snapshot.upTo < m_contiguousFrom)
        return Outcome::Ignored;
    m_accepted = AcceptedSettings { snapshot.revision, m_position, snapshot.toml, snapshot.author, snapshot.nonce };
    std::erase_if(m_pendingChanges, [&](auto const& entry) { return entry.first < snapshot.upTo; });
    applyPendingChanges();
    return Outcome::Accepted;
}

void PublicationReader::applyPendingChanges()
{
    auto const changes = std::exchange(m_pendingChanges, {});
    for (auto const& [offset, change] : changes)
        applyChange(change);
}

bool PublicationReader::adopt(AcceptedSettings const& peer)
{
    // The peer's offset may be from before the restore of the log. Continuing there would skip
    // the records that now precede it.
    if (m_hasRestarted && m_accepted) {
        if (peer.revision <= m_accepted->revision)
            return false;
        m_accepted = peer;
        m_accepted->upTo = m_position;
        return true;
    }
    if (m_accepted && peer.upTo <= m_position)
        return false;
    if (m_accepted && peer.revision < m_accepted->revision)
        return false;
    m_accepted = peer;
    m_pendingChanges.clear();
    m_position = peer.upTo;
    m_contiguousFrom = peer.upTo;
    return true;
}

void PublicationReader::restartFrom(Offset first)
{
    m_pendingChanges.clear();
    m_position = first;
    m_contiguousFrom = first;
    m_hasRestarted = true;
}

void PublicationReader::skipTo(Offset offset)
{
    assert(offset >= m_position);
    m_accepted.reset();
    m_pendingChanges.clear();
    m_position = offset;
    m_contiguousFrom = offset;
}

}

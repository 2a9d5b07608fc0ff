#include <LibSettings/PublicationReader.h>

#include <cassert>

namespace Stagepost {

void PublicationReader::startAtBeginning()
{
    assert(m_position.isNull());
    if (!m_accepted)
        m_accepted = AcceptedSettings {};
}

PublicationReader::Outcome PublicationReader::take(Offset offset, std::string_view record)
{
    assert(offset == m_position);
    m_position = Offset(offset.value() + 1);
    auto const publication = Publication::fromRecord(record);
    auto outcome = Outcome::Ignored;
    if (publication)
        outcome = publication->kind == Publication::Kind::Change ? takeChange(*publication) : takeSnapshot(*publication);
    if (m_accepted)
        m_accepted->upTo = m_position;
    return outcome;
}

PublicationReader::Outcome PublicationReader::takeChange(Publication const& change)
{
    if (!m_accepted) {
        m_unplaced.emplace_back(Offset(m_position.value() - 1), change);
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

// A snapshot helps only a reader that knows nothing, and only if this reader has
// itself read every record that the snapshot does not cover: a snapshot may reach
// the log after a change that it does not know of, and that change must not be lost.
PublicationReader::Outcome PublicationReader::takeSnapshot(Publication const& snapshot)
{
    if (m_accepted || snapshot.upTo < m_runStart)
        return Outcome::Ignored;
    m_accepted = AcceptedSettings { snapshot.revision, m_position, snapshot.toml, snapshot.author, snapshot.nonce };
    std::erase_if(m_unplaced, [&](auto const& entry) { return entry.first < snapshot.upTo; });
    replayUnplaced();
    return Outcome::Accepted;
}

void PublicationReader::replayUnplaced()
{
    auto const changes = std::exchange(m_unplaced, {});
    for (auto const& [offset, change] : changes)
        takeChange(change);
}

bool PublicationReader::adopt(AcceptedSettings const& peer)
{
    // Going on from an offset of the log before would pass over what stands below it now.
    if (m_hasReadAgain && m_accepted) {
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
    m_unplaced.clear();
    m_position = peer.upTo;
    m_runStart = peer.upTo;
    return true;
}

void PublicationReader::readAgainFrom(Offset first)
{
    m_unplaced.clear();
    m_position = first;
    m_runStart = first;
    m_hasReadAgain = true;
}

void PublicationReader::skipTo(Offset offset)
{
    assert(offset >= m_position);
    m_accepted.reset();
    m_unplaced.clear();
    m_position = offset;
    m_runStart = offset;
}

}

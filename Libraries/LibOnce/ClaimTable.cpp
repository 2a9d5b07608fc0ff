#include <LibOnce/ClaimTable.h>

#include <algorithm>

namespace Stagepost {

void ClaimTable::apply(ClaimRecord const& record)
{
    auto const found = m_entries.find(record.key);
    bool const isHeldByThis = found != m_entries.end() && found->second.state == State::Held && found->second.nonce == record.nonce;
    switch (record.step) {
    case ClaimRecord::Step::Claim:
        if (m_abandoned.contains(record.nonce))
            return;
        if (found == m_entries.end()) {
            m_entries.emplace(record.key, Entry { State::Held, record.nonce, record.fingerprint, {} });
            m_keysByCreationTime.emplace(record.key.createdAt, record.key);
        } else if (found->second.state == State::Free) {
            found->second = { State::Held, record.nonce, record.fingerprint, {} };
        }
        return;
    case ClaimRecord::Step::Done:
        if (!isHeldByThis)
            return;
        found->second.state = State::Done;
        found->second.response = record.response;
        m_responseBytes += record.response.bytes();
        return;
    case ClaimRecord::Step::Abandon:
        // The attempt's claim may still be in flight and must not take the key when it arrives.
        m_abandoned.emplace(record.nonce, record.key.createdAt);
        if (isHeldByThis)
            found->second.state = State::Free;
        return;
    case ClaimRecord::Step::LogRestored:
        m_restoreCount = std::max(m_restoreCount, record.nonce);
        m_possibleLossUntil = std::max(m_possibleLossUntil, record.key.createdAt);
        return;
    }
}

ClaimTable::Entry const* ClaimTable::find(IdempotencyKey const& key) const
{
    auto const found = m_entries.find(key);
    return found == m_entries.end() || found->second.state == State::Free ? nullptr : &found->second;
}

void ClaimTable::evictBefore(int64_t second)
{
    auto const end = m_keysByCreationTime.lower_bound(second);
    for (auto entry = m_keysByCreationTime.begin(); entry != end; ++entry) {
        auto const found = m_entries.find(entry->second);
        if (found->second.state == State::Done)
            m_responseBytes -= found->second.response.bytes();
        m_entries.erase(found);
    }
    m_keysByCreationTime.erase(m_keysByCreationTime.begin(), end);
    std::erase_if(m_abandoned, [&](auto const& entry) { return entry.second < second; });
}

void ClaimTable::shrinkTo(size_t maxBytes)
{
    for (auto const& [createdAt, key] : m_keysByCreationTime) {
        if (bytes() <= maxBytes)
            return;
        auto& entry = m_entries.at(key);
        if (entry.state != State::Done || entry.response.body.empty())
            continue;
        m_responseBytes -= entry.response.body.size();
        entry.response.body.clear();
        entry.response.body.shrink_to_fit();
        entry.response.isComplete = false;
    }
}

size_t ClaimTable::bytes() const
{
    return m_entries.size() * estimatedEntryBytes + m_responseBytes + m_abandoned.size() * sizeof(std::pair<uint64_t, int64_t>) * 3;
}

}

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
            m_byTime.emplace(record.key.createdAt, record.key);
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
        // A claim that is still under way to the log must not hold the key later.
        m_abandoned.emplace(record.nonce, record.key.createdAt);
        if (isHeldByThis)
            found->second.state = State::Free;
        return;
    case ClaimRecord::Step::Return:
        m_returns = std::max(m_returns, record.nonce);
        m_lostUpTo = std::max(m_lostUpTo, record.key.createdAt);
        return;
    }
}

ClaimTable::Entry const* ClaimTable::find(IdempotencyKey const& key) const
{
    auto const found = m_entries.find(key);
    return found == m_entries.end() || found->second.state == State::Free ? nullptr : &found->second;
}

void ClaimTable::forgetBefore(int64_t second)
{
    auto const end = m_byTime.lower_bound(second);
    for (auto entry = m_byTime.begin(); entry != end; ++entry) {
        auto const found = m_entries.find(entry->second);
        if (found->second.state == State::Done)
            m_responseBytes -= found->second.response.bytes();
        m_entries.erase(found);
    }
    m_byTime.erase(m_byTime.begin(), end);
    std::erase_if(m_abandoned, [&](auto const& entry) { return entry.second < second; });
}

void ClaimTable::shrinkTo(size_t most)
{
    for (auto const& [second, key] : m_byTime) {
        if (bytes() <= most)
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
    return m_entries.size() * entryBytes + m_responseBytes + m_abandoned.size() * sizeof(std::pair<uint64_t, int64_t>) * 3;
}

}

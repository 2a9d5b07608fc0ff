#pragma once

#include <LibOnce/ClaimRecord.h>
#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace Stagepost {

// The state of every key, built by applying the log's records in offset order. It is
// deterministic, so all readers of the same records agree: the first claim of a free key
// holds the key, and only an Abandon by the holder, whose call never ran, frees it again.
class ClaimTable {
public:
    enum class State {
        Free,
        Held,
        Done,
    };
    struct Entry {
        State state { State::Free };
        uint64_t nonce { 0 };
        uint64_t fingerprint { 0 };
        RecordedResponse response;
    };

    void apply(ClaimRecord const&);
    // Null for a key that is free.
    Entry const* find(IdempotencyKey const&) const;

    // Evicts keys that were created before this Unix time, since their window has passed.
    void evictBefore(int64_t second);
    // Drops response bodies, those of the oldest keys first, until the table fits. Keys are
    // never dropped for space.
    void shrinkTo(size_t maxBytes);

    // The highest number of log restores that the records report.
    uint64_t restoreCount() const { return m_restoreCount; }
    // Claims of keys created up to this Unix time may have been lost in a restore of the log.
    int64_t possibleLossUntil() const { return m_possibleLossUntil; }

    size_t size() const { return m_entries.size(); }
    // The estimated memory use.
    size_t bytes() const;

private:
    // An entry with its nodes in both containers, without the response.
    static constexpr size_t estimatedEntryBytes = 192;

    std::unordered_map<IdempotencyKey, Entry> m_entries;
    std::multimap<int64_t, IdempotencyKey> m_keysByCreationTime;
    // The nonces of abandoned attempts, with the creation times of their keys.
    std::map<uint64_t, int64_t> m_abandoned;
    size_t m_responseBytes { 0 };
    uint64_t m_restoreCount { 0 };
    int64_t m_possibleLossUntil { 0 };
};

}

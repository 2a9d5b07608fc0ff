#pragma once

#include <LibOnce/ClaimRecord.h>
#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace Stagepost {

// The state of every key, folded from the log in offset order. All readers of
// the same records come to the same state: the first claim of a free key holds
// it, and it is free again only if its holder says that it never ran.
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
    // Null for a key that nobody has claimed.
    Entry const* find(IdempotencyKey const&) const;

    // Forgets keys that were made before the second; they are out of the window.
    void forgetBefore(int64_t second);
    // Drops the bodies of answers, the oldest keys' first, until the table fits.
    void shrinkTo(size_t bytes);

    // The last return of the log that its records tell of, and up to which second keys may
    // have been claimed by records that were lost.
    uint64_t returns() const { return m_returns; }
    int64_t lostUpTo() const { return m_lostUpTo; }

    size_t size() const { return m_entries.size(); }
    // What the table takes, by the sizes of its parts.
    size_t bytes() const;

private:
    // A table entry with its place in two containers, besides the response.
    static constexpr size_t entryBytes = 192;

    std::unordered_map<IdempotencyKey, Entry> m_entries;
    std::multimap<int64_t, IdempotencyKey> m_byTime;
    // Attempts that gave up before their claim reached the log.
    std::map<uint64_t, int64_t> m_abandoned;
    size_t m_responseBytes { 0 };
    uint64_t m_returns { 0 };
    int64_t m_lostUpTo { 0 };
};

}

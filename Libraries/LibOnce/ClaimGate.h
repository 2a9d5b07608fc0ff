#pragma once

#include <LibBase/Hooks.h>
#include <LibBase/Ids.h>
#include <LibBase/RefusalReason.h>
#include <LibBase/Result.h>
#include <LibOnce/AppendRateLimiter.h>
#include <LibOnce/ClaimTable.h>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace Stagepost {

struct ClaimGateOptions {
    // For each stream.
    double appendsPerSecond { 5 };
    Seconds window { 3600 };
    size_t memoryBytes { 4 << 20 };
    // For an append whose reply was lost to show up in the log.
    Microseconds settleTime { 2000000 };
    // For a claim to wait for its turn to be appended.
    Microseconds queueTime { 5000000 };
};

// Lets a call run only when its claim is the first of its key in the log. What
// the log says decides, whoever is paused, late or mistaken about anything else.
class ClaimGate {
public:
    // The call may run now, and nobody else ever runs it. The fence orders it
    // after every earlier holder of anything that is fenced.
    struct MayRun {
        uint64_t nonce { 0 };
        uint64_t fence { 0 };
    };
    struct Replay {
        RecordedResponse response;
    };
    using Decision = std::variant<MayRun, Replay, Refusal>;
    using Decided = std::function<void(Decision const&)>;

    struct ReadResult {
        Offset first;
        Offset next;
        std::vector<std::pair<Offset, std::string>> records;
        // How often the log has come back from a copy.
        uint64_t returns { 0 };
    };
    struct Hooks {
        // Appends to a stream. Errors: Unreachable or LimitReached where it was
        // certainly not appended; with any other error it may have been, or may be later.
        std::function<void(std::string const& stream, std::string record, std::function<void(Result<Offset>)>)> append;
        std::function<void(std::string const& stream, Offset from, std::function<void(Result<ReadResult>)>)> read;
        RandomHook random;
        // The second, as callers' clocks count it.
        std::function<int64_t()> wallSecond;
    };

    ClaimGate(ClaimGateOptions, Hooks);
    ClaimGate(ClaimGate const&) = delete;
    ClaimGate& operator=(ClaimGate const&) = delete;

    void setOptions(ClaimGateOptions const&);

    // The streams of the log that claims are spread over. Every daemon has to look
    // for a key's claims in the same stream, so this never changes.
    static constexpr size_t shardCount = 32;

    // Which shard a key belongs to; one daemon is asked for each shard, so that
    // only it has to know the shard's keys. Any other may do it as well, safely.
    static size_t shardOf(IdempotencyKey const&);

    // Calls back once, now or later.
    void claim(IdempotencyKey const&, uint64_t fingerprint, Instant now, Decided);
    // The call has run; its response is recorded.
    void done(IdempotencyKey const&, uint64_t nonce, RecordedResponse, Instant now);
    // The call has certainly not run, so its key is free again.
    void abandon(IdempotencyKey const&, uint64_t nonce, Instant now);

    void tick(Instant now);

    size_t bytes() const;
    size_t keys() const;
    uint64_t appends() const { return m_appends; }

private:
    struct Attempt {
        IdempotencyKey key;
        uint64_t nonce { 0 };
        uint64_t fingerprint { 0 };
        Decided decided;
        // Until when it may wait to be appended, then to show up in the log.
        Instant giveUpAt;
        // The record is on its way, or may be.
        bool isSent { false };
    };
    struct Shard {
        std::string stream;
        Offset position;
        ClaimTable table;
        std::vector<ClaimRecord> outgoing;
        std::map<uint64_t, Attempt> attempts;
        AppendRateLimiter limiter { 1 };
        bool isAppending { false };
        bool isReading { false };
        bool wantsRead { false };
        uint64_t returns { 0 };
        bool isTellingReturn { false };
    };

    Shard& shardFor(IdempotencyKey const&);
    std::optional<Decision> knownDecision(Shard const&, IdempotencyKey const&, uint64_t fingerprint, uint64_t ownNonce) const;
    void flush(Shard&, Instant now);
    void appended(Shard&, std::vector<ClaimRecord> const& batch, Result<Offset> const&, Instant now);
    void read(Shard&);
    void takeRead(Shard&, Result<ReadResult> const&);
    void settleSeen(Shard&, ClaimRecord const&, Offset);
    bool mayHaveLost(Shard const&, IdempotencyKey const&) const;
    // The log was seen to have come back from a copy so often.
    void noteReturns(uint64_t returns);
    void tellReturn(Shard&);
    void giveUp(Shard&, Instant now);
    Refusal const* checkWindow(IdempotencyKey const&) const;

    ClaimGateOptions m_options;
    Hooks m_hooks;
    std::map<size_t, Shard> m_shards;
    Instant m_now;
    // When the last return was noticed, and which it was.
    uint64_t m_returns { 0 };
    int64_t m_returnNoticedAt { 0 };
    uint64_t m_appends { 0 };
};

}

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
    // The limit for each shard's stream.
    double appendsPerSecond { 5 };
    // How long a key is valid after its creation.
    Seconds window { 3600 };
    // The limit for the claim tables of all shards together.
    size_t memoryBytes { 4 << 20 };
    // How long a claim may take to become visible in the log after its append was sent. It
    // also covers appends whose reply is lost.
    Microseconds visibilityTimeout { 2000000 };
    // How long a claim may be queued before its append is sent.
    Microseconds queueTimeout { 5000000 };
};

// Lets a call run only if its claim is the first for its key in the log. The order of the
// log alone decides, so the result is correct even if daemons are paused, delayed or act on
// outdated state.
class ClaimGate {
public:
    // The call may run now; no other attempt with its key ever may, unless this one abandons
    // it. The fence is a fencing token: it is higher than those of all earlier holders of
    // keys in the same shard.
    struct MayRun {
        uint64_t nonce { 0 };
        uint64_t fence { 0 };
    };
    struct Replay {
        RecordedResponse response;
    };
    using Decision = std::variant<MayRun, Replay, Refusal>;
    using DecisionCallback = std::function<void(Decision const&)>;

    struct ReadResult {
        Offset first;
        Offset next;
        std::vector<std::pair<Offset, std::string>> records;
        // How often the log has been restored from a backup.
        uint64_t restoreCount { 0 };
    };
    struct Hooks {
        // Appends to a stream. Unreachable and LimitReached mean that the record was certainly
        // not appended; after any other error it may have been, or may still be.
        std::function<void(std::string const& stream, std::string record, std::function<void(Result<Offset>)>)> append;
        std::function<void(std::string const& stream, Offset from, std::function<void(Result<ReadResult>)>)> read;
        RandomHook random;
        // The current Unix time, to compare with the creation times of callers' keys.
        std::function<int64_t()> wallClockSeconds;
    };

    ClaimGate(ClaimGateOptions, Hooks);
    ClaimGate(ClaimGate const&) = delete;
    ClaimGate& operator=(ClaimGate const&) = delete;

    void setOptions(ClaimGateOptions const&);

    // The number of log streams over which claims are sharded. It must never change: every
    // daemon, of any version, has to look for a key's claims in the same stream.
    static constexpr size_t shardCount = 32;

    // The shard of a key. Requests of a shard are routed to one daemon, so that only that
    // daemon needs the shard's keys in memory. It is safe for any other to handle them too.
    static size_t shardOf(IdempotencyKey const&);

    // Decides whether the call may run. Invokes the callback exactly once, possibly before
    // claim() returns.
    void claim(IdempotencyKey const&, uint64_t fingerprint, Instant now, DecisionCallback);
    // The call has run: records its response for retries.
    void done(IdempotencyKey const&, uint64_t nonce, RecordedResponse, Instant now);
    // The call has certainly not run: frees its key.
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
        DecisionCallback callback;
        // The end of the queue timeout, then of the visibility timeout.
        Instant expiresAt;
        // Whether the append of the claim was sent; the claim may then be in the log.
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
        bool isReadRequested { false };
        uint64_t restoreCount { 0 };
        bool isAppendingRestoreRecord { false };
    };

    Shard& shardFor(IdempotencyKey const&);
    std::optional<Decision> knownDecision(Shard const&, IdempotencyKey const&, uint64_t fingerprint, uint64_t ownNonce) const;
    void flush(Shard&, Instant now);
    void handleAppendResult(Shard&, std::vector<ClaimRecord> const& batch, Result<Offset> const&, Instant now);
    void read(Shard&);
    void handleReadResult(Shard&, Result<ReadResult> const&);
    void decideAttempt(Shard&, ClaimRecord const&, Offset);
    bool mayHaveLostClaim(Shard const&, IdempotencyKey const&) const;
    void noteRestores(uint64_t restoreCount);
    void appendRestoreRecord(Shard&);
    void expireAttempts(Shard&, Instant now);
    Refusal const* checkWindow(IdempotencyKey const&) const;

    ClaimGateOptions m_options;
    Hooks m_hooks;
    std::map<size_t, Shard> m_shards;
    Instant m_now;
    uint64_t m_restoreCount { 0 };
    // The Unix time at which this gate noticed the latest restore.
    int64_t m_restoreNoticedAt { 0 };
    uint64_t m_appends { 0 };
};

}

#include <LibOnce/ClaimGate.h>

#include <algorithm>

namespace Stagepost {

namespace {

    constexpr size_t maxRecordsPerAppend = 500;
    // How far the clocks of callers may be ahead of a daemon's.
    constexpr int64_t maxClockSkewSeconds = 60;
    constexpr Milliseconds retryDelay { 1000 };
    // A fence has the restore count in its upper bits and the offset below, because a
    // restore of the log moves offsets back and fences must keep increasing.
    constexpr unsigned restoreCountShift = 48;

    Refusal const keyExpired { RefusalReason::KeyOutOfWindow, Verdict::mayHaveRun, "the key is older than what is remembered", {} };
    Refusal const claimMayBeLost { RefusalReason::KeyOutOfWindow, Verdict::mayHaveRun, "the log came back from a copy and may have lost what the key did", {} };
    Refusal const keyInFuture { RefusalReason::KeyOutOfWindow, NotRunProof::nothingSent(), "the key's time is in the future", {} };

    Refusal notRun(RefusalReason reason, char const* detail)
    {
        return { reason, NotRunProof::nothingSent(), detail, retryDelay };
    }

}

ClaimGate::ClaimGate(ClaimGateOptions options, Hooks hooks)
    : m_options(options)
    , m_hooks(std::move(hooks))
{
}

void ClaimGate::setOptions(ClaimGateOptions const& options)
{
    m_options = options;
    for (auto& [index, shard] : m_shards)
        shard.limiter.setRate(m_options.appendsPerSecond);
}

size_t ClaimGate::shardOf(IdempotencyKey const& key)
{
    return key.high % shardCount;
}

ClaimGate::Shard& ClaimGate::shardFor(IdempotencyKey const& key)
{
    auto const index = shardOf(key);
    auto const [found, isNew] = m_shards.try_emplace(index);
    if (isNew) {
        found->second.stream = "claims-" + std::to_string(index);
        found->second.limiter.setRate(m_options.appendsPerSecond);
    }
    return found->second;
}

Refusal const* ClaimGate::checkWindow(IdempotencyKey const& key) const
{
    auto const now = m_hooks.wallClockSeconds();
    if (key.createdAt < now - m_options.window.count())
        return &keyExpired;
    return key.createdAt > now + maxClockSkewSeconds ? &keyInFuture : nullptr;
}

// Whether an earlier claim of the key may have been lost in a restore of the log. The lost
// claim's call may have run, so the key must not count as free. An entry that this daemon
// still has in its table takes precedence.
bool ClaimGate::mayHaveLostClaim(Shard const& shard, IdempotencyKey const& key) const
{
    return shard.table.restoreCount() < shard.restoreCount || (shard.restoreCount && key.createdAt <= shard.table.possibleLossUntil());
}

void ClaimGate::noteRestores(uint64_t restoreCount)
{
    if (restoreCount <= m_restoreCount)
        return;
    m_restoreCount = restoreCount;
    m_restoreNoticedAt = m_hooks.wallClockSeconds();
}

// Tells all readers of the stream up to which creation time claims may have been lost. Keys
// that are created after the restore was noticed cannot have a claim among the lost records.
void ClaimGate::appendRestoreRecord(Shard& shard)
{
    if (shard.isAppendingRestoreRecord || shard.table.restoreCount() >= shard.restoreCount)
        return;
    shard.isAppendingRestoreRecord = true;
    ClaimRecord record;
    record.step = ClaimRecord::Step::LogRestored;
    record.key.createdAt = m_restoreNoticedAt + maxClockSkewSeconds;
    record.nonce = shard.restoreCount;
    ++m_appends;
    m_hooks.append(shard.stream, ClaimRecord::encode({ record }), [this, &shard](Result<Offset> const&) {
        shard.isAppendingRestoreRecord = false;
        read(shard);
    });
}

// The decision that follows from the log as read so far, or nothing if the key is free or
// held by this attempt.
std::optional<ClaimGate::Decision> ClaimGate::knownDecision(Shard const& shard, IdempotencyKey const& key, uint64_t fingerprint, uint64_t ownNonce) const
{
    auto const* entry = shard.table.find(key);
    if (!entry || entry->nonce == ownNonce)
        return mayHaveLostClaim(shard, key) ? std::optional<Decision>(claimMayBeLost) : std::nullopt;
    if (entry->fingerprint != fingerprint)
        return Refusal { RefusalReason::KeyReused, NotRunProof::nothingSent(), "the key was used for another request", {} };
    if (entry->state == ClaimTable::State::Done && entry->response.isComplete)
        return Replay { entry->response };
    if (entry->state == ClaimTable::State::Done)
        return Refusal { RefusalReason::KeyInProgress, Verdict::ran, "the call has run; its answer is not kept", {} };
    return Refusal { RefusalReason::KeyInProgress, Verdict::mayHaveRun, "another attempt with this key holds it", retryDelay };
}

void ClaimGate::claim(IdempotencyKey const& key, uint64_t fingerprint, Instant now, DecisionCallback callback)
{
    m_now = now;
    if (auto const* refusal = checkWindow(key)) {
        callback(*refusal);
        return;
    }
    auto& shard = shardFor(key);
    // A refusal or a replay that is already known needs no append; permission to run always does.
    if (auto const known = knownDecision(shard, key, fingerprint, 0)) {
        callback(*known);
        return;
    }
    if (bytes() > m_options.memoryBytes)
        shard.table.shrinkTo(m_options.memoryBytes / shardCount);
    if (bytes() > m_options.memoryBytes) {
        callback(notRun(RefusalReason::OnceMemoryFull, "as many keys are remembered as fit"));
        return;
    }
    Attempt attempt { key, m_hooks.random() | 1, fingerprint, std::move(callback), now + m_options.queueTimeout, false };
    ClaimRecord record;
    record.key = key;
    record.nonce = attempt.nonce;
    record.fingerprint = fingerprint;
    shard.attempts.emplace(attempt.nonce, std::move(attempt));
    shard.outgoing.push_back(record);
    flush(shard, now);
}

void ClaimGate::done(IdempotencyKey const& key, uint64_t nonce, RecordedResponse response, Instant now)
{
    ClaimRecord record;
    record.step = ClaimRecord::Step::Done;
    record.key = key;
    record.nonce = nonce;
    record.response = std::move(response);
    auto& shard = shardFor(key);
    // Retries at this daemon get the response immediately, those at others once it is in the log.
    shard.table.apply(record);
    shard.outgoing.push_back(std::move(record));
    flush(shard, now);
}

void ClaimGate::abandon(IdempotencyKey const& key, uint64_t nonce, Instant now)
{
    ClaimRecord record;
    record.step = ClaimRecord::Step::Abandon;
    record.key = key;
    record.nonce = nonce;
    auto& shard = shardFor(key);
    shard.outgoing.push_back(record);
    flush(shard, now);
}

void ClaimGate::flush(Shard& shard, Instant now)
{
    m_now = now;
    if (shard.isAppending || shard.outgoing.empty() || !shard.limiter.tryAcquire(now))
        return;
    auto const count = std::min(shard.outgoing.size(), maxRecordsPerAppend);
    std::vector<ClaimRecord> batch(shard.outgoing.begin(), shard.outgoing.begin() + static_cast<std::ptrdiff_t>(count));
    shard.outgoing.erase(shard.outgoing.begin(), shard.outgoing.begin() + static_cast<std::ptrdiff_t>(count));
    for (auto const& record : batch) {
        if (auto const attempt = shard.attempts.find(record.nonce); attempt != shard.attempts.end()) {
            attempt->second.isSent = true;
            attempt->second.expiresAt = now + m_options.visibilityTimeout;
        }
    }
    shard.isAppending = true;
    ++m_appends;
    auto text = ClaimRecord::encode(batch);
    m_hooks.append(shard.stream, std::move(text), [this, &shard, batch = std::move(batch)](Result<Offset> const& result) {
        handleAppendResult(shard, batch, result, m_now);
    });
}

void ClaimGate::handleAppendResult(Shard& shard, std::vector<ClaimRecord> const& batch, Result<Offset> const& result, Instant now)
{
    shard.isAppending = false;
    if (result) {
        shard.limiter.recordSuccess();
        read(shard);
        return;
    }
    shard.limiter.recordFailure(now, m_hooks.random());
    bool const isCertain = result.error().code == make_error_code(ErrorCode::Unreachable) || result.error().code == make_error_code(ErrorCode::LimitReached);
    for (auto const& record : batch) {
        if (record.step != ClaimRecord::Step::Claim) {
            // Done and Abandon are idempotent, so they are retried until they are appended.
            shard.outgoing.push_back(record);
            continue;
        }
        auto const attempt = shard.attempts.find(record.nonce);
        if (!isCertain || attempt == shard.attempts.end())
            continue;
        auto const callback = std::move(attempt->second.callback);
        shard.attempts.erase(attempt);
        callback(notRun(RefusalReason::LogDown, "the log takes no claim now; a ticket needs no log"));
    }
    // The batch may have been appended all the same; only reading the log can tell.
    if (!isCertain)
        read(shard);
}

void ClaimGate::read(Shard& shard)
{
    shard.isReadRequested = true;
    if (shard.isReading)
        return;
    shard.isReading = true;
    shard.isReadRequested = false;
    m_hooks.read(shard.stream, shard.position, [this, &shard](Result<ReadResult> const& result) {
        handleReadResult(shard, result);
    });
}

void ClaimGate::handleReadResult(Shard& shard, Result<ReadResult> const& result)
{
    shard.isReading = false;
    if (!result)
        return;
    if (result->restoreCount < shard.restoreCount)
        return;
    if (result->restoreCount > shard.restoreCount) {
        noteRestores(result->restoreCount);
        shard.restoreCount = result->restoreCount;
        shard.position = Offset(0);
        read(shard);
        return;
    }
    // Records that the log no longer retains belong to keys whose window has passed.
    shard.position = std::max(shard.position, result->first);
    for (auto const& [offset, text] : result->records) {
        if (offset != shard.position)
            continue;
        shard.position = Offset(offset.value() + 1);
        auto const records = ClaimRecord::decode(text);
        if (!records)
            continue;
        for (auto const& record : *records) {
            shard.table.apply(record);
            if (record.step == ClaimRecord::Step::Claim)
                decideAttempt(shard, record, offset);
        }
    }
    if (shard.position < result->next || shard.isReadRequested)
        read(shard);
    else
        appendRestoreRecord(shard);
}

// Decides an attempt when its own claim is read, by the state of the key at that offset.
void ClaimGate::decideAttempt(Shard& shard, ClaimRecord const& record, Offset offset)
{
    auto const found = shard.attempts.find(record.nonce);
    if (found == shard.attempts.end())
        return;
    auto const attempt = std::move(found->second);
    shard.attempts.erase(found);
    if (auto const known = knownDecision(shard, attempt.key, attempt.fingerprint, attempt.nonce)) {
        if (mayHaveLostClaim(shard, attempt.key))
            abandon(attempt.key, attempt.nonce, m_now);
        attempt.callback(*known);
        return;
    }
    attempt.callback(MayRun { attempt.nonce, shard.restoreCount << restoreCountShift | (offset.value() + 1) });
}

// Removes expired attempts, so that their calls never run even if their claims appear in
// the log later. An Abandon record frees the key for other attempts.
void ClaimGate::expireAttempts(Shard& shard, Instant now)
{
    std::vector<Attempt> expired;
    for (auto entry = shard.attempts.begin(); entry != shard.attempts.end();) {
        if (now < entry->second.expiresAt) {
            ++entry;
            continue;
        }
        expired.push_back(std::move(entry->second));
        entry = shard.attempts.erase(entry);
    }
    for (auto const& attempt : expired) {
        std::erase_if(shard.outgoing, [&](auto const& record) { return record.nonce == attempt.nonce; });
        if (attempt.isSent)
            abandon(attempt.key, attempt.nonce, now);
        auto const reason = attempt.isSent ? RefusalReason::ClaimUnsettled : RefusalReason::LogDown;
        attempt.callback(notRun(reason, "the log did not show the claim in time"));
    }
}

void ClaimGate::tick(Instant now)
{
    m_now = now;
    for (auto& [index, shard] : m_shards) {
        expireAttempts(shard, now);
        shard.table.evictBefore(m_hooks.wallClockSeconds() - m_options.window.count() - maxClockSkewSeconds);
        bool const isWaiting = std::any_of(shard.attempts.begin(), shard.attempts.end(), [](auto const& entry) { return entry.second.isSent; });
        if (isWaiting && !shard.isAppending)
            read(shard);
        flush(shard, now);
    }
}

size_t ClaimGate::bytes() const
{
    size_t total = 0;
    for (auto const& [index, shard] : m_shards)
        total += shard.table.bytes();
    return total;
}

size_t ClaimGate::keys() const
{
    size_t total = 0;
    for (auto const& [index, shard] : m_shards)
        total += shard.table.size();
    return total;
}

}

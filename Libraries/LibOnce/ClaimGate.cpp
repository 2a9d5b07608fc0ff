#include <LibOnce/ClaimGate.h>

#include <algorithm>

namespace Stagepost {

namespace {

    constexpr size_t mostPerAppend = 500;
    // How far callers' clocks may be ahead of a daemon's.
    constexpr int64_t clockSlack = 60;
    constexpr Milliseconds retrySoon { 1000 };
    // A fence is a return of the log above an offset: offsets go back, fences must not.
    constexpr unsigned returnsShift = 48;

    Refusal const tooOld { RefusalReason::KeyOutOfWindow, Verdict::MayHaveRun, "the key is older than what is remembered", {} };
    Refusal const lost { RefusalReason::KeyOutOfWindow, Verdict::MayHaveRun, "the log came back from a copy and may have lost what the key did", {} };
    Refusal const fromTheFuture { RefusalReason::KeyOutOfWindow, Verdict::NotRun, "the key's time is in the future", {} };

    Refusal notRun(RefusalReason reason, char const* detail)
    {
        return { reason, Verdict::NotRun, detail, retrySoon };
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
    auto const now = m_hooks.wallSecond();
    if (key.createdAt < now - m_options.window.count())
        return &tooOld;
    return key.createdAt > now + clockSlack ? &fromTheFuture : nullptr;
}

// A claim that was lost may have run: without this its key would be free again. What this
// daemon still knows of a key goes before.
bool ClaimGate::mayHaveLost(Shard const& shard, IdempotencyKey const& key) const
{
    return shard.table.restoreCount() < shard.returns || (shard.returns && key.createdAt <= shard.table.possibleLossUntil());
}

void ClaimGate::noteReturns(uint64_t returns)
{
    if (returns <= m_returns)
        return;
    m_returns = returns;
    m_returnNoticedAt = m_hooks.wallSecond();
}

// Keys that were made after it can have been claimed by no record that was lost.
void ClaimGate::tellReturn(Shard& shard)
{
    if (shard.isTellingReturn || shard.table.restoreCount() >= shard.returns)
        return;
    shard.isTellingReturn = true;
    ClaimRecord record;
    record.step = ClaimRecord::Step::LogRestored;
    record.key.createdAt = m_returnNoticedAt + clockSlack;
    record.nonce = shard.returns;
    ++m_appends;
    m_hooks.append(shard.stream, ClaimRecord::encode({ record }), [this, &shard](Result<Offset> const&) {
        shard.isTellingReturn = false;
        read(shard);
    });
}

// What the log as read so far says about a key, or none when it is free or held
// by this very attempt.
std::optional<ClaimGate::Decision> ClaimGate::knownDecision(Shard const& shard, IdempotencyKey const& key, uint64_t fingerprint, uint64_t ownNonce) const
{
    auto const* entry = shard.table.find(key);
    if (!entry || entry->nonce == ownNonce)
        return mayHaveLost(shard, key) ? std::optional<Decision>(lost) : std::nullopt;
    if (entry->fingerprint != fingerprint)
        return Refusal { RefusalReason::KeyReused, Verdict::NotRun, "the key was used for another request", {} };
    if (entry->state == ClaimTable::State::Done && entry->response.isComplete)
        return Replay { entry->response };
    if (entry->state == ClaimTable::State::Done)
        return Refusal { RefusalReason::KeyInProgress, Verdict::Ran, "the call has run; its response is not kept", {} };
    return Refusal { RefusalReason::KeyInProgress, Verdict::MayHaveRun, "another attempt with this key holds it", retrySoon };
}

void ClaimGate::claim(IdempotencyKey const& key, uint64_t fingerprint, Instant now, Decided decided)
{
    m_now = now;
    if (auto const* refusal = checkWindow(key)) {
        decided(*refusal);
        return;
    }
    auto& shard = shardFor(key);
    // An early look saves an append; only the log itself can say yes.
    if (auto const known = knownDecision(shard, key, fingerprint, 0)) {
        decided(*known);
        return;
    }
    if (bytes() > m_options.memoryBytes)
        shard.table.shrinkTo(m_options.memoryBytes / shardCount);
    if (bytes() > m_options.memoryBytes) {
        decided(notRun(RefusalReason::OnceMemoryFull, "as many keys are remembered as fit"));
        return;
    }
    Attempt attempt { key, m_hooks.random() | 1, fingerprint, std::move(decided), now + m_options.queueTime, false };
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
    // Resends through this daemon get the response at once; the log tells the others.
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
    auto const count = std::min(shard.outgoing.size(), mostPerAppend);
    std::vector<ClaimRecord> batch(shard.outgoing.begin(), shard.outgoing.begin() + static_cast<std::ptrdiff_t>(count));
    shard.outgoing.erase(shard.outgoing.begin(), shard.outgoing.begin() + static_cast<std::ptrdiff_t>(count));
    for (auto const& record : batch) {
        if (auto const attempt = shard.attempts.find(record.nonce); attempt != shard.attempts.end()) {
            attempt->second.isSent = true;
            attempt->second.giveUpAt = now + m_options.settleTime;
        }
    }
    shard.isAppending = true;
    ++m_appends;
    auto text = ClaimRecord::encode(batch);
    m_hooks.append(shard.stream, std::move(text), [this, &shard, batch = std::move(batch)](Result<Offset> const& result) {
        appended(shard, batch, result, m_now);
    });
}

void ClaimGate::appended(Shard& shard, std::vector<ClaimRecord> const& batch, Result<Offset> const& result, Instant now)
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
            // Appending these twice does no harm, losing them would.
            shard.outgoing.push_back(record);
            continue;
        }
        auto const attempt = shard.attempts.find(record.nonce);
        if (!isCertain || attempt == shard.attempts.end())
            continue;
        auto const decided = std::move(attempt->second.decided);
        shard.attempts.erase(attempt);
        decided(notRun(RefusalReason::LogDown, "the log takes no claim now; a ticket needs no log"));
    }
    // A lost reply is settled by reading, never by guessing.
    if (!isCertain)
        read(shard);
}

void ClaimGate::read(Shard& shard)
{
    shard.wantsRead = true;
    if (shard.isReading)
        return;
    shard.isReading = true;
    shard.wantsRead = false;
    m_hooks.read(shard.stream, shard.position, [this, &shard](Result<ReadResult> const& result) {
        takeRead(shard, result);
    });
}

void ClaimGate::takeRead(Shard& shard, Result<ReadResult> const& result)
{
    shard.isReading = false;
    if (!result)
        return;
    if (result->returns < shard.returns)
        return;
    if (result->returns > shard.returns) {
        noteReturns(result->returns);
        shard.returns = result->returns;
        shard.position = Offset(0);
        read(shard);
        return;
    }
    // What the log has forgotten is out of every window.
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
                settleSeen(shard, record, offset);
        }
    }
    if (shard.position < result->next || shard.wantsRead)
        read(shard);
    else
        tellReturn(shard);
}

// An attempt is decided at the very record that brought its claim, by all that
// stands before it.
void ClaimGate::settleSeen(Shard& shard, ClaimRecord const& record, Offset offset)
{
    auto const found = shard.attempts.find(record.nonce);
    if (found == shard.attempts.end())
        return;
    auto const attempt = std::move(found->second);
    shard.attempts.erase(found);
    if (auto const known = knownDecision(shard, attempt.key, attempt.fingerprint, attempt.nonce)) {
        if (mayHaveLost(shard, attempt.key))
            abandon(attempt.key, attempt.nonce, m_now);
        attempt.decided(*known);
        return;
    }
    attempt.decided(MayRun { attempt.nonce, shard.returns << returnsShift | (offset.value() + 1) });
}

// An attempt that is given up is forgotten here, so that its claim, should it
// show up later, is never run; saying so in the log frees the key for others.
void ClaimGate::giveUp(Shard& shard, Instant now)
{
    std::vector<Attempt> late;
    for (auto entry = shard.attempts.begin(); entry != shard.attempts.end();) {
        if (now < entry->second.giveUpAt) {
            ++entry;
            continue;
        }
        late.push_back(std::move(entry->second));
        entry = shard.attempts.erase(entry);
    }
    for (auto const& attempt : late) {
        std::erase_if(shard.outgoing, [&](auto const& record) { return record.nonce == attempt.nonce; });
        if (attempt.isSent)
            abandon(attempt.key, attempt.nonce, now);
        auto const reason = attempt.isSent ? RefusalReason::ClaimUnsettled : RefusalReason::LogDown;
        attempt.decided(notRun(reason, "the log did not show the claim in time"));
    }
}

void ClaimGate::tick(Instant now)
{
    m_now = now;
    for (auto& [index, shard] : m_shards) {
        giveUp(shard, now);
        shard.table.evictBefore(m_hooks.wallSecond() - m_options.window.count() - clockSlack);
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

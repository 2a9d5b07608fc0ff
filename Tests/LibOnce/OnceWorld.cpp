#include <LibOnce/OnceWorld.h>

namespace Stagepost::Tests {

namespace {

    constexpr int64_t wallStart = 1764680000;
    constexpr Microseconds tickInterval { 50000 };
    constexpr Microseconds naiveTimeout { 2000000 };
    // After the last call, long enough for every attempt to be given up.
    constexpr double settleSeconds = 30;

}

OnceWorld::OnceWorld(Options options)
    : m_options(options)
    , m_random(options.seed)
    , m_daemons(options.daemons)
{
    for (size_t index = 0; index < m_daemons.size(); ++index)
        restart(index);
}

bool OnceWorld::fault()
{
    return m_random() % 1000 < m_options.faultsPerThousand;
}

Microseconds OnceWorld::someTime(int64_t most)
{
    return Microseconds(static_cast<int64_t>(m_random() % static_cast<uint64_t>(most)));
}

// The new process knows nothing of the one before; callbacks of that one are lost.
void OnceWorld::restart(size_t index)
{
    auto& daemon = m_daemons[index];
    auto const life = ++daemon.life;
    auto const isCurrent = [this, index, life] { return m_daemons[index].life == life; };
    ClaimGate::Hooks hooks {
        [this, isCurrent](std::string const& stream, std::string record, std::function<void(Result<Offset>)> callback) {
            append(stream, std::move(record), [isCurrent, callback = std::move(callback)](Result<Offset> const& result) {
                if (isCurrent())
                    callback(result);
            });
        },
        [this, isCurrent](std::string const& stream, Offset from, std::function<void(Result<ClaimGate::ReadResult>)> callback) {
            read(stream, from, [isCurrent, callback = std::move(callback)](Result<ClaimGate::ReadResult> const& result) {
                if (isCurrent())
                    callback(result);
            });
        },
        [this] { return m_random(); },
        [this] { return wallStart + static_cast<int64_t>(m_events.seconds()); },
    };
    ClaimGateOptions gateOptions;
    gateOptions.appendsPerSecond = 20;
    daemon.gate = std::make_unique<ClaimGate>(gateOptions, std::move(hooks));
    daemon.authenticator = std::make_unique<Authenticator>("key", VMId(index + 1), Incarnation(life));
    daemon.tickets = std::make_unique<TicketRegistry>(*daemon.authenticator, VMId(index + 1), Incarnation(life), 100000, 1 << 20);
}

void OnceWorld::append(std::string const& stream, std::string record, std::function<void(Result<Offset>)> const& callback)
{
    if (m_isLogDown || fault()) {
        m_events.after(someTime(20000), [callback] { callback(Error(ErrorCode::Unreachable, "down")); });
        return;
    }
    bool const losesReply = fault();
    bool const isVeryLate = fault();
    bool const isLost = losesReply && fault();
    // A daemon waits two seconds for a reply; a record may take effect after that.
    if (isVeryLate)
        m_events.after(Microseconds(2000000), [callback] { callback(Error(ErrorCode::Timeout, "no reply")); });
    auto const effect = isVeryLate ? Microseconds(2000000) + someTime(4000000) : someTime(5000);
    m_events.after(effect, [this, stream, record = std::move(record), callback, losesReply, isVeryLate, isLost] {
        auto& records = m_streams[stream];
        if (!isLost)
            records.push_back(record);
        if (isVeryLate)
            return;
        auto const offset = Offset(records.size() - 1);
        m_events.after(someTime(5000), [callback, losesReply, offset] {
            if (losesReply)
                callback(Error(ErrorCode::Timeout, "reply lost"));
            else
                callback(offset);
        });
    });
}

void OnceWorld::read(std::string const& stream, Offset from, std::function<void(Result<ClaimGate::ReadResult>)> const& callback)
{
    m_events.after(someTime(5000), [this, stream, from, callback] {
        if (m_isLogDown || fault()) {
            callback(Error(ErrorCode::PlatformDown, "down"));
            return;
        }
        auto const& records = m_streams[stream];
        ClaimGate::ReadResult result { Offset(0), Offset(records.size()), {}, m_returns };
        for (auto offset = from.value(); offset < records.size() && result.records.size() < 3; ++offset)
            result.records.emplace_back(Offset(offset), records[offset]);
        callback(std::move(result));
    });
}

void OnceWorld::answer(std::shared_ptr<Submission> const& submission, Verdict verdict)
{
    submission->isAnswered = true;
    if (verdict == Verdict::NotRun) {
        ++m_counts.notRun;
        submission->wasToldNotRun = true;
    } else if (verdict == Verdict::MayHaveRun) {
        ++m_counts.mayHaveRun;
    }
}

// The daemon may be paused, stopped or restarted before it gets to run the call;
// a paused one runs it all the same, however late.
void OnceWorld::execute(size_t index, std::shared_ptr<Submission> const& submission, std::function<void(Verdict)> finished)
{
    auto const pause = fault() ? someTime(10000000) : someTime(2000);
    submission->isFaulted |= pause > Microseconds(2000);
    auto const life = m_daemons[index].life;
    m_events.after(pause, [this, index, life, submission, finished = std::move(finished)] {
        auto const isAlive = [this, index, life] { return m_daemons[index].life == life; };
        if (!isAlive())
            return;
        if (fault()) {
            submission->isFaulted = true;
            finished(Verdict::NotRun);
            return;
        }
        submission->hasRun = true;
        ++m_counts.ran;
        if (++m_runs[submission->call] > 1)
            ++m_counts.duplicates;
        if (fault()) {
            submission->isFaulted = true;
            finished(Verdict::MayHaveRun);
            return;
        }
        m_events.after(someTime(20000), [isAlive, finished] {
            if (isAlive())
                finished(Verdict::Ran);
        });
    });
}

void OnceWorld::decideKey(size_t index, std::shared_ptr<Submission> const& submission, IdempotencyKey const& key, ClaimGate::Decision const& decision)
{
    if (auto const* refusal = std::get_if<Refusal>(&decision)) {
        answer(submission, refusal->verdict);
        return;
    }
    if (std::holds_alternative<ClaimGate::Replay>(decision)) {
        ++m_counts.replayed;
        answer(submission, Verdict::Ran);
        return;
    }
    auto const nonce = std::get<ClaimGate::MayRun>(decision).nonce;
    execute(index, submission, [this, index, submission, key, nonce](Verdict verdict) {
        auto& gate = *m_daemons[index].gate;
        if (verdict == Verdict::Ran)
            gate.done(key, nonce, { 200, "text/plain", submission->call, true }, m_events.now());
        else if (verdict == Verdict::NotRun)
            gate.abandon(key, nonce, m_events.now());
        answer(submission, verdict);
    });
}

void OnceWorld::submitKey(size_t number, int resends)
{
    auto const index = m_random() % m_daemons.size();
    auto const text = std::to_string(wallStart) + "-" + std::to_string(number);
    auto const submission = std::make_shared<Submission>();
    submission->call = text;
    m_submissions.push_back(submission);
    ++m_counts.calls;
    auto const key = IdempotencyKey::parse(text, 1).value();
    if (m_options.isGuarded) {
        m_daemons[index].gate->claim(key, number, m_events.now(), [this, index, submission, key](ClaimGate::Decision const& decision) {
            decideKey(index, submission, key, decision);
        });
    } else {
        execute(index, submission, [this, submission](Verdict verdict) {
            if (!submission->isAnswered)
                answer(submission, verdict);
        });
        // What goes without a guard: after a time-out it is simply called not run.
        m_events.after(naiveTimeout, [this, submission] {
            if (!submission->isAnswered)
                answer(submission, Verdict::NotRun);
        });
    }
    if (resends > 0)
        m_events.after(someTime(4000000), [this, number, resends] { submitKey(number, resends - 1); });
}

void OnceWorld::submitTicket(std::string const& ticket, std::string const& call, int resends)
{
    auto const submission = std::make_shared<Submission>();
    submission->call = call;
    m_submissions.push_back(submission);
    ++m_counts.calls;
    // Whichever daemon it comes to, it ends at the holder or at none.
    size_t index = 0;
    auto decision = m_daemons[0].tickets->redeem(ticket, OrganisationId(1), 1);
    if (auto const* elsewhere = std::get_if<TicketRegistry::HeldElsewhere>(&decision)) {
        index = elsewhere->holder.value() - 1;
        decision = m_daemons[index].tickets->redeem(ticket, OrganisationId(1), 1);
    }
    if (auto const* granted = std::get_if<TicketRegistry::MayRun>(&decision); granted || !m_options.isGuarded) {
        auto const serial = granted ? granted->serial : 0;
        execute(index, submission, [this, index, submission, serial](Verdict verdict) {
            auto& tickets = *m_daemons[index].tickets;
            if (verdict == Verdict::Ran)
                tickets.done(serial, { 200, "text/plain", submission->call, true });
            else if (verdict == Verdict::NotRun)
                tickets.notRun(serial);
            else
                tickets.inDoubt(serial);
            answer(submission, verdict);
        });
    } else if (std::holds_alternative<TicketRegistry::Replay>(decision)) {
        ++m_counts.replayed;
        answer(submission, Verdict::Ran);
    } else {
        answer(submission, std::get<Refusal>(decision).verdict);
    }
    if (resends > 0)
        m_events.after(someTime(4000000), [this, ticket, call, resends] { submitTicket(ticket, call, resends - 1); });
}

// In each stream some of the last records are gone; what is on its way comes after them.
void OnceWorld::loseRecords()
{
    for (auto& [name, records] : m_streams)
        records.resize(records.size() - std::min<size_t>(records.size(), m_random() % 6));
    ++m_returns;
}

void OnceWorld::tick()
{
    for (auto& daemon : m_daemons)
        daemon.gate->tick(m_events.now());
    // A restart every few seconds, an outage of the log of up to three.
    if (m_random() % 4000 < m_options.faultsPerThousand)
        restart(m_random() % m_daemons.size());
    if (!m_isLogDown && m_random() % 8000 < m_options.faultsPerThousand) {
        m_isLogDown = true;
        m_events.after(someTime(3000000), [this] { m_isLogDown = false; });
    }
    if (m_options.losesRecords && m_random() % 4000 < m_options.faultsPerThousand)
        loseRecords();
    m_events.after(tickInterval, [this] { tick(); });
}

OnceWorld::Counts OnceWorld::run(size_t keys)
{
    constexpr int mostResends = 3;
    m_events.after(tickInterval, [this] { tick(); });
    auto const spacing = Microseconds(5000);
    for (size_t number = 0; number < keys; ++number) {
        auto const at = spacing * static_cast<int64_t>(number);
        m_events.after(at, [this, number] { submitKey(number, mostResends); });
        m_events.after(at, [this, number] {
            auto const holder = m_random() % m_daemons.size();
            auto const tickets = m_daemons[holder].tickets->issue(OrganisationId(1), 1);
            submitTicket(tickets.front(), "ticket-" + std::to_string(number), mostResends);
        });
    }
    auto const end = asSeconds(spacing) * static_cast<double>(keys) + 12 + settleSeconds;
    m_events.runUntil(Measure::instantAt(end));
    for (auto const& submission : m_submissions) {
        m_counts.wrongVerdicts += submission->hasRun && submission->wasToldNotRun;
        m_counts.unanswered += !submission->isAnswered;
        m_counts.faulted += submission->isFaulted || !submission->isAnswered || submission->wasToldNotRun;
    }
    return m_counts;
}

}

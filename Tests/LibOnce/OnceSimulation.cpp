#include <LibOnce/OnceSimulation.h>

namespace Stagepost::Tests {

namespace {

    constexpr int64_t startTime = 1764680000;
    constexpr Microseconds tickInterval { 50000 };
    constexpr Microseconds naiveTimeout { 2000000 };
    // The simulated time after the last call, long enough for every attempt to expire.
    constexpr double drainSeconds = 30;

}

OnceSimulation::OnceSimulation(Options options)
    : m_options(options)
    , m_random(options.seed)
    , m_daemons(options.daemons)
{
    for (size_t index = 0; index < m_daemons.size(); ++index)
        restart(index);
}

bool OnceSimulation::injectsFault()
{
    return m_random() % 1000 < m_options.faultsPerThousand;
}

Microseconds OnceSimulation::randomDuration(int64_t max)
{
    return Microseconds(static_cast<int64_t>(m_random() % static_cast<uint64_t>(max)));
}

// The new process has no state of the previous one, whose pending callbacks are dropped.
void OnceSimulation::restart(size_t index)
{
    auto& daemon = m_daemons[index];
    auto const incarnation = ++daemon.incarnation;
    auto const isCurrent = [this, index, incarnation] { return m_daemons[index].incarnation == incarnation; };
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
        [this] { return startTime + static_cast<int64_t>(m_events.seconds()); },
    };
    ClaimGateOptions gateOptions;
    gateOptions.appendsPerSecond = 20;
    daemon.gate = std::make_unique<ClaimGate>(gateOptions, std::move(hooks));
    daemon.authenticator = std::make_unique<Authenticator>("key", VMId(index + 1), Incarnation(incarnation));
    daemon.tickets = std::make_unique<TicketRegistry>(*daemon.authenticator, VMId(index + 1), Incarnation(incarnation), 100000, 1 << 20);
}

void OnceSimulation::append(std::string const& stream, std::string record, std::function<void(Result<Offset>)> const& callback)
{
    if (m_isLogDown || injectsFault()) {
        m_events.after(randomDuration(20000), [callback] { callback(Error(ErrorCode::Unreachable, "down")); });
        return;
    }
    bool const losesReply = injectsFault();
    bool const isTimedOut = injectsFault();
    bool const isLost = losesReply && injectsFault();
    // A daemon's append times out after two seconds; the record may still be appended later.
    if (isTimedOut)
        m_events.after(Microseconds(2000000), [callback] { callback(Error(ErrorCode::Timeout, "no reply")); });
    auto const effect = isTimedOut ? Microseconds(2000000) + randomDuration(4000000) : randomDuration(5000);
    m_events.after(effect, [this, stream, record = std::move(record), callback, losesReply, isTimedOut, isLost] {
        auto& records = m_streams[stream];
        if (!isLost)
            records.push_back(record);
        if (isTimedOut)
            return;
        auto const offset = Offset(records.size() - 1);
        m_events.after(randomDuration(5000), [callback, losesReply, offset] {
            if (losesReply)
                callback(Error(ErrorCode::Timeout, "reply lost"));
            else
                callback(offset);
        });
    });
}

void OnceSimulation::read(std::string const& stream, Offset from, std::function<void(Result<ClaimGate::ReadResult>)> const& callback)
{
    m_events.after(randomDuration(5000), [this, stream, from, callback] {
        if (m_isLogDown || injectsFault()) {
            callback(Error(ErrorCode::PlatformDown, "down"));
            return;
        }
        auto const& records = m_streams[stream];
        ClaimGate::ReadResult result { Offset(0), Offset(records.size()), {}, m_restoreCount };
        for (auto offset = from.value(); offset < records.size() && result.records.size() < 3; ++offset)
            result.records.emplace_back(Offset(offset), records[offset]);
        callback(std::move(result));
    });
}

void OnceSimulation::recordVerdict(std::shared_ptr<Submission> const& submission, Verdict verdict)
{
    submission->isAnswered = true;
    if (verdict.isNotRun()) {
        ++m_counts.notRun;
        submission->wasToldNotRun = true;
    } else if (verdict == Verdict::mayHaveRun) {
        ++m_counts.mayHaveRun;
    }
}

// The daemon may pause, fail or restart before it runs the call. After a pause it still runs
// the call, however late.
void OnceSimulation::execute(size_t index, std::shared_ptr<Submission> const& submission, std::function<void(Verdict)> finished)
{
    auto const pause = injectsFault() ? randomDuration(10000000) : randomDuration(2000);
    submission->isFaulted |= pause > Microseconds(2000);
    auto const incarnation = m_daemons[index].incarnation;
    m_events.after(pause, [this, index, incarnation, submission, finished = std::move(finished)] {
        auto const isAlive = [this, index, incarnation] { return m_daemons[index].incarnation == incarnation; };
        if (!isAlive())
            return;
        if (injectsFault()) {
            submission->isFaulted = true;
            finished(NotRunProof::nothingSent());
            return;
        }
        submission->hasRun = true;
        ++m_counts.ran;
        if (++m_runs[submission->call] > 1)
            ++m_counts.duplicates;
        if (injectsFault()) {
            submission->isFaulted = true;
            finished(Verdict::mayHaveRun);
            return;
        }
        m_events.after(randomDuration(20000), [isAlive, finished] {
            if (isAlive())
                finished(Verdict::ran);
        });
    });
}

void OnceSimulation::decideKey(size_t index, std::shared_ptr<Submission> const& submission, IdempotencyKey const& key, ClaimGate::Decision const& decision)
{
    if (auto const* refusal = std::get_if<Refusal>(&decision)) {
        recordVerdict(submission, refusal->verdict);
        return;
    }
    if (std::holds_alternative<ClaimGate::Replay>(decision)) {
        ++m_counts.replayed;
        recordVerdict(submission, Verdict::ran);
        return;
    }
    auto const nonce = std::get<ClaimGate::MayRun>(decision).nonce;
    execute(index, submission, [this, index, submission, key, nonce](Verdict verdict) {
        auto& gate = *m_daemons[index].gate;
        if (verdict == Verdict::ran)
            gate.done(key, nonce, { 200, "text/plain", submission->call, true }, m_events.now());
        else if (verdict.isNotRun())
            gate.abandon(key, nonce, m_events.now());
        recordVerdict(submission, verdict);
    });
}

void OnceSimulation::submitKey(size_t number, int retries)
{
    auto const index = m_random() % m_daemons.size();
    auto const text = std::to_string(startTime) + "-" + std::to_string(number);
    auto const submission = std::make_shared<Submission>();
    submission->call = text;
    m_submissions.push_back(submission);
    ++m_counts.calls;
    auto const key = IdempotencyKey::parse(text, 1).value();
    if (m_options.enforcesAtMostOnce) {
        m_daemons[index].gate->claim(key, number, m_events.now(), [this, index, submission, key](ClaimGate::Decision const& decision) {
            decideKey(index, submission, key, decision);
        });
    } else {
        execute(index, submission, [this, submission](Verdict verdict) {
            if (!submission->isAnswered)
                recordVerdict(submission, verdict);
        });
        // A naive client: it takes a timeout to mean that the call has not run.
        m_events.after(naiveTimeout, [this, submission] {
            if (!submission->isAnswered)
                recordVerdict(submission, NotRunProof::nothingSent());
        });
    }
    if (retries > 0)
        m_events.after(randomDuration(4000000), [this, number, retries] { submitKey(number, retries - 1); });
}

void OnceSimulation::submitTicket(std::string const& ticket, std::string const& call, int retries)
{
    auto const submission = std::make_shared<Submission>();
    submission->call = call;
    m_submissions.push_back(submission);
    ++m_counts.calls;
    // A request that reaches another daemon is forwarded to the one that issued the ticket.
    size_t index = 0;
    auto decision = m_daemons[0].tickets->redeem(ticket, OrganisationId(1), 1);
    if (auto const* elsewhere = std::get_if<TicketRegistry::HeldElsewhere>(&decision)) {
        index = elsewhere->holder.value() - 1;
        decision = m_daemons[index].tickets->redeem(ticket, OrganisationId(1), 1);
    }
    if (auto const* granted = std::get_if<TicketRegistry::MayRun>(&decision); granted || !m_options.enforcesAtMostOnce) {
        auto const serial = granted ? granted->serial : 0;
        execute(index, submission, [this, index, submission, serial](Verdict verdict) {
            auto& tickets = *m_daemons[index].tickets;
            if (verdict == Verdict::ran)
                tickets.done(serial, { 200, "text/plain", submission->call, true });
            else if (verdict.isNotRun())
                tickets.notRun(serial);
            else
                tickets.inDoubt(serial);
            recordVerdict(submission, verdict);
        });
    } else if (std::holds_alternative<TicketRegistry::Replay>(decision)) {
        ++m_counts.replayed;
        recordVerdict(submission, Verdict::ran);
    } else {
        recordVerdict(submission, std::get<Refusal>(decision).verdict);
    }
    if (retries > 0)
        m_events.after(randomDuration(4000000), [this, ticket, call, retries] { submitTicket(ticket, call, retries - 1); });
}

// Removes some of the last records of each stream. Appends in flight are added after the
// remaining ones.
void OnceSimulation::restoreFromBackup()
{
    for (auto& [name, records] : m_streams)
        records.resize(records.size() - std::min<size_t>(records.size(), m_random() % 6));
    ++m_restoreCount;
}

void OnceSimulation::tick()
{
    for (auto& daemon : m_daemons)
        daemon.gate->tick(m_events.now());
    // At the default fault rate a daemon restarts about every 2.5 s, and the log fails for up to 3 s.
    if (m_random() % 4000 < m_options.faultsPerThousand)
        restart(m_random() % m_daemons.size());
    if (!m_isLogDown && m_random() % 8000 < m_options.faultsPerThousand) {
        m_isLogDown = true;
        m_events.after(randomDuration(3000000), [this] { m_isLogDown = false; });
    }
    if (m_options.restoresFromBackups && m_random() % 4000 < m_options.faultsPerThousand)
        restoreFromBackup();
    m_events.after(tickInterval, [this] { tick(); });
}

OnceSimulation::Counts OnceSimulation::run(size_t keys)
{
    constexpr int maxRetries = 3;
    m_events.after(tickInterval, [this] { tick(); });
    auto const spacing = Microseconds(5000);
    for (size_t number = 0; number < keys; ++number) {
        auto const at = spacing * static_cast<int64_t>(number);
        m_events.after(at, [this, number] { submitKey(number, maxRetries); });
        m_events.after(at, [this, number] {
            auto const holder = m_random() % m_daemons.size();
            auto const tickets = m_daemons[holder].tickets->issue(OrganisationId(1), 1);
            submitTicket(tickets.front(), "ticket-" + std::to_string(number), maxRetries);
        });
    }
    auto const end = asSeconds(spacing) * static_cast<double>(keys) + 12 + drainSeconds;
    m_events.runUntil(Measure::instantAt(end));
    for (auto const& submission : m_submissions) {
        m_counts.wrongVerdicts += submission->hasRun && submission->wasToldNotRun;
        m_counts.unanswered += !submission->isAnswered;
        m_counts.faulted += submission->isFaulted || !submission->isAnswered || submission->wasToldNotRun;
    }
    return m_counts;
}

}

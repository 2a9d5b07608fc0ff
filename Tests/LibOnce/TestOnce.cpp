#include <LibOnce/OnceSimulation.h>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace Stagepost;

namespace {

IdempotencyKey keyOf(std::string const& text)
{
    return IdempotencyKey::parse(text, 1).value();
}

ClaimRecord step(ClaimRecord::Step kind, IdempotencyKey const& key, uint64_t nonce)
{
    ClaimRecord record;
    record.step = kind;
    record.key = key;
    record.nonce = nonce;
    if (kind == ClaimRecord::Step::Done)
        record.response = { 200, "text/plain", "answer", true };
    return record;
}

using Step = ClaimRecord::Step;

struct TicketFixture {
    Authenticator authenticator { "key", VMId(1), Incarnation(5) };
    TicketRegistry tickets { authenticator, VMId(1), Incarnation(5), 4, 100 };
    OrganisationId organisation { 7 };
};

}

BOOST_AUTO_TEST_SUITE(OnceTests)

BOOST_AUTO_TEST_CASE(KeysWithoutCreationTimeAreRejected)
{
    BOOST_TEST(IdempotencyKey::parse("1764680000-a", 1).has_value());
    for (auto const* wrong : { "", "abc", "1764680000", "1764680000-", "-5-a" })
        BOOST_TEST(!IdempotencyKey::parse(wrong, 1).has_value());
    BOOST_TEST((keyOf("1764680000-a") != IdempotencyKey::parse("1764680000-a", 2).value()));
}

BOOST_AUTO_TEST_CASE(TheFirstClaimHoldsTheKey)
{
    ClaimTable table;
    auto const key = keyOf("10-a");
    table.apply(step(Step::Claim, key, 1));
    table.apply(step(Step::Claim, key, 2));
    BOOST_TEST(table.find(key)->nonce == 1u);
    table.apply(step(Step::Done, key, 2));
    BOOST_TEST((table.find(key)->state == ClaimTable::State::Held));
    table.apply(step(Step::Done, key, 1));
    BOOST_TEST(table.find(key)->response.body == "answer");
}

BOOST_AUTO_TEST_CASE(AbandonFreesAKeyAndVoidsALateClaimOfTheSameAttempt)
{
    ClaimTable table;
    auto const key = keyOf("10-a");
    table.apply(step(Step::Abandon, key, 1));
    table.apply(step(Step::Claim, key, 1));
    BOOST_TEST(table.find(key) == nullptr);
    table.apply(step(Step::Claim, key, 2));
    table.apply(step(Step::Abandon, key, 1));
    BOOST_TEST(table.find(key)->nonce == 2u);
    table.apply(step(Step::Abandon, key, 2));
    BOOST_TEST(table.find(key) == nullptr);
}

BOOST_AUTO_TEST_CASE(ResponseBodiesAreDroppedBeforeKeys)
{
    ClaimTable table;
    auto const key = keyOf("10-a");
    table.apply(step(Step::Claim, key, 1));
    table.apply(step(Step::Done, key, 1));
    table.shrinkTo(0);
    BOOST_TEST((table.find(key)->state == ClaimTable::State::Done));
    BOOST_TEST(!table.find(key)->response.isComplete);
    table.evictBefore(11);
    BOOST_TEST(table.size() == 0u);
}

BOOST_AUTO_TEST_CASE(RecordsRoundTripAndGarbageIsRejected)
{
    auto const key = keyOf("10-a");
    auto const text = ClaimRecord::encode({ step(Step::Claim, key, 1), step(Step::Done, key, 1), step(Step::Abandon, key, 3) });
    auto const records = ClaimRecord::decode(text);
    BOOST_REQUIRE(records.has_value());
    BOOST_TEST(records->size() == 3u);
    BOOST_TEST(records->at(1).response.body == "answer");
    BOOST_TEST(rc::check("garbage does not decode to records", [](std::string const& garbage) {
        auto const decoded = ClaimRecord::decode(garbage);
        bool const isNothing = !decoded.has_value() || decoded->empty();
        RC_ASSERT(isNothing);
    }));
}

BOOST_AUTO_TEST_CASE(ATicketRunsOnce)
{
    TicketFixture fixture;
    auto const ticket = fixture.tickets.issue(fixture.organisation, 1).front();
    auto const first = fixture.tickets.redeem(ticket, fixture.organisation, 1);
    BOOST_REQUIRE(std::holds_alternative<TicketRegistry::MayRun>(first));
    BOOST_TEST((std::get<Refusal>(fixture.tickets.redeem(ticket, fixture.organisation, 1)).verdict == Verdict::mayHaveRun));
    fixture.tickets.done(std::get<TicketRegistry::MayRun>(first).serial, { 200, "", "body", true });
    BOOST_TEST(std::get<TicketRegistry::Replay>(fixture.tickets.redeem(ticket, fixture.organisation, 1)).response.body == "body");
    BOOST_TEST((std::get<Refusal>(fixture.tickets.redeem(ticket, fixture.organisation, 2)).reason == RefusalReason::KeyReused));
}

BOOST_AUTO_TEST_CASE(TicketsOfOthersAndDamagedTicketsAreInvalid)
{
    TicketFixture fixture;
    auto ticket = fixture.tickets.issue(fixture.organisation, 1).front();
    BOOST_TEST((std::get<Refusal>(fixture.tickets.redeem(ticket, OrganisationId(8), 1)).reason == RefusalReason::TicketInvalid));
    ticket[40] = ticket[40] == '0' ? '1' : '0';
    BOOST_TEST((std::get<Refusal>(fixture.tickets.redeem(ticket, fixture.organisation, 1)).reason == RefusalReason::TicketInvalid));
    BOOST_TEST((std::get<Refusal>(fixture.tickets.redeem("short", fixture.organisation, 1)).reason == RefusalReason::TicketInvalid));
}

BOOST_AUTO_TEST_CASE(ARestartedDaemonRefusesTicketsOfItsPreviousIncarnation)
{
    TicketFixture fixture;
    auto const ticket = fixture.tickets.issue(fixture.organisation, 1).front();
    TicketRegistry restarted(fixture.authenticator, VMId(1), Incarnation(6), 4, 100);
    auto const refusal = std::get<Refusal>(restarted.redeem(ticket, fixture.organisation, 1));
    BOOST_TEST((refusal.reason == RefusalReason::TicketHolderGone && refusal.verdict == Verdict::mayHaveRun));
}

BOOST_AUTO_TEST_CASE(OnlyAWindowOfTicketsIsTracked)
{
    TicketFixture fixture;
    auto const tickets = fixture.tickets.issue(fixture.organisation, 4);
    BOOST_REQUIRE(std::holds_alternative<TicketRegistry::MayRun>(fixture.tickets.redeem(tickets[1], fixture.organisation, 1)));
    BOOST_TEST(fixture.tickets.issue(fixture.organisation, 3).size() == 1u);
    auto const refusal = std::get<Refusal>(fixture.tickets.redeem(tickets[0], fixture.organisation, 1));
    BOOST_TEST((refusal.reason == RefusalReason::KeyOutOfWindow && refusal.verdict == Verdict::mayHaveRun));
}

BOOST_AUTO_TEST_CASE(AppendsAreRateLimitedAndBackOffAfterFailures)
{
    AppendRateLimiter limiter(10);
    Instant const start = Instant(Microseconds(1000000));
    BOOST_TEST(limiter.tryAcquire(start));
    BOOST_TEST(!limiter.tryAcquire(start + Microseconds(99999)));
    BOOST_TEST(limiter.tryAcquire(start + Microseconds(100000)));
    // Starts after the interval of the last append, so that only the backoff limits.
    auto now = start + Microseconds(1000000);
    Microseconds previousBackoff {};
    for (int failures = 0; failures < 4; ++failures) {
        limiter.recordFailure(now, 0);
        auto const backoff = limiter.nextAllowedAt() - now;
        BOOST_TEST((backoff > previousBackoff));
        previousBackoff = backoff;
        now = limiter.nextAllowedAt();
    }
}

BOOST_AUTO_TEST_CASE(UnderFaultsNoCallRunsTwiceAndNotRunVerdictsAreCorrect)
{
    BOOST_TEST(rc::check("random faults, interleavings and retries", [](uint32_t seed) {
        Tests::OnceSimulation::Options options;
        options.seed = seed;
        options.faultsPerThousand = 20 + seed % 200;
        auto const counts = Tests::OnceSimulation(options).run(40);
        RC_ASSERT(counts.duplicates == 0u);
        RC_ASSERT(counts.wrongVerdicts == 0u);
        RC_ASSERT(counts.ran > 0u);
    }));
}

// Guards against duplicate runs after the log is restored from a backup that lacks its last
// records: a lost claim must not let its call run again, and a new claim at an offset that
// was read before the restore must not be skipped.
BOOST_AUTO_TEST_CASE(NoCallRunsTwiceWhenTheLogIsRestoredFromABackup)
{
    BOOST_TEST(rc::check("random restores of the log from backups", [](uint32_t seed) {
        Tests::OnceSimulation::Options options;
        options.seed = seed;
        options.faultsPerThousand = 20 + seed % 200;
        options.restoresFromBackups = true;
        auto const counts = Tests::OnceSimulation(options).run(40);
        RC_ASSERT(counts.duplicates == 0u);
        RC_ASSERT(counts.wrongVerdicts == 0u);
        RC_ASSERT(counts.ran > 0u);
    }));
}

BOOST_AUTO_TEST_CASE(AfterALogRestoreOnlyKeysCreatedBeforeItAreRefused)
{
    std::vector<std::string> log;
    uint64_t restoreCount = 0;
    int64_t wallClockSeconds = 1000;
    uint64_t nonce = 1;
    std::vector<std::function<void()>> due;
    ClaimGate::Hooks const hooks {
        [&](std::string const&, std::string record, std::function<void(Result<Offset>)> const& callback) {
            log.push_back(std::move(record));
            due.emplace_back([callback, at = log.size() - 1] { callback(Offset(at)); });
        },
        [&](std::string const&, Offset from, std::function<void(Result<ClaimGate::ReadResult>)> const& callback) {
            ClaimGate::ReadResult result { Offset(0), Offset(log.size()), {}, restoreCount };
            for (auto at = from.value(); at < log.size(); ++at)
                result.records.emplace_back(Offset(at), log[at]);
            due.emplace_back([callback, result] { callback(result); });
        },
        [&] { return nonce += 2; },
        [&] { return wallClockSeconds; },
    };
    auto const runDueCallbacks = [&] {
        while (!due.empty()) {
            auto const steps = std::exchange(due, {});
            for (auto const& step : steps)
                step();
        }
    };
    Instant now { Seconds(100) };
    auto const decisionOf = [&](ClaimGate& gate, std::string const& key) {
        std::optional<ClaimGate::Decision> decision;
        now += Seconds(1);
        gate.claim(keyOf(key), 1, now, [&](auto const& decided) { decision = decided; });
        runDueCallbacks();
        return decision.value();
    };
    ClaimGate before({}, hooks);
    auto const first = std::get<ClaimGate::MayRun>(decisionOf(before, "1000-a"));
    // The restore loses the claim, and the daemon that held it has restarted.
    log.clear();
    ++restoreCount;
    ClaimGate after({}, hooks);
    auto const refused = std::get<Refusal>(decisionOf(after, "1000-a"));
    BOOST_TEST((refused.reason == RefusalReason::KeyOutOfWindow && refused.verdict == Verdict::mayHaveRun));
    wallClockSeconds = 1100;
    auto const later = std::get<ClaimGate::MayRun>(decisionOf(after, "1090-a"));
    // Fences increase although offsets start again.
    BOOST_TEST(later.fence > first.fence);
    // A third daemon learns of the possible loss from the record that the second appended.
    ClaimGate third({}, hooks);
    BOOST_TEST(std::holds_alternative<Refusal>(decisionOf(third, "1000-b")));
    BOOST_TEST(std::holds_alternative<ClaimGate::MayRun>(decisionOf(third, "1095-b")));
}

BOOST_AUTO_TEST_CASE(WithoutAtMostOnceTheSimulationDetectsDuplicates)
{
    Tests::OnceSimulation::Options options;
    options.enforcesAtMostOnce = false;
    auto const counts = Tests::OnceSimulation(options).run(200);
    BOOST_TEST(counts.duplicates > 0u);
    BOOST_TEST(counts.wrongVerdicts > 0u);
}

BOOST_AUTO_TEST_CASE(WithoutFaultsEveryCallRunsAndRetriesAreReplayed)
{
    Tests::OnceSimulation::Options options;
    options.faultsPerThousand = 0;
    auto const counts = Tests::OnceSimulation(options).run(40);
    BOOST_TEST(counts.ran == 80u);
    BOOST_TEST(counts.unanswered == 0u);
    BOOST_TEST(counts.replayed > 0u);
    BOOST_TEST(counts.notRun == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

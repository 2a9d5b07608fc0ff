#include <Measure/Measurements.h>

#include <LibOnce/Once.h>
#include <LibOnce/OnceSimulation.h>
#include <Measure/LoadClient.h>
#include <Measure/Statistics.h>
#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>

namespace Stagepost::Measure {

namespace {

    constexpr size_t ticketBatch = 200;

    // Measures the latency through the daemon of calls with neither ticket nor idempotency key, with a
    // ticket and with a key, in turn.
    class OnceLatency {
    public:
        explicit OnceLatency(Arguments const& arguments)
            : m_client(m_context, Endpoint::parse(arguments.text("daemon", "")).value(), arguments.text("token", ""))
            , m_calls(arguments.isQuick() ? 400 : 4000)
        {
        }

        size_t run(ResultLine& line)
        {
            Net::co_spawn(m_context, loop(), Net::detached);
            m_context.run();
            auto const unprotected = quantile(m_unprotected, 0.5);
            line.add("repeatable_p50_us", unprotected);
            line.add("ticket_added_p50_us", quantile(m_ticketed, 0.5) - unprotected).add("ticket_added_p99_us", quantile(m_ticketed, 0.99) - quantile(m_unprotected, 0.99));
            line.add("claim_added_p50_us", quantile(m_claimed, 0.5) - unprotected).add("claim_added_p99_us", quantile(m_claimed, 0.99) - quantile(m_unprotected, 0.99));
            return m_failures;
        }

    private:
        Net::awaitable<void> loop()
        {
            co_await m_client.connect();
            std::vector<std::string> tickets;
            std::string const path = "/services/book/x";
            std::string const ticketPath = "/v1/tickets?count=" + std::to_string(ticketBatch);
            std::string const ticketField = "Stagepost-Ticket";
            std::string const keyField = "Idempotency-Key";
            auto const nowSeconds = std::chrono::duration_cast<Seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
            for (size_t call = 0; call < m_calls; ++call) {
                if (tickets.empty()) {
                    auto const body = co_await m_client.fetch(ticketPath);
                    tickets = nlohmann::json::parse(body)["tickets"].get<std::vector<std::string>>();
                }
                std::string const ticket = tickets.back();
                tickets.pop_back();
                std::string const key = std::to_string(nowSeconds) + "-measure-" + std::to_string(call);
                auto const unprotected = co_await m_client.post(path, "X-None", "none");
                auto const ticketed = co_await m_client.post(path, ticketField, ticket);
                auto const claimed = co_await m_client.post(path, keyField, key);
                m_failures += !unprotected.isOk + !ticketed.isOk + !claimed.isOk;
                m_unprotected.push_back(unprotected.totalSeconds * 1e6);
                m_ticketed.push_back(ticketed.totalSeconds * 1e6);
                m_claimed.push_back(claimed.totalSeconds * 1e6);
            }
        }

        Net::io_context m_context { 1 };
        LoadClient m_client;
        size_t m_calls;
        size_t m_failures { 0 };
        std::vector<double> m_unprotected;
        std::vector<double> m_ticketed;
        std::vector<double> m_claimed;
    };

    // Returns the log appends per second that a ClaimGate makes at the given rate of claims. The log
    // is simulated.
    double appendsPerSecond(double claimsPerSecond, double seconds)
    {
        constexpr Microseconds logLatency { 2000 };
        EventQueue events;
        std::map<std::string, std::vector<std::string>> streams;
        uint64_t random = 1;
        ClaimGate::Hooks hooks {
            [&](std::string const& stream, std::string record, std::function<void(Result<Offset>)> const& callback) {
                streams[stream].push_back(std::move(record));
                auto const offset = Offset(streams[stream].size() - 1);
                events.after(logLatency, [callback, offset] { callback(offset); });
            },
            [&](std::string const& stream, Offset from, std::function<void(Result<ClaimGate::ReadResult>)> const& callback) {
                ClaimGate::ReadResult result { Offset(0), Offset(streams[stream].size()), {} };
                for (auto offset = from.value(); offset < streams[stream].size(); ++offset)
                    result.records.emplace_back(Offset(offset), streams[stream][offset]);
                events.after(logLatency, [callback, result] { callback(result); });
            },
            [&] { return random = mixHashes(random, 1); },
            [] { return int64_t { 1000 }; },
        };
        ClaimGateOptions options;
        options.memoryBytes = size_t { 1 } << 30;
        ClaimGate gate(options, std::move(hooks));
        auto const count = static_cast<size_t>(claimsPerSecond * seconds);
        for (size_t index = 0; index < count; ++index) {
            events.at(instantAt(static_cast<double>(index) / claimsPerSecond), [&, index] {
                auto const key = IdempotencyKey::parse("1000-" + std::to_string(index), 1).value();
                gate.claim(key, 1, events.now(), [&, key](ClaimGate::Decision const& decision) {
                    if (auto const* run = std::get_if<ClaimGate::MayRun>(&decision))
                        gate.done(key, run->nonce, { 200, {}, {}, true }, events.now());
                });
            });
        }
        std::function<void()> tick = [&] {
            gate.tick(events.now());
            events.after(Microseconds(50000), tick);
        };
        tick();
        events.runUntil(instantAt(seconds));
        return static_cast<double>(gate.appends()) / seconds;
    }

    double bytesPerKey()
    {
        constexpr size_t keys = 50000;
        auto const before = mallinfo2().uordblks;
        ClaimTable table;
        for (size_t index = 0; index < keys; ++index) {
            ClaimRecord record;
            record.key = IdempotencyKey::parse("1000-" + std::to_string(index), 1).value();
            record.nonce = index;
            table.apply(record);
        }
        return static_cast<double>(mallinfo2().uordblks - before) / keys;
    }

    Tests::OnceSimulation::Counts faultedCalls(uint64_t atLeast, bool enforcesAtMostOnce)
    {
        Tests::OnceSimulation::Counts sum;
        for (uint64_t seed = 1; sum.faulted < atLeast; ++seed) {
            Tests::OnceSimulation::Options options;
            options.seed = seed;
            options.enforcesAtMostOnce = enforcesAtMostOnce;
            auto const counts = Tests::OnceSimulation(options).run(1000);
            sum.calls += counts.calls;
            sum.faulted += counts.faulted;
            sum.duplicates += counts.duplicates;
            sum.wrongVerdicts += counts.wrongVerdicts;
            sum.unanswered += counts.unanswered;
        }
        return sum;
    }

}

int measureOnce(Arguments const& arguments)
{
    ResultLine line;
    size_t failures = 0;
    if (Endpoint::parse(arguments.text("daemon", "")))
        failures = OnceLatency(arguments).run(line);
    constexpr double fleetDaemons = 330;
    constexpr double seconds = 20;
    line.add("appends_per_s_1", appendsPerSecond(1, seconds)).add("appends_per_s_10", appendsPerSecond(10, seconds)).add("appends_per_s_100", appendsPerSecond(100, seconds));
    // One claim per second from each daemon of the fleet; all daemons share the same log streams.
    line.add("appends_per_s", appendsPerSecond(fleetDaemons, seconds)).add("appends_per_s_330_at_10", appendsPerSecond(fleetDaemons * 10, seconds / 2));
    line.add("bytes_per_key", bytesPerKey());
    auto const minFaultedCalls = arguments.isQuick() ? 10000 : 100000;
    auto const enforced = faultedCalls(minFaultedCalls, true);
    auto const unenforced = faultedCalls(arguments.isQuick() ? 1000 : 10000, false);
    line.add("calls", static_cast<double>(enforced.calls)).add("faulted_calls", static_cast<double>(enforced.faulted));
    line.add("duplicates", static_cast<double>(enforced.duplicates)).add("wrong_verdicts", static_cast<double>(enforced.wrongVerdicts));
    line.add("unguarded_duplicates", static_cast<double>(unenforced.duplicates)).add("unguarded_wrong_verdicts", static_cast<double>(unenforced.wrongVerdicts));
    line.add("failed_calls", static_cast<double>(failures));
    line.print();
    bool const isSuccessful = !enforced.duplicates && !enforced.wrongVerdicts && unenforced.duplicates && unenforced.wrongVerdicts && !failures;
    return isSuccessful ? 0 : 1;
}

}

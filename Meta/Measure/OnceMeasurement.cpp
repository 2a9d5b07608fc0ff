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

    // Repeatable, ticketed and claimed calls in turn, through the daemon.
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
            auto const plain = quantile(m_plain, 0.5);
            line.add("repeatable_p50_us", plain);
            line.add("ticket_added_p50_us", quantile(m_ticketed, 0.5) - plain).add("ticket_added_p99_us", quantile(m_ticketed, 0.99) - quantile(m_plain, 0.99));
            line.add("claim_added_p50_us", quantile(m_claimed, 0.5) - plain).add("claim_added_p99_us", quantile(m_claimed, 0.99) - quantile(m_plain, 0.99));
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
            auto const second = std::chrono::duration_cast<Seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
            for (size_t call = 0; call < m_calls; ++call) {
                if (tickets.empty()) {
                    auto const body = co_await m_client.fetch(ticketPath);
                    tickets = nlohmann::json::parse(body)["tickets"].get<std::vector<std::string>>();
                }
                std::string const ticket = tickets.back();
                tickets.pop_back();
                std::string const key = std::to_string(second) + "-measure-" + std::to_string(call);
                auto const plain = co_await m_client.post(path, "X-None", "none");
                auto const ticketed = co_await m_client.post(path, ticketField, ticket);
                auto const claimed = co_await m_client.post(path, keyField, key);
                m_failures += !plain.isOk + !ticketed.isOk + !claimed.isOk;
                m_plain.push_back(plain.totalSeconds * 1e6);
                m_ticketed.push_back(ticketed.totalSeconds * 1e6);
                m_claimed.push_back(claimed.totalSeconds * 1e6);
            }
        }

        Net::io_context m_context { 1 };
        LoadClient m_client;
        size_t m_calls;
        size_t m_failures { 0 };
        std::vector<double> m_plain;
        std::vector<double> m_ticketed;
        std::vector<double> m_claimed;
    };

    // Appends a second that the fleet makes for so many claims a second, by the real
    // gate on a simulated log that answers in two milliseconds.
    double appendsFor(double claimsPerSecond, double seconds)
    {
        EventQueue events;
        std::map<std::string, std::vector<std::string>> streams;
        uint64_t random = 1;
        ClaimGate::Hooks hooks {
            [&](std::string const& stream, std::string record, std::function<void(Result<Offset>)> const& callback) {
                streams[stream].push_back(std::move(record));
                auto const offset = Offset(streams[stream].size() - 1);
                events.after(Microseconds(2000), [callback, offset] { callback(offset); });
            },
            [&](std::string const& stream, Offset from, std::function<void(Result<ClaimGate::ReadResult>)> const& callback) {
                ClaimGate::ReadResult result { Offset(0), Offset(streams[stream].size()), {} };
                for (auto offset = from.value(); offset < streams[stream].size(); ++offset)
                    result.records.emplace_back(Offset(offset), streams[stream][offset]);
                events.after(Microseconds(2000), [callback, result] { callback(result); });
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

    Tests::OnceSimulation::Counts faultedCalls(uint64_t atLeast, bool isGuarded)
    {
        Tests::OnceSimulation::Counts sum;
        for (uint64_t seed = 1; sum.faulted < atLeast; ++seed) {
            Tests::OnceSimulation::Options options;
            options.seed = seed;
            options.enforcesAtMostOnce = isGuarded;
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
    line.add("appends_per_s_1", appendsFor(1, seconds)).add("appends_per_s_10", appendsFor(10, seconds)).add("appends_per_s_100", appendsFor(100, seconds));
    // All daemons' claims meet in the same streams.
    line.add("appends_per_s", appendsFor(fleetDaemons, seconds)).add("appends_per_s_330_at_10", appendsFor(fleetDaemons * 10, seconds / 2));
    line.add("bytes_per_key", bytesPerKey());
    auto const wanted = arguments.isQuick() ? 10000 : 100000;
    auto const guarded = faultedCalls(wanted, true);
    auto const unguarded = faultedCalls(arguments.isQuick() ? 1000 : 10000, false);
    line.add("calls", static_cast<double>(guarded.calls)).add("faulted_calls", static_cast<double>(guarded.faulted));
    line.add("duplicates", static_cast<double>(guarded.duplicates)).add("wrong_verdicts", static_cast<double>(guarded.wrongVerdicts));
    line.add("unguarded_duplicates", static_cast<double>(unguarded.duplicates)).add("unguarded_wrong_verdicts", static_cast<double>(unguarded.wrongVerdicts));
    line.add("failed_calls", static_cast<double>(failures));
    line.print();
    bool const isProved = !guarded.duplicates && !guarded.wrongVerdicts && unguarded.duplicates && unguarded.wrongVerdicts && !failures;
    return isProved ? 0 : 1;
}

}

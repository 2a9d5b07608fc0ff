#include <Measure/Measurements.h>

#include <Measure/LoadClient.h>
#include <Measure/ProcessUsage.h>
#include <Measure/Statistics.h>
#include <iostream>
#include <thread>

namespace Stagepost::Measure {

namespace {

    // Measures latency, throughput and memory of the daemon. Meta/stagepost.sh starts the daemon as a
    // separate process, so that its CPU time and memory do not include the load client's.
    class ProxyMeasurement {
    public:
        explicit ProxyMeasurement(Arguments const& arguments)
            : m_daemon(Endpoint::parse(arguments.text("daemon", "")).value())
            , m_engine(Endpoint::parse(arguments.text("engine", "")).value())
            , m_pid(static_cast<pid_t>(arguments.number("pid", 0)))
            , m_token(arguments.text("token", ""))
            , m_isQuick(arguments.isQuick())
        {
        }

        int run()
        {
            auto const idle = residentBytes(m_pid);
            measureLatency();
            measureRequests();
            measureTokens();
            measurePacedTokens();
            measureStreams();
            m_line.add("idle_rss_bytes", static_cast<double>(idle));
            m_line.print();
            return m_failures ? 1 : 0;
        }

    private:
        template <typename Coroutine>
        void runAll(std::vector<Coroutine>& coroutines)
        {
            for (auto& coroutine : coroutines)
                Net::co_spawn(m_context, std::move(coroutine), Net::detached);
            m_context.run();
            m_context.restart();
        }

        // Alternates calls to the engine directly and through the daemon, so that other load on the
        // machine affects both equally.
        Net::awaitable<void> compare(size_t calls, std::vector<double>& direct, std::vector<double>& proxied)
        {
            LoadClient toEngine(m_context, m_engine, m_token);
            LoadClient toDaemon(m_context, m_daemon, m_token);
            co_await toEngine.connect();
            co_await toDaemon.connect();
            for (size_t index = 0; index < calls; ++index) {
                auto const chat = "chat-" + std::to_string(index % 100);
                auto const first = co_await toEngine.chat(m_fastModel, chat, 1);
                auto const second = co_await toDaemon.chat(m_fastModel, chat, 1);
                m_failures += !first.isOk + !second.isOk;
                if (index < calls / 10)
                    continue;
                direct.push_back(first.totalSeconds * 1e6);
                proxied.push_back(second.totalSeconds * 1e6);
            }
        }

        void measureLatency()
        {
            std::vector<double> direct;
            std::vector<double> proxied;
            std::vector<Net::awaitable<void>> all;
            all.push_back(compare(m_isQuick ? 2000 : 20000, direct, proxied));
            runAll(all);
            m_line.add("direct_p50_us", quantile(direct, 0.5)).add("through_p50_us", quantile(proxied, 0.5));
            m_line.add("added_p50_us", quantile(proxied, 0.5) - quantile(direct, 0.5));
            m_line.add("added_p99_us", quantile(proxied, 0.99) - quantile(direct, 0.99));
        }

        Net::awaitable<void> callRepeatedly(std::string model, size_t number, size_t tokens, double seconds, size_t& calls, size_t& chunks)
        {
            LoadClient client(m_context, m_daemon, m_token);
            co_await client.connect();
            auto const end = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
            auto const chat = "loop-" + std::to_string(number);
            while (std::chrono::steady_clock::now() < end) {
                auto const timing = co_await client.chat(model, chat, tokens);
                if (!timing.isOk) {
                    ++m_failures;
                    co_return;
                }
                ++calls;
                chunks += timing.chunks;
            }
        }

        struct Throughput {
            double calls { 0 };
            double chunks { 0 };
            double cpuShare { 0 };
            double processCpuSeconds { 0 };
        };

        // Keeps the given number of clients busy and measures the daemon. A CPU share of 1 is one core.
        Throughput measureThroughput(std::string const& model, size_t clients, size_t tokens)
        {
            auto const seconds = m_isQuick ? 2.0 : 6.0;
            size_t calls = 0;
            size_t chunks = 0;
            std::vector<Net::awaitable<void>> all;
            for (size_t index = 0; index < clients; ++index)
                all.push_back(callRepeatedly(model, index, tokens, seconds, calls, chunks));
            auto const before = processCpuSeconds(m_pid);
            auto const start = std::chrono::steady_clock::now();
            runAll(all);
            auto const elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
            auto const cpuSeconds = processCpuSeconds(m_pid) - before;
            return { static_cast<double>(calls) / elapsed, static_cast<double>(chunks) / elapsed, cpuSeconds / elapsed, cpuSeconds };
        }

        void measureRequests()
        {
            auto const result = measureThroughput("fast", 64, 1);
            // Scaled up to a whole core, as the load client runs on the same machine and the daemon
            // may have had less.
            m_line.add("requests_per_s", result.calls / result.cpuShare).add("cpu_us_per_request", 1e6 * result.cpuShare / result.calls);
        }

        void measureTokens()
        {
            auto const result = measureThroughput("fast", 32, 5000);
            m_line.add("tokens_per_s", result.chunks / result.cpuShare);
        }

        // One daemon's share of the target load: 100 streams of 36 tokens per second each.
        void measurePacedTokens()
        {
            auto const result = measureThroughput("paced", 100, 36);
            m_line.add("paced_tokens_per_s", result.chunks).add("paced_core_share", result.cpuShare).add("cpu_us_per_token", 1e6 * result.cpuShare / result.chunks);
        }

        Net::awaitable<void> openStream(LoadClient& client, std::string chat)
        {
            auto const isConnected = co_await client.connect();
            auto const isOpen = co_await client.open(m_slowModel, std::move(chat), 600);
            m_failures += !isConnected || !isOpen;
        }

        void measureStreams()
        {
            constexpr size_t streams = 1000;
            std::vector<std::unique_ptr<LoadClient>> clients;
            for (size_t index = 0; index < streams; ++index)
                clients.push_back(std::make_unique<LoadClient>(m_context, m_daemon, m_token));
            auto const before = residentBytes(m_pid);
            std::vector<Net::awaitable<void>> all;
            for (size_t index = 0; index < streams; ++index)
                all.push_back(openStream(*clients[index], "hold-" + std::to_string(index)));
            runAll(all);
            std::this_thread::sleep_for(std::chrono::seconds(2));
            auto const after = residentBytes(m_pid);
            m_line.add("rss_1000_streams_bytes", static_cast<double>(after)).add("bytes_per_stream", static_cast<double>(after - before) / streams);
        }

        Endpoint m_daemon;
        Endpoint m_engine;
        pid_t m_pid;
        std::string m_token;
        // Members, because GCC 12 destroys temporaries in the arguments of co_await twice.
        std::string m_fastModel { "fast" };
        std::string m_slowModel { "slow" };
        bool m_isQuick;
        Net::io_context m_context { 1 };
        ResultLine m_line;
        size_t m_failures { 0 };
    };

}

int measureProxy(Arguments const& arguments)
{
    if (!Endpoint::parse(arguments.text("daemon", ""))) {
        std::cerr << "measure proxy: no valid --daemon given; run Meta/stagepost.sh measure proxy instead\n";
        return 2;
    }
    return ProxyMeasurement(arguments).run();
}

}

#include <Measure/Measurements.h>

#include <Measure/LoadClient.h>
#include <Measure/ProcessUsage.h>
#include <Measure/Statistics.h>
#include <iostream>
#include <thread>

namespace Stagepost::Measure {

namespace {

    // The daemon runs as a process of its own, which the script starts, so that its
    // processor time and memory are its own.
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

        // Calls the engine directly and through the daemon in turn, so that whatever
        // else the machine does falls on both alike.
        Net::awaitable<void> compare(size_t calls, std::vector<double>& direct, std::vector<double>& through)
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
                through.push_back(second.totalSeconds * 1e6);
            }
        }

        void measureLatency()
        {
            std::vector<double> direct;
            std::vector<double> through;
            std::vector<Net::awaitable<void>> all;
            all.push_back(compare(m_isQuick ? 2000 : 20000, direct, through));
            runAll(all);
            m_line.add("direct_p50_us", quantile(direct, 0.5)).add("through_p50_us", quantile(through, 0.5));
            m_line.add("added_p50_us", quantile(through, 0.5) - quantile(direct, 0.5));
            m_line.add("added_p99_us", quantile(through, 0.99) - quantile(direct, 0.99));
        }

        Net::awaitable<void> loop(std::string model, size_t number, size_t tokens, double seconds, size_t& calls, size_t& parts)
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
                parts += timing.parts;
            }
        }

        struct Throughput {
            double calls { 0 };
            double parts { 0 };
            double processorShare { 0 };
            double processorSeconds { 0 };
        };

        // Requests and parts a second at the daemon; a share of 1 is one whole core.
        Throughput drive(std::string const& model, size_t clients, size_t tokens)
        {
            auto const seconds = m_isQuick ? 2.0 : 6.0;
            size_t calls = 0;
            size_t parts = 0;
            std::vector<Net::awaitable<void>> all;
            for (size_t index = 0; index < clients; ++index)
                all.push_back(loop(model, index, tokens, seconds, calls, parts));
            auto const before = processCpuSeconds(m_pid);
            auto const start = std::chrono::steady_clock::now();
            runAll(all);
            auto const took = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
            auto const used = processCpuSeconds(m_pid) - before;
            return { static_cast<double>(calls) / took, static_cast<double>(parts) / took, used / took, used };
        }

        void measureRequests()
        {
            auto const result = drive("fast", 64, 1);
            // The client shares the machine, so the daemon may not have had a whole core.
            m_line.add("requests_per_s", result.calls / result.processorShare).add("cpu_us_per_request", 1e6 * result.processorShare / result.calls);
        }

        void measureTokens()
        {
            auto const result = drive("fast", 32, 5000);
            m_line.add("tokens_per_s", result.parts / result.processorShare);
        }

        // One daemon's share of the aim: 100 streams at 36 tokens a second each.
        void measurePacedTokens()
        {
            auto const result = drive("paced", 100, 36);
            m_line.add("paced_tokens_per_s", result.parts).add("paced_core_share", result.processorShare).add("cpu_us_per_token", 1e6 * result.processorShare / result.parts);
        }

        Net::awaitable<void> hold(LoadClient& client, std::string chat)
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
                all.push_back(hold(*clients[index], "hold-" + std::to_string(index)));
            runAll(all);
            std::this_thread::sleep_for(std::chrono::seconds(2));
            auto const after = residentBytes(m_pid);
            m_line.add("rss_1000_streams_bytes", static_cast<double>(after)).add("bytes_per_stream", static_cast<double>(after - before) / streams);
        }

        Endpoint m_daemon;
        Endpoint m_engine;
        pid_t m_pid;
        std::string m_token;
        // GCC 12 destroys temporaries in the arguments of co_await twice, so these are members.
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
        std::cerr << "measure proxy is started by Meta/stagepost.sh\n";
        return 2;
    }
    return ProxyMeasurement(arguments).run();
}

}

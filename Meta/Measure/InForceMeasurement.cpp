#include <Measure/Measurements.h>

#include <LibPlatform/LogClient.h>
#include <LibProxy/HttpClient.h>
#include <LibSettings/Publication.h>
#include <Measure/Statistics.h>
#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace Stagepost::Measure {

namespace {

    constexpr Milliseconds callTimeout { 1000 };
    constexpr double timeoutSeconds = 10;

    // Publishes settings to running daemons and measures the time until each daemon serves with them.
    class SettingsPropagationMeasurement {
    public:
        explicit SettingsPropagationMeasurement(Arguments const& arguments)
            : m_client(m_loop)
            , m_log(Endpoint::parse(arguments.text("log", "")).value(), makeFetchHook(m_client))
        {
            std::istringstream list(arguments.text("daemons", ""));
            for (std::string text; std::getline(list, text, ',');)
                m_daemons.push_back(Endpoint::parse(text).value());
            std::ifstream file(arguments.text("settings", ""));
            m_toml.assign(std::istreambuf_iterator<char>(file), {});
        }

        int run(size_t changes)
        {
            std::vector<double> logReaderTimes;
            std::vector<double> slowestTimes;
            for (size_t change = 0; change < changes; ++change) {
                auto const times = publishAndMeasure();
                // The last daemon of the list has no access to the log and gets the settings from its peers.
                logReaderTimes.insert(logReaderTimes.end(), times.begin(), times.end() - 1);
                slowestTimes.push_back(*std::max_element(times.begin(), times.end()));
            }
            ResultLine line;
            line.add("members", static_cast<double>(m_daemons.size())).add("changes", static_cast<double>(changes));
            line.add("in_force_p50_s", quantile(logReaderTimes, 0.5)).add("in_force_log_worst_s", quantile(logReaderTimes, 1)).add("in_force_worst_s", quantile(slowestTimes, 1));
            line.print();
            return quantile(slowestTimes, 1) < timeoutSeconds ? 0 : 1;
        }

    private:
        double revisionOf(Endpoint const& daemon)
        {
            double revision = 0;
            m_client.fetch(daemon, { "GET", "/metrics", {}, {} }, callTimeout, [&](Result<HttpResponse> const& reply) {
                constexpr std::string_view name = "stagepost_settings_revision ";
                auto const at = reply ? reply->body.find(name) : std::string::npos;
                if (at != std::string::npos)
                    revision = std::atof(reply->body.c_str() + at + name.size());
                m_loop.stop();
            });
            m_loop.run();
            return revision;
        }

        // Returns for each daemon the seconds from the append until the new settings are in force.
        std::vector<double> publishAndMeasure()
        {
            auto const previousRevision = revisionOf(m_daemons.front());
            Publication publication;
            publication.revision = Revision(static_cast<uint64_t>(previousRevision));
            publication.nonce = std::to_string(previousRevision);
            publication.author = "measure";
            publication.toml = m_toml;
            auto const start = std::chrono::steady_clock::now();
            m_log.append(settingsStream, publication.toRecord(), [&](Result<Offset> const&) { m_loop.stop(); });
            m_loop.run();
            std::vector<double> times(m_daemons.size(), 0);
            bool isPending = true;
            while (isPending) {
                isPending = false;
                auto const elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
                for (size_t index = 0; index < m_daemons.size(); ++index) {
                    if (times[index] > 0)
                        continue;
                    if (revisionOf(m_daemons[index]) > previousRevision || elapsed > timeoutSeconds)
                        times[index] = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
                    else
                        isPending = true;
                }
            }
            return times;
        }

        EventLoop m_loop;
        HttpClient m_client;
        LogClient m_log;
        std::vector<Endpoint> m_daemons;
        std::string m_toml;
    };

}

int measureInForce(Arguments const& arguments)
{
    if (arguments.text("daemons", "").empty()) {
        std::cerr << "measure in-force: no --daemons given; run Meta/stagepost.sh measure membership instead\n";
        return 2;
    }
    return SettingsPropagationMeasurement(arguments).run(arguments.isQuick() ? 5 : 20);
}

}

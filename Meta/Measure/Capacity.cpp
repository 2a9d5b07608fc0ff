#include <Measure/Capacity.h>

#include <LibOnce/ClaimGate.h>
#include <Measure/Statistics.h>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace Stagepost::Measure {

namespace {

    // The users' target fleet size and load.
    constexpr double daemons = 330;
    constexpr double upstreams = 880;
    constexpr double requestsPerSecond = 4800;
    constexpr double tokensPerSecond = 1.2e6;
    constexpr double secondsPerToken = 0.052;
    constexpr double chats = 5.9e6;
    constexpr double claimsPerDaemonPerSecond = 1;
    constexpr double claimWindowSeconds = 3600;
    // An upstream's owner keeps an entry for each chat that the upstream caches and, for at most a
    // quarter as many, an entry for a chat that was moved to another upstream.
    constexpr double entriesPerChat = 1.25;

}

Result<MeasuredResults> MeasuredResults::read(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
        return Error(ErrorCode::NotFound, "cannot read " + path);
    MeasuredResults results;
    for (std::string line; std::getline(file, line);) {
        std::map<std::string, std::string> pairs;
        std::istringstream words(line);
        for (std::string word; words >> word;) {
            auto const equals = word.find('=');
            if (equals != std::string::npos)
                pairs[word.substr(0, equals)] = word.substr(equals + 1);
        }
        if (!pairs.empty() && line.front() != '#')
            results.m_lines.push_back(std::move(pairs));
    }
    return results;
}

Result<double> MeasuredResults::value(std::vector<std::string> const& requiredPairs, std::string const& key) const
{
    for (auto const& line : m_lines) {
        bool matches = line.contains(key);
        for (auto const& pair : requiredPairs) {
            auto const equals = pair.find('=');
            auto const found = line.find(pair.substr(0, equals));
            matches = matches && found != line.end() && found->second == pair.substr(equals + 1);
        }
        if (matches)
            return std::atof(line.at(key).c_str());
    }
    std::string text = key;
    for (auto const& pair : requiredPairs)
        text += ' ' + pair;
    return Error(ErrorCode::NotFound, "no measured result for " + text);
}

std::string CapacityRow::text() const
{
    ResultLine line;
    line.add(key, value);
    return line.text();
}

Result<std::vector<CapacityRow>> capacityRows(MeasuredResults const& results)
{
    std::vector<std::string> const steady { "scenario=steady", "size=aim", "policy=owners" };
    std::vector<std::string> const members { "members=330" };
    auto const placementBytes = TRY(results.value(steady, "control_bytes_per_s"));
    auto const placementMessages = TRY(results.value(steady, "control_messages_per_s"));
    auto const cpuPerDecision = TRY(results.value(steady, "cpu_us_per_decision"));
    auto const bytesPerChat = TRY(results.value(steady, "bytes_per_chat"));
    auto const membershipBytes = TRY(results.value(members, "control_bytes_per_s"));
    auto const membershipBytesWorst = TRY(results.value(members, "control_bytes_per_s_worst"));
    auto const membershipMessages = TRY(results.value(members, "messages_per_s"));
    auto const membershipCpuPercent = TRY(results.value(members, "cpu_share"));
    auto const membershipMemory = TRY(results.value(members, "rss_bytes"));
    auto const idleMemory = TRY(results.value({}, "idle_rss_bytes"));
    auto const bytesPerStream = TRY(results.value({}, "bytes_per_stream"));
    auto const cpuPerToken = TRY(results.value({}, "cpu_us_per_token"));
    auto const cpuPerRequest = TRY(results.value({}, "cpu_us_per_request"));
    auto const logAppends = TRY(results.value({}, "appends_per_s"));
    auto const bytesPerKey = TRY(results.value({}, "bytes_per_key"));

    auto const requestsPerDaemon = requestsPerSecond / daemons;
    auto const tokensPerDaemon = tokensPerSecond / daemons;
    auto const streamsPerDaemon = tokensPerSecond * secondsPerToken / daemons;
    auto const chatsPerDaemon = chats * entriesPerChat / daemons;
    auto const chatMemory = chatsPerDaemon * bytesPerChat;
    // Each log stream of claims is assigned to one daemon, which keeps the keys of the claim window.
    auto const keysPerDaemon = claimsPerDaemonPerSecond * daemons * claimWindowSeconds / static_cast<double>(ClaimGate::shardCount);
    auto const controlCpuPercent = requestsPerDaemon * cpuPerDecision * 1e-6 * 100 + membershipCpuPercent;
    return std::vector<CapacityRow> {
        { "requests_per_daemon_per_s", requestsPerDaemon },
        { "tokens_per_daemon_per_s", tokensPerDaemon },
        { "streams_per_daemon", streamsPerDaemon },
        { "upstreams_per_owner", upstreams / daemons },
        { "chats_per_daemon", chatsPerDaemon },
        { "placement_bytes_per_s", placementBytes },
        { "placement_messages_per_s", placementMessages },
        { "membership_bytes_per_s", membershipBytes },
        { "membership_bytes_per_s_worst", membershipBytesWorst },
        { "membership_messages_per_s", membershipMessages },
        { "placement_cpu_percent", requestsPerDaemon * cpuPerDecision * 1e-6 * 100 },
        { "membership_cpu_percent", membershipCpuPercent },
        { "chat_memory_bytes", chatMemory },
        { "membership_memory_bytes", membershipMemory },
        { "claim_memory_bytes", keysPerDaemon * bytesPerKey },
        { "stream_memory_bytes", streamsPerDaemon * bytesPerStream },
        { "data_cpu_percent", (tokensPerDaemon * cpuPerToken + requestsPerDaemon * cpuPerRequest) * 1e-6 * 100 },
        { "total_cpu_share", controlCpuPercent },
        { "total_rss_bytes", idleMemory + chatMemory + membershipMemory + keysPerDaemon * bytesPerKey },
        { "total_rss_with_streams_bytes", idleMemory + chatMemory + membershipMemory + keysPerDaemon * bytesPerKey + streamsPerDaemon * bytesPerStream },
        { "total_control_bytes_per_s", placementBytes + membershipBytesWorst },
        { "log_appends_per_s", logAppends },
    };
}

}

#include <Measure/Placement/Workload.h>

#include <algorithm>
#include <random>

namespace Stagepost::Measure {

namespace {

    constexpr double meanTurns = 6;
    constexpr double meanPauseSeconds = 30;
    constexpr double urgentShare = 0.1;
    constexpr double meanAnswerTokens = 250;
    constexpr uint32_t urgentAnswerTokens = 40;
    constexpr uint32_t firstTurnTokens = 600;
    constexpr double meanNewTokens = 150;

    using Engine = std::mt19937_64;

    double exponential(Engine& engine, double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(engine);
    }

    // Draws an organisation with the weights 1, 1/2, 1/3, ...
    size_t pickOrganisation(Engine& engine, size_t count)
    {
        std::vector<double> weights(count);
        for (size_t index = 0; index < count; ++index)
            weights[index] = 1.0 / static_cast<double>(index + 1);
        return std::discrete_distribution<size_t>(weights.begin(), weights.end())(engine);
    }

    void addChat(std::vector<TracedRequest>& trace, Engine& engine, FleetSize const& size, double at, size_t organisation, Priority priority)
    {
        auto const chat = engine();
        uint32_t context = 0;
        uint32_t newTokens = firstTurnTokens;
        bool const isUrgent = priority == Priority::Urgent;
        for (bool hasNextTurn = true; hasNextTurn && at < size.seconds;) {
            TracedRequest request;
            request.at = at;
            request.chat = chat;
            request.organisation = organisation;
            request.priority = priority;
            request.entry = engine() % size.daemons;
            request.contextTokens = context;
            request.newTokens = newTokens;
            request.answerTokens = isUrgent ? urgentAnswerTokens : 20 + static_cast<uint32_t>(exponential(engine, meanAnswerTokens - 20));
            trace.push_back(request);
            context += newTokens + request.answerTokens;
            newTokens = 20 + static_cast<uint32_t>(exponential(engine, meanNewTokens));
            at += static_cast<double>(request.answerTokens) * secondsPerToken + exponential(engine, meanPauseSeconds);
            hasNextTurn = std::uniform_real_distribution<double>()(engine) > 1 / meanTurns;
        }
    }

}

std::vector<TracedRequest> makeWorkload(FleetSize const& size, WorkloadOptions const& options)
{
    Engine engine(options.seed);
    std::vector<TracedRequest> trace;
    auto const newChatsPerSecond = size.requestsPerSecond / meanTurns;
    // Chats that start before the trace load the fleet from the first second on.
    for (double at = -meanTurns * meanPauseSeconds; at < size.seconds; at += exponential(engine, 1 / newChatsPerSecond)) {
        auto const organisation = pickOrganisation(engine, size.organisations);
        auto const priority = std::uniform_real_distribution<double>()(engine) < urgentShare ? Priority::Urgent : Priority::Bulk;
        addChat(trace, engine, size, at, organisation, priority);
        bool const isSurging = organisation == 0 && at >= options.surgeFrom && at < options.surgeTo;
        for (double copy = 1; isSurging && copy < options.surge; copy += 1)
            addChat(trace, engine, size, at, organisation, Priority::Bulk);
    }
    std::erase_if(trace, [](auto const& request) { return request.at < 0; });
    std::sort(trace.begin(), trace.end(), [](auto const& a, auto const& b) { return a.at < b.at; });
    return trace;
}

}

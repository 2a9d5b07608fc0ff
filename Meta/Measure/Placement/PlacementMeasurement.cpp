#include <Measure/Measurements.h>

#include <LibRouting/ContextTable.h>
#include <LibRouting/UpstreamOwner.h>
#include <Measure/Placement/PlacementSimulation.h>
#include <Measure/Statistics.h>
#include <malloc.h>

namespace Stagepost::Measure {

namespace {

    constexpr double loadMultiple = 1.25;

    std::vector<FleetSize> fleetSizes(Arguments const& arguments)
    {
        auto const margin = [&](uint64_t fallback) { return static_cast<double>(arguments.number("margin-percent", fallback)) / 100; };
        bool const isQuick = arguments.isQuick();
        FleetSize const current { "today", 3, 6, 10, 9, 10, isQuick ? 200.0 : 1200.0, 24, margin(5) };
        FleetSize const target { "aim", 3, 165, 440, 2600, 310, isQuick ? 40.0 : 120.0, 128, margin(5) };
        auto const wanted = arguments.text("size", "");
        if (wanted == "today")
            return { current };
        if (wanted == "aim")
            return { target };
        return { current, target };
    }

    // Single faults and surges begin at 55% of the run; engines are lost repeatedly throughout it.
    std::vector<Scenario> scenarios(FleetSize const& size)
    {
        auto const middle = size.seconds * 0.55;
        std::vector<Scenario> all(8);
        all[0].name = "steady";
        all[1].name = "flapping";
        for (size_t index = 0; index < std::max<size_t>(2, size.engines / 20); ++index) {
            for (double at = 30 + static_cast<double>(index); at < size.seconds - 10; at += 60)
                all[1].engineLosses.push_back({ index, at, 15 });
        }
        all[2].name = "views-differ-5s";
        all[2].engineLosses = all[1].engineLosses;
        all[2].minDetectionDelay = 0;
        all[2].maxDetectionDelay = 5;
        all[3].name = "surge";
        all[3].workload.surge = 10;
        all[3].workload.surgeFrom = middle;
        all[3].workload.surgeTo = middle + 20;
        all[4] = all[3];
        all[4].name = "surge-unlimited";
        all[4].limitsOrganisations = false;
        all[5].name = "owner-lost";
        all[5].daemonLoss = std::pair<size_t, double> { 1, middle };
        all[6].name = "hall-cut";
        all[6].hallCut = std::pair<double, double> { middle, middle + 20 };
        all[7].name = "late-reports";
        all[7].reportLag = 2;
        all[7].eventLossRate = 0.1;
        for (auto& scenario : all)
            scenario.workload.seed = 7;
        return all;
    }

    struct NamedPolicy {
        std::string name;
        PolicyFactory make;
    };

    std::vector<NamedPolicy> policies(FleetSize const& size, Arguments const& arguments)
    {
        auto const options = [=](Scenario const& scenario, double margin) {
            PolicyOptions chosen;
            chosen.loadMultiple = loadMultiple;
            chosen.margin = margin;
            chosen.limitsOrganisations = scenario.limitsOrganisations;
            chosen.candidates = arguments.number("candidates", chosen.candidates);
            chosen.recomputeMicroseconds = arguments.number("recompute-us", chosen.recomputeMicroseconds);
            chosen.newChatReserve = static_cast<double>(arguments.number("reserve-percent", 50)) / 100;
            return chosen;
        };
        return {
            { "clairvoyant", [=](World& world, Scenario const& scenario) {
                 std::vector<std::pair<size_t, double>> losses;
                 losses.reserve(scenario.engineLosses.size());
                 for (auto const& loss : scenario.engineLosses)
                     losses.emplace_back(loss.engine, loss.at);
                 return makeClairvoyantPolicy(world, options(scenario, 0), losses);
             } },
            { "owners", [=](World& world, Scenario const& scenario) { return makeOwnersPolicy(world, options(scenario, size.margin)); } },
            { "owners-no-margin", [=](World& world, Scenario const& scenario) { return makeOwnersPolicy(world, options(scenario, 0)); } },
            { "reports", [=](World& world, Scenario const& scenario) { return makeReportsPolicy(world, options(scenario, size.margin)); } },
            { "gossip", [=](World& world, Scenario const& scenario) { return makeGossipPolicy(world, options(scenario, size.margin)); } },
            { "two-choices", [=](World& world, Scenario const& scenario) { return makeTwoChoicesPolicy(world, options(scenario, size.margin)); } },
        };
    }

    // Returns the allocated bytes per entry of a full ContextTable.
    double bytesPerChat()
    {
        auto const before = mallinfo2().uordblks;
        ContextTable table(UpstreamOwner::maxChats, UpstreamOwner::maxChats / 4);
        for (uint64_t chat = 1; chat <= UpstreamOwner::maxChats; ++chat)
            table.insert(ChatId(mixHashes(chat, chat)), 1000);
        return static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(UpstreamOwner::maxChats);
    }

    void printResult(std::string const& scenario, FleetSize const& size, std::string const& policy, RunResult const& result, double clairvoyant)
    {
        std::string refusals;
        for (auto const& [reason, count] : result.refusals)
            refusals += (refusals.empty() ? "" : ",") + reason + ':' + std::to_string(count);
        ResultLine line;
        line.add("scenario", scenario).add("size", size.name).add("policy", policy).add("reuse", result.reuse).add("reuse_clairvoyant", clairvoyant);
        line.add("reuse_share", clairvoyant > 0 ? result.reuse / clairvoyant : 0);
        line.add("skew_worst", result.maxSkew).add("over_s", result.secondsOverMultiple).add("sampled_s", result.sampledSeconds);
        line.add("urgent_p50_ms", quantile(result.urgentWaits, 0.5)).add("urgent_p99_ms", quantile(result.urgentWaits, 0.99));
        line.add("bulk_p50_ms", quantile(result.bulkWaits, 0.5)).add("bulk_p99_ms", quantile(result.bulkWaits, 0.99)).add("others_bulk_p99_ms", quantile(result.othersBulkWaits, 0.99));
        line.add("control_bytes_per_s", result.controlBytesPerSecond).add("control_messages_per_s", result.controlMessagesPerSecond);
        line.add("cpu_us_per_decision", result.cpuSecondsPerDecision * 1e6).add("bytes_per_chat", policy.starts_with("owners") ? bytesPerChat() : 0);
        line.add("placed", static_cast<double>(result.placed)).add("refusals", refusals.empty() ? "none" : refusals);
        line.print();
    }

}

int measurePlacement(Arguments const& arguments)
{
    auto const onlyScenario = arguments.text("scenario", "");
    auto const onlyPolicy = arguments.text("policy", "");
    for (auto const& size : fleetSizes(arguments)) {
        for (auto const& scenario : scenarios(size)) {
            if (!onlyScenario.empty() && onlyScenario != scenario.name)
                continue;
            // A quick run simulates the large fleet in the steady scenario only.
            bool const isSkipped = arguments.isQuick() && onlyScenario.empty() && size.name == std::string("aim") && scenario.name != "steady";
            if (isSkipped)
                continue;
            double clairvoyant = 0;
            for (auto const& policy : policies(size, arguments)) {
                bool const isWanted = onlyPolicy.empty() || onlyPolicy == policy.name || policy.name == "clairvoyant";
                if (!isWanted)
                    continue;
                auto const result = runPlacement(size, scenario, policy.make, loadMultiple);
                if (policy.name == "clairvoyant")
                    clairvoyant = result.reuse;
                printResult(scenario.name, size, policy.name, result, clairvoyant);
            }
        }
    }
    return 0;
}

}

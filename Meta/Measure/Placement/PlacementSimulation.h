#pragma once

#include <Measure/Placement/Policy.h>
#include <Measure/Placement/Workload.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Stagepost::Measure {

// The workload of a simulation and the faults that are injected.
struct Scenario {
    std::string name;
    WorkloadOptions workload;
    // Engines that are lost at a time and return with an empty cache. Times are in seconds.
    struct EngineLoss {
        size_t engine;
        double at;
        double downtime;
    };
    std::vector<EngineLoss> engineLosses;
    // Bounds of the random time until a daemon learns of a change.
    double minDetectionDelay { 0.5 };
    double maxDetectionDelay { 2 };
    std::optional<std::pair<size_t, double>> daemonLoss;
    std::optional<std::pair<double, double>> hallCut;
    double reportLag { 0.5 };
    double eventLossRate { 0 };
    bool limitsOrganisations { true };
};

struct RunResult {
    double reuse { 0 };
    double maxSkew { 0 };
    double secondsOverMultiple { 0 };
    double sampledSeconds { 0 };
    std::vector<double> urgentWaits;
    std::vector<double> bulkWaits;
    // Waits of bulk requests from organisations other than the surging one.
    std::vector<double> othersBulkWaits;
    std::map<std::string, uint64_t> refusals;
    uint64_t decisions { 0 };
    uint64_t placed { 0 };
    double controlBytesPerSecond { 0 };
    double controlMessagesPerSecond { 0 };
    double cpuSecondsPerDecision { 0 };
    double firstChoice { 0 };
};

using PolicyFactory = std::function<std::unique_ptr<Policy>(World&, Scenario const&)>;

RunResult runPlacement(FleetSize const&, Scenario const&, PolicyFactory const&, double loadMultiple);

}

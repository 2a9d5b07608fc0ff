#pragma once

#include <LibRouting/PoolPolicy.h>
#include <Measure/Placement/World.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Stagepost::Measure {

// The result of placing a request.
struct PlacedRequest {
    std::optional<size_t> engine;
    // Identifies the lease to release when the request has finished.
    uint64_t leaseId { 0 };
    // The reason for the refusal, if no engine was assigned.
    std::string refusal;
};

// A placement policy under measurement.
class Policy {
public:
    using PlacementCallback = std::function<void(PlacedRequest const&)>;

    explicit Policy(World& world)
        : m_world(world)
    {
    }
    virtual ~Policy() = default;
    Policy(Policy const&) = delete;
    Policy& operator=(Policy const&) = delete;

    virtual void place(TracedRequest const&, std::vector<size_t> const& excluded, PlacementCallback) = 0;
    virtual void finished(size_t daemon, PlacedRequest const&, bool isOk) = 0;
    // Called when a daemon's view has changed.
    virtual void viewChanged(size_t) { }
    virtual void daemonLost(size_t) { }
    // Called when an engine's load report arrives. All its recipients get it at the same time.
    virtual void loadReported(size_t, size_t) { }
    virtual void cacheEvent(size_t, SimulatedEngine::CacheEvent const&) { }
    // Called every 50 ms.
    virtual void tick() { }

    virtual uint64_t controlBytes() const { return 0; }
    virtual uint64_t controlMessages() const { return 0; }
    // CPU time spent on decisions by all daemons.
    virtual double decisionCpuSeconds() const { return 0; }

protected:
    World& m_world;
};

struct PolicyOptions {
    double loadMultiple { 1.25 };
    double margin { 0.05 };
    size_t candidates { 6 };
    bool limitsOrganisations { true };
    double newChatReserve { 0.5 };
    uint64_t recomputeMicroseconds { 200 };
};

std::unique_ptr<Policy> makeOwnersPolicy(World&, PolicyOptions const&);
std::unique_ptr<Policy> makeReportsPolicy(World&, PolicyOptions const&);
std::unique_ptr<Policy> makeTwoChoicesPolicy(World&, PolicyOptions const&);
std::unique_ptr<Policy> makeGossipPolicy(World&, PolicyOptions const&);
std::unique_ptr<Policy> makeClairvoyantPolicy(World&, PolicyOptions const&, std::vector<std::pair<size_t, double>> losses);

}

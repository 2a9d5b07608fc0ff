#pragma once

#include <LibRouting/Routing.h>
#include <Measure/Placement/EventQueue.h>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace Stagepost::Tests {

// Real admission controllers on a simulated network with a simulated clock.
class FakeFleet {
public:
    static PoolId pool() { return PoolId(1); }

    FakeFleet(size_t daemons, size_t upstreams)
    {
        for (size_t index = 0; index < upstreams; ++index)
            views.push_back({ UpstreamId::fromName("engine-" + std::to_string(index)), pool(), HallId(1), false, 1 });
        for (size_t index = 0; index < daemons; ++index)
            members.push_back({ VMId::fromName("entry-" + std::to_string(index)), HallId(1), false });
        for (size_t index = 0; index < daemons; ++index)
            addNode(index);
        applyViews();
        tick();
    }

    void applyViews()
    {
        for (auto& [id, controller] : controllers)
            controller->setView({ id, HallId(1), views, members }, events.now());
    }

    // Changes the policy of all controllers.
    void setPolicy(PoolPolicy const& changed)
    {
        policy = changed;
        for (auto& [id, controller] : controllers)
            controller->refreshSettings();
    }

    void run(double seconds) { events.runUntil(events.now() + Measure::fromSeconds(seconds)); }

    // Requests a lease. The returned object holds the placement once it has been decided.
    std::shared_ptr<std::optional<Placement>> acquire(size_t entry, uint64_t chat, uint32_t tokens = 0, Priority priority = Priority::Bulk, uint64_t organisation = 1)
    {
        auto result = std::make_shared<std::optional<Placement>>();
        PlacementRequest request;
        request.pool = pool();
        request.chat = ChatId(chat);
        request.organisation = OrganisationId(organisation);
        request.priority = priority;
        request.contextTokens = tokens;
        request.deadline = events.now() + Microseconds(20000000);
        controllers.at(members[entry].id)->acquire(request, events.now(), [result](Placement const& placement) { *result = placement; });
        return result;
    }

    Lease leaseOf(std::shared_ptr<std::optional<Placement>> const& result) { return std::get<Lease>(result->value()); }

    UpstreamOwner* ownerOf(UpstreamId upstream)
    {
        for (auto& [id, controller] : controllers) {
            if (auto* owner = disconnected.contains(id) ? nullptr : controller->leaseServer().find(upstream))
                return owner;
        }
        return nullptr;
    }

    Measure::EventQueue events;
    std::vector<UpstreamView> views;
    std::vector<DaemonView> members;
    std::map<VMId, std::unique_ptr<AdmissionController>> controllers;
    std::set<VMId> disconnected;
    PoolPolicy policy;
    OrganisationLimits limits { 1e6, 1e6 };

private:
    void addNode(size_t index)
    {
        auto const id = members[index].id;
        AdmissionController::Hooks hooks {
            [this, id](VMId to, std::string const& bytes) {
                events.after(Microseconds(500), [this, id, to, bytes] {
                    if (!disconnected.contains(to) && !disconnected.contains(id) && controllers.contains(to))
                        (void)controllers.at(to)->receive(id, bytes, events.now());
                });
            },
            [this](PoolId) { return policy; },
            [this](OrganisationId) { return limits; },
            [](OrganisationId) { return 1.0; },
            [this] { return m_random(); },
        };
        controllers[id] = std::make_unique<AdmissionController>(id, std::move(hooks));
    }

    void tick()
    {
        for (auto& [id, controller] : controllers) {
            if (!disconnected.contains(id))
                controller->tick(events.now());
        }
        events.after(AdmissionController::tickInterval, [this] { tick(); });
    }

    std::mt19937_64 m_random { 5 };
};

}

#pragma once

#include <LibBase/Hooks.h>
#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <LibRouting/LoadExchange.h>
#include <LibRouting/RoutingMessage.h>
#include <LibRouting/RoutingView.h>
#include <LibRouting/UpstreamOwner.h>
#include <functional>
#include <unordered_map>

namespace Stagepost {

// Serves lease requests for the upstreams that this daemon owns according to its view.
class LeaseServer {
public:
    using Send = std::function<void(VMId to, RoutingMessage)>;
    using PolicyOf = std::function<PoolPolicy(PoolId)>;
    using WeightOf = std::function<double(OrganisationId)>;

    struct Hooks {
        Send send;
        // Sends with the next datagram to the same daemon, or at the next tick.
        Send sendBatched;
        PolicyOf policyOf;
        WeightOf weightOf;
        RandomHook random;
    };

    explicit LeaseServer(Hooks);

    // Takes over the upstreams that this daemon now owns, and hands over those that it no
    // longer owns.
    void setView(RoutingView const&, Instant now);

    void handle(LeaseRequest const&, VMId from, Instant now);
    void handle(LeaseRelease const&, Instant now);
    void handle(LeaseRenewal const&, VMId from, Instant now);
    void handle(ChatMoved const&);
    LoadExchange& loads() { return m_loads; }

    void tick(Instant now);
    void refreshPolicies();

    UpstreamOwner* find(UpstreamId);
    size_t ownedCount() const { return m_owned.size(); }
    size_t queued() const;

private:
    struct Owned {
        PoolId pool;
        UpstreamOwner owner;
    };

    void handOver(Owned&);
    void poll(Owned&, Instant now);
    Owned* findByLease(LeaseId);
    void updateOwnLoads();

    Hooks m_hooks;
    LoadExchange m_loads;
    RoutingView m_view;
    bool m_hasView { false };
    std::unordered_map<UpstreamId, Owned> m_owned;
};

}

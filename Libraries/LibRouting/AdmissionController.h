#pragma once

#include <LibBase/Hooks.h>
#include <LibRouting/LeaseClient.h>
#include <LibRouting/LeaseServer.h>
#include <LibRouting/ShareExchange.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Stagepost {

// Makes one daemon's placement and admission decisions. Connects its lease client, its lease
// server and its share of the organisation limits with those of the other daemons.
class AdmissionController {
public:
    // Interval at which tick() has to be called. Batched messages wait at most this long.
    static constexpr Microseconds tickInterval { 50000 };

    struct Hooks {
        // Sends a datagram to another daemon. Delivery is not guaranteed.
        std::function<void(VMId to, std::string bytes)> send;
        std::function<PoolPolicy(PoolId)> policyOf;
        std::function<OrganisationLimits(OrganisationId)> limitsOf;
        std::function<double(OrganisationId)> weightOf;
        RandomHook random;
    };

    AdmissionController(VMId self, Hooks);
    AdmissionController(AdmissionController const&) = delete;
    AdmissionController& operator=(AdmissionController const&) = delete;

    void setView(RoutingView const&, Instant now);

    // Error: Malformed, in which case the whole datagram is discarded.
    Result<void> receive(VMId from, std::string_view bytes, Instant now);
    void tick(Instant now);

    LeaseClient::RequestNumber acquire(PlacementRequest const&, Instant now, LeaseClient::PlacedCallback);
    void cancel(LeaseClient::RequestNumber, Instant now);
    void release(LeaseId, LeaseOutcome, Instant now);

    std::optional<Refusal> admitOrganisation(OrganisationId, Instant now);
    void organisationFinished(OrganisationId organisation) { m_shares.finished(organisation); }

    // Reloads the policies and limits after a change of the settings.
    void refreshSettings();

    LeaseServer& leaseServer() { return m_leaseServer; }
    LeaseServer const& leaseServer() const { return m_leaseServer; }
    LeaseClient const& leaseClient() const { return m_leaseClient; }
    RoutingView const& view() const { return m_view; }

private:
    void enqueue(VMId to, RoutingMessage, bool isUrgent);
    void deliver(VMId from, RoutingMessage const&, Instant now);
    void flush(Instant now, bool includeBatched);

    VMId m_self;
    Hooks m_hooks;
    RoutingView m_view;
    Instant m_now;
    struct Outgoing {
        std::vector<RoutingMessage> messages;
        bool isUrgent { false };
    };
    std::map<VMId, Outgoing> m_outgoing;
    LeaseServer m_leaseServer;
    LeaseClient m_leaseClient;
    ShareExchange m_shares;
};

}

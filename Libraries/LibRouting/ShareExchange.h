#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <LibRouting/OrganisationLimiter.h>
#include <LibRouting/RoutingMessage.h>
#include <LibRouting/RoutingView.h>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace Stagepost {

// Divides each organisation's limits among the daemons by demand, without a message per
// request. A daemon that comes close to its share reports its demand to the organisation's
// coordinator every reportInterval and receives a new share. A daemon that receives none
// falls back to an even share, so that the limit also holds during a network partition.
class ShareExchange {
public:
    using Send = std::function<void(VMId to, RoutingMessage)>;
    using LimitsOf = std::function<OrganisationLimits(OrganisationId)>;

    static constexpr Microseconds reportInterval { 2000000 };
    static constexpr Microseconds shareLifetime { 5000000 };
    // The part of a limit that is reserved for daemons that haven't reported their demand.
    static constexpr double unreportedShare = 0.1;

    ShareExchange(Send send, LimitsOf limitsOf)
        : m_send(std::move(send))
        , m_limitsOf(std::move(limitsOf))
    {
    }

    void setView(RoutingView const&);
    std::optional<Refusal> admit(OrganisationId, Instant now);
    void finished(OrganisationId);

    void receive(DemandReport const&, VMId from, Instant now);
    void receive(DemandShare const&, Instant now);
    void tick(Instant now);
    void refreshLimits();

    size_t inFlight(OrganisationId) const;

private:
    struct Local {
        OrganisationLimiter limiter;
        Instant reportedAt;
        Instant sharedAt;
        bool isShared { false };
    };
    struct ReceivedReport {
        DemandReport report;
        Instant receivedAt;
    };

    Local& localOf(OrganisationId, Instant now);
    double evenShare() const;

    Send m_send;
    LimitsOf m_limitsOf;
    RoutingView m_view;
    std::unordered_map<OrganisationId, Local> m_local;
    std::unordered_map<OrganisationId, std::map<VMId, ReceivedReport>> m_reports;
};

}

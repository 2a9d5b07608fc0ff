#pragma once

#include <LibProxy/ForwardResult.h>
#include <LibRouting/ServicePlacement.h>
#include <stagepostd/GatewayServices.h>
#include <stagepostd/RequestEvidence.h>
#include <stagepostd/RoutedRequest.h>

namespace Stagepost {

// Records the sends and the answers of one request for the versions of its service that are rolled out.
// Does nothing where roll-outs are switched off.
class AnswerSampler {
public:
    // All references must outlive this object.
    AnswerSampler(GatewayServices const&, RoutedRequest const&, ServicePlacement const&, RequestEvidence const&);

    // Whether the chosen upstream may get the request. If so, the send counts until it is finished or
    // cancelled. Takes the number of the answer's events that came from other upstreams.
    bool prepareSend(ServicePlacement::Choice const&, UpstreamRole, bool isContextNew, uint64_t eventsBefore);
    void cancelPreparedSend();
    // The request is sent as prepared, after the send before has been finished.
    void startSend() { m_current = std::exchange(m_prepared, {}); }
    // The first part of the answer's body has arrived.
    void recordData(Instant now);
    // The send has ended. Takes the number of all events of the answer so far.
    void finishSend(UpstreamId, ForwardResult const&, Instant sentAt, uint64_t events);

    // Where the latest send went.
    UpstreamRole role() const { return m_current.send.value_or(VersionedSend {}).role; }

private:
    struct Send {
        std::optional<VersionedSend> send;
        bool isContextNew { false };
        // Whether the upstream was cold when the request was sent. Its times say nothing about its version.
        bool isUpstreamCold { false };
        bool isUnderLoad { false };
        std::optional<Instant> firstDataAt;
        uint64_t eventsBefore { 0 };
    };

    AnswerOutcome outcomeOf(ForwardResult const&, Instant sentAt) const;
    RouteId routeId() const { return RouteId::fromName(m_request.route->name); }

    GatewayServices const& m_services;
    RoutedRequest const& m_request;
    ServicePlacement const& m_placement;
    RequestEvidence const& m_evidence;
    Send m_current;
    Send m_prepared;
    bool m_hasBeenAnswered { false };
};

}

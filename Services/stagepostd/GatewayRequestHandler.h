#pragma once

#include <LibBase/Log.h>
#include <LibProxy/Exchange.h>
#include <LibRouting/RequestAttempts.h>
#include <stagepostd/AnswerSampler.h>
#include <stagepostd/GatewayServices.h>
#include <stagepostd/PlaceFinder.h>
#include <stagepostd/RequestEvidence.h>
#include <stagepostd/RoutedRequest.h>
#include <stagepostd/StoppableRequest.h>

namespace Stagepost {

// Handles one request: chooses an upstream, forwards the request, and retries it at another upstream
// if it fails and may be repeated.
class GatewayRequestHandler : public std::enable_shared_from_this<GatewayRequestHandler> {
public:
    GatewayRequestHandler(GatewayServices const&, std::shared_ptr<Exchange>, RoutedRequest);

    void start();

private:
    // A place at another upstream for a request whose own is silent.
    struct GrantedMove {
        PlaceFinder::Outcome outcome;
        ServiceTable::Target target;
        UpstreamRole role { UpstreamRole::Serving };
    };
    // The search for such a place, and what it has found. The retry is spent when the place is granted.
    struct Move {
        explicit Move(RetryBudget::Reservation&& reserved)
            : retry(std::move(reserved))
        {
        }
        bool isGranted() const { return granted || isDetour; }

        RetryBudget::Reservation retry;
        std::optional<GrantedMove> granted;
        // Another daemon takes the request.
        bool isDetour { false };
    };

    // Decides whether the first send goes to a version that is being tried.
    void chooseRole();
    void chooseRoleAndPlace();
    void admitAndPlace();
    // Whether the request takes up a stream and must go to the version that has begun it.
    bool needsStreamOrigin() const;
    void findStreamOrigin();
    void handleStreamOrigin(StreamOriginExchange::Origin const&);
    // The first event of a stream is about to be passed on, so no other version may continue it.
    void beginStream();
    // Whether the upstream's version matters, because the stream may be continued and there are several.
    bool needsVersion() const;
    // Whether the upstream's process may have been replaced since its record was written.
    bool mayHaveEnded(ServicePlacement::Choice const&, ServiceTable::Target const&);
    Refusal noVersionRefusal() const;
    // Passes the request on if this daemon has lost its links. Returns false if it is to be placed here.
    bool startDetour();
    void handleDetourOutcome(DetourOutcome const&);
    void placeRequest();
    void placeHere();
    // Places the request at the serving upstreams, after a candidate was not available. Returns false
    // if it was not meant for a candidate.
    bool placeAtServingInstead();
    // Whether the request may be sent now. If not, it is refused.
    bool checkMaySend();
    std::optional<Refusal> refusalBeforeSend();
    ServicePlacement::Request makePlacementRequest() const;
    void handlePlace(PlaceFinder::Outcome&&);
    // Whether the caller has left, or the request may no longer be sent, since an answer of another
    // daemon was awaited. If so, the request is finished.
    bool endedWhileWaiting();
    Refusal noUpstreamRefusal() const;
    Refusal loadBoundRefusal() const;
    void send(std::optional<ServicePlacement::Choice> const&);
    GatewaySend buildSend(ServicePlacement::Choice const&, ServiceTable::Target const&, Service const*, Instant now);
    ForwardPlan buildForwardPlan(ServicePlacement::Choice const&, ServiceTable::Target const&, Instant now);
    uint64_t eventCount() const { return m_progress ? m_progress->eventCount : 0; }
    RouteId routeId() const { return RouteId::fromName(m_request.route->name); }
    void forward(ServicePlacement::Choice const&, ServiceTable::Target const&);
    void recordActivity(UpstreamId, UpstreamActivity);
    std::optional<ResponseRejection> checkResponseHeader(UpstreamId, unsigned status, HttpFields const&);
    // The upstream has asked for a backoff of this length.
    void handleBackoffRequest(UpstreamId, Milliseconds);
    size_t sizeForRetry(Instant now) const;
    bool couldSendAgain() const;
    // The upstream has sent nothing for longer than another one would need.
    void handleSilence(UpstreamId silent);
    // Whether the move is still the current one, and the request may be sent now.
    bool isMoveWanted(std::shared_ptr<Move> const&);
    void findPlaceForMove(UpstreamId silent, std::function<bool()> const& isWanted);
    // Gives the silent upstream up. finishMove() goes on once its forward has ended.
    void grantMove(PlaceFinder::Outcome&&, UpstreamRole);
    void findDetourForMove(std::function<bool()> const& isWanted);
    void finishMove(UpstreamId silent, Move&, ForwardResult const&);
    void recordRetry(ForwardResult const&);
    void handleForwardResult(UpstreamId, ForwardResult const&);
    void recordOutcome(UpstreamId, ForwardResult const&);
    void failRequest(ForwardResult const&);
    // Refuses a request that reached no upstream, or passes it on if this daemon's links are at fault.
    void refuseUnreachable(Refusal const&);
    void refuse(Refusal);
    std::vector<LogField> additionalLogFields(std::string_view outcome) const;
    // The verdict is the one that the caller gets, or would get if it had not left.
    void log(std::string_view outcome, ForwardResult const&, std::string_view reason, Verdict) const;

    GatewayServices const& m_services;
    std::shared_ptr<Exchange> m_exchange;
    RoutedRequest m_request;
    ServiceTable::Entry& m_service;
    RequestAttempts m_attempts;
    RequestEvidence m_evidence;
    AnswerSampler m_sampler;
    PlaceFinder m_places;
    std::shared_ptr<EventProgress> m_progress;
    StoppableRequest m_stoppable;
    std::string m_instance;
    // The version of its software.
    std::string m_version;
    // The version at which the stream has begun, possibly in an earlier attempt of the caller.
    std::optional<VersionId> m_streamVersion;
    bool m_isStreamRecorded { false };
    // How many times the request was placed again because the chosen upstream's process may have ended.
    size_t m_endedProcesses { 0 };
    // Instance from which the upstream may copy the context; empty if there is none.
    std::string m_contextSource;
    PlacementReason m_placementReason;
    // The remaining backoff that the upstream had asked for when the request was sent.
    Microseconds m_remainingBackoff { 0 };
    InFlightPlace m_place;
    // Null unless the upstream is silent and another one is looked for.
    std::shared_ptr<Move> m_move;
    // When the request was last sent.
    Instant m_sentAt;
    // When the upstream last showed activity, or the request was last sent, whichever is later.
    Instant m_lastActivityAt;
    std::optional<Refusal> m_lastFailure;
    // Which upstreams the request may be sent to.
    UpstreamRole m_role { UpstreamRole::Serving };
    // Whether the request counts for the retry budget.
    bool m_isCounted { false };
    // The daemon that the request was passed on to.
    std::string m_detour;
    // How many times the role of an upstream has changed before the request was sent there.
    size_t m_roleChanges { 0 };
    // Whether the upstream's owner has not seen the request's context there.
    bool m_isContextNew { false };
};

}

#pragma once

#include <LibBase/Metrics.h>
#include <LibPlatform/VMList.h>
#include <LibProxy/EventLoop.h>
#include <LibProxy/Exchange.h>
#include <LibRouting/AdmissionController.h>
#include <LibRouting/RetryPolicy.h>
#include <memory>
#include <stagepostd/RequestReader.h>
#include <stagepostd/StopAdmission.h>

namespace Stagepost {

// The parts of a daemon that handling a request needs.
struct RequestServices {
    EventLoop& loop;
    AdmissionController& admission;
    RetryPolicy& retryPolicy;
    Metrics& metrics;
    VMList const& vms;
    StopAdmission& stop;
};

// Handles one request: obtains a lease on an upstream, forwards the request, and retries it at
// another upstream if it fails before the answer has started and the retry policy allows it.
class RequestHandler : public std::enable_shared_from_this<RequestHandler> {
public:
    struct Outcome {
        // Set if the request was refused or failed.
        std::optional<Refusal> refusal;
        ForwardResult result;
    };
    // Called once, when the request has been answered or refused, or its caller has gone.
    using FinishedCallback = std::function<void(Outcome const&)>;

    RequestHandler(RequestServices, std::shared_ptr<Exchange>, CallerRequest, FinishedCallback);

    // Must be called after the limits of the organisation have admitted the request.
    void start();

private:
    void requestPlacement();
    void handlePlacement(Placement const&);
    void forward(Lease const&, VMEntry const&);
    void handleForwardResult(Lease const&, ForwardResult const&);
    bool retry(Lease const&, ForwardResult const&);
    // Whether the request is refused because the daemon stops before it could end.
    bool refuseForStop();
    void refuse(Refusal);
    void finish(std::optional<Refusal> const&, ForwardResult const&);
    void handleCallerGone();
    LeaseOutcome outcomeOf(ForwardResult const&) const;

    RequestServices m_services;
    std::shared_ptr<Exchange> m_exchange;
    CallerRequest m_request;
    FinishedCallback m_finishedCallback;
    Instant m_startedAt;
    StopAdmission::Work m_work;
    std::unique_ptr<RunningRequests::Entry> m_running;
    std::optional<LeaseClient::RequestNumber> m_placementNumber;
    size_t m_attempts { 0 };
    // The verdicts of all failed attempts, combined: whether one of them may have run.
    Verdict m_combinedVerdict { NotRunProof::nothingSent() };
    std::optional<Refusal> m_lastFailure;
    bool m_isForwarding { false };
    bool m_isFinished { false };
};

}

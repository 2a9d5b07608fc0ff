#pragma once

#include <LibBase/Metrics.h>
#include <LibPlatform/VMList.h>
#include <LibProxy/EventLoop.h>
#include <LibProxy/Exchange.h>
#include <LibRouting/AdmissionController.h>
#include <LibRouting/RetryPolicy.h>
#include <memory>
#include <stagepostd/RequestReader.h>

namespace Stagepost {

// What every request needs of its daemon.
struct RequestServices {
    EventLoop& loop;
    AdmissionController& node;
    RetryPolicy& retries;
    Metrics& metrics;
    VMList const& vms;
};

// One request on its way: a place is found, it goes to the upstream, and what
// fails before the caller has seen an answer may be tried elsewhere.
class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
public:
    // Called once, when the request has its answer or its refusal.
    struct Ending {
        std::optional<Refusal> refusal;
        ForwardResult result;
    };
    using Ended = std::function<void(Ending const&)>;

    RequestFlow(RequestServices, std::shared_ptr<Exchange>, CallerRequest, Ended);

    // The organisation's limits have let the request in already.
    void start();

private:
    void place();
    void placed(Placement const&);
    void forward(Lease const&, VMEntry const&);
    void forwarded(Lease const&, ForwardResult const&);
    bool retry(Lease const&, ForwardResult const&);
    void refuse(Refusal);
    void finish(std::optional<Refusal> const&, ForwardResult const&);
    void callerGone();
    LeaseOutcome outcomeOf(ForwardResult const&) const;

    RequestServices m_services;
    std::shared_ptr<Exchange> m_exchange;
    CallerRequest m_request;
    Ended m_ended;
    Instant m_startedAt;
    std::optional<LeaseClient::RequestNumber> m_placing;
    size_t m_tries { 0 };
    // Whether one of the tries so far may have run.
    Verdict m_doubt { Verdict::NotRun };
    std::optional<Refusal> m_lastFailure;
    bool m_isForwarding { false };
    bool m_isOver { false };
};

}

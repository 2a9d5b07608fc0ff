#pragma once

#include <LibProxy/ForwardResult.h>
#include <LibRouting/ServicePlacement.h>
#include <stagepostd/GatewayServices.h>
#include <stagepostd/RoutedRequest.h>

namespace Stagepost {

// Whether a request may crash upstreams, as a whole or by a part of its prompt, and what its answers show
// about that.
class RequestEvidence {
public:
    // All references must outlive this object.
    RequestEvidence(GatewayServices const&, HttpRequest const&, RoutedRequest const&, ServicePlacement const&);

    // Calls back once it is known whether the request may be sent: at once, unless a trial is due or this daemon has
    // just started. The callback must keep this object alive.
    void prepare(std::function<void()> const& callback);
    // Why the request must go to no upstream now; none if it may. To be asked before each send, since other
    // requests may have given evidence in the meantime.
    std::optional<Refusal> refusal(Verdict) const;
    // Whether upstreams have crashed under a part of its prompt, and no request with it was answered since.
    bool mayCrashUpstreams() const;
    // Whether it may be at fault for an answer that broke off.
    bool isSuspect() const;

    // The upstream has not answered the request, which was sent at the given time.
    void sendFailed(UpstreamId, ForwardResult const&, Instant sentAt);
    // The upstream has sent a whole answer to a request that was sent at the given time.
    void answerCompleted(UpstreamId, ForwardResult const&, bool isStream, Instant sentAt);

    Fingerprint fingerprint() const;
    // The parts of the prompt that other requests may have as well, for the log.
    std::string formatSharedParts() const;

private:
    void tryIfDue(std::function<void()> const& callback);
    // Why the request as a whole must go to no upstream now.
    std::optional<Refusal> requestRefusal(Verdict) const;
    // The same for the parts of its prompt.
    std::optional<Refusal> partRefusal(Verdict) const;
    bool isPoison() const;
    // What has to be tried before the request may be sent, and may be tried now.
    std::vector<Fingerprint> dueTrials() const;
    bool hasTrials(std::vector<Fingerprint> const& subjects) const;
    void setTrialOutcome(TrialOutcome);
    std::vector<Fingerprint> const& sharedParts() const;
    std::optional<CrashDetector::BrokenRequest> brokenRequest(UpstreamId, Instant sentAt) const;

    GatewayServices const& m_services;
    HttpRequest const& m_call;
    RoutedRequest const& m_request;
    ServicePlacement const& m_placement;
    // By subject; empty unless the request is sent to find out whether it, or a part of its prompt, crashes upstreams.
    std::map<Fingerprint, std::unique_ptr<CrashTrial>> m_trials;
    // Computed when first needed, since few requests fail.
    mutable std::optional<Fingerprint> m_fingerprint;
    mutable std::optional<std::vector<Fingerprint>> m_sharedParts;
};

}

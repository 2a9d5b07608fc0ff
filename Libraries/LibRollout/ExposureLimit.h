#pragma once

#include <LibBase/Hooks.h>
#include <LibRollout/AnswerSample.h>
#include <LibRollout/RolloutSchedule.h>
#include <map>
#include <optional>

namespace Stagepost {

// Decides which of a daemon's requests for a service go to the new version. Since every daemon
// stays within the share of its own requests and starts at zero, the fleet stays within it too,
// whichever daemons are cut off, restarted or added.
class ExposureLimit {
public:
    // The requests of the slack may be sent in the trial beyond the share.
    ExposureLimit(RolloutSchedule const&, RolloutId, RandomHook const&, uint64_t requestsOfSlack = 0);

    // Whether a first send on this route should go to the new version. requested() must be called for
    // the request before. The caller must then call sentToNew(), or not send there.
    bool shouldTry(RolloutPhase, RouteId, std::optional<uint64_t> context);
    // Whether any request may be sent to the new version. Checked again before each send, since
    // requests wait for permits. In the Ramp phases false until shouldTry() has been called in the phase.
    bool allows(RolloutPhase) const;

    // A request on this route has arrived.
    void requested(RouteId);
    // Called for each send, also for a further one of the same request.
    void sentToNew(RouteId);
    // An upstream of either version has answered, so the request has reached the service. To be called
    // once for each request, as the share refers to requests and not to sends.
    void answered();

    // Whether requests of the slack are left.
    bool isSpendingSlack() const;
    uint64_t sendsToNew() const { return m_sendsToNew; }
    uint64_t answers() const { return m_answers; }

private:
    struct RouteSends {
        uint64_t requests { 0 };
        uint64_t sendsToNew { 0 };
    };

    bool shouldTryInTrial(RouteId, std::optional<uint64_t> context) const;
    bool shouldTryInRamp(double share, std::optional<uint64_t> context) const;
    void enter(RolloutPhase);
    double pacedSendsOfShare() const { return m_schedule.trialPace * m_schedule.share * static_cast<double>(m_requests); }
    double pacedSends() const;
    double trialAllowance() const;
    double quota(RouteSends const&, double sends) const;
    bool isRare(RouteSends const&) const;
    double rampAllowance(double share) const;
    double positionOf(std::optional<uint64_t> context) const;

    RolloutSchedule m_schedule;
    RolloutId m_order;
    uint64_t m_requestsOfSlack { 0 };
    // Makes daemons start their trials and draw requests without a context independently.
    uint64_t m_seed { 0 };
    uint64_t m_requests { 0 };
    uint64_t m_answers { 0 };
    uint64_t m_sendsToNew { 0 };
    std::map<RouteId, RouteSends> m_routes;
    // The phase of the latest call of shouldTry(), and the counts before its first request.
    RolloutPhase m_phase { RolloutPhase::Trial };
    uint64_t m_requestsBeforePhase { 0 };
    uint64_t m_sendsBeforePhase { 0 };
};

}

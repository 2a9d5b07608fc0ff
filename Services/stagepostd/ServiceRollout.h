#pragma once

#include <LibBase/Hooks.h>
#include <LibRollout/Rollout.h>
#include <map>
#include <string>

namespace Stagepost {

// A daemon's sends and answers of one version since an order.
struct VersionTraffic {
    uint64_t sends { 0 };
    uint64_t answers { 0 };
    uint64_t badAnswers { 0 };
};

// One order of one service on this daemon: its exposure, evidence and coordination.
class ServiceRollout {
public:
    // wasServing says whether the order's version took all requests when the order arrived. The requests of
    // the slack are those that this daemon may send in the trial beyond the share.
    ServiceRollout(RolloutOrder, bool wasServing, uint64_t requestsOfSlack, RolloutSchedule const&, FleetPeer self, RandomHook const&, RolloutCoordinator::Hooks);

    RolloutOrder const& order() const { return m_order; }
    RolloutPhase phase() const { return m_phase; }
    bool wasServing() const { return m_wasServing; }
    // When this daemon learnt that the order is done.
    std::optional<Instant> doneAt() const { return m_doneAt; }
    RolloutCoordinator& coordinator() { return m_coordinator; }
    RolloutCoordinator const& coordinator() const { return m_coordinator; }
    ExposureLimit& exposure() { return m_exposure; }
    ExposureLimit const& exposure() const { return m_exposure; }
    std::map<std::string, VersionTraffic> const& traffic() const { return m_traffic; }

    void setState(RolloutState const&, Instant now);
    // A request is sent to an upstream of this version.
    void recordSend(std::string const& version, RouteId);
    // Counts an answer that was judged in this way.
    void recordAnswer(std::string const& version, AnswerSample const&, AnswerClassifier::Verdict, Instant now);

private:
    RolloutOrder m_order;
    bool m_wasServing;
    RolloutPhase m_phase { RolloutPhase::Trial };
    std::optional<Instant> m_doneAt;
    ExposureLimit m_exposure;
    RolloutEvidence m_evidence;
    RolloutCoordinator m_coordinator;
    std::map<std::string, VersionTraffic> m_traffic;
};

}

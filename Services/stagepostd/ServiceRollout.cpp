#include <stagepostd/ServiceRollout.h>

namespace Stagepost {

namespace {

    RolloutCoordinator::Bounds coordinatorBounds(RolloutSchedule const& schedule)
    {
        RolloutCoordinator::Bounds bounds;
        bounds.schedule = schedule;
        return bounds;
    }

}

ServiceRollout::ServiceRollout(RolloutOrder order, bool wasServing, uint64_t requestsOfSlack, RolloutSchedule const& schedule, FleetPeer self, RandomHook const& random, RolloutCoordinator::Hooks hooks)
    : m_order(std::move(order))
    , m_wasServing(wasServing)
    , m_exposure(schedule, m_order.id, random, requestsOfSlack)
    , m_coordinator(self, random(), m_order, coordinatorBounds(schedule), std::move(hooks))
{
}

void ServiceRollout::setState(RolloutState const& state, Instant now)
{
    m_phase = state.phase;
    if (m_phase == RolloutPhase::Done && !m_doneAt)
        m_doneAt = now;
    m_coordinator.setState(state, now);
}

void ServiceRollout::recordSend(std::string const& version, RouteId route)
{
    ++m_traffic[version].sends;
    if (version == m_order.version)
        m_exposure.sentToNew(route);
}

void ServiceRollout::recordAnswer(std::string const& version, AnswerSample const& sample, AnswerClassifier::Verdict verdict, Instant now)
{
    using Verdict = AnswerClassifier::Verdict;
    if (verdict == Verdict::NotCounted)
        return;
    bool const isNew = version == m_order.version;
    bool const isBad = verdict != Verdict::Good;
    auto& traffic = m_traffic[version];
    ++traffic.answers;
    traffic.badAnswers += isBad ? 1 : 0;
    if (isFinal(m_phase))
        return;
    if (isNew)
        m_evidence.recordNew(sample.route, sample.upstream, isBad, sample.isUnderLoad);
    else
        m_evidence.recordOld(sample.route, isBad, sample.isUnderLoad);
    // Reporting bad answers of one version sooner than those of the other would bias their comparison.
    m_coordinator.evidenceChanged(m_evidence, isBad, now);
}

}

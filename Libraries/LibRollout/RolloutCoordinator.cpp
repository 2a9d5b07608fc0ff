#include <LibRollout/RolloutCoordinator.h>

#include <LibRollout/RolloutCoordinatorState.h>
#include <utility>

namespace Stagepost {

// A hook may destroy the coordinator, so each call that may call one keeps the state alive.

RolloutCoordinator::RolloutCoordinator(FleetPeer self, uint64_t process, RolloutOrder order, Bounds bounds, Hooks hooks)
    : m_state(std::make_shared<State>(self, process, std::move(order), bounds, std::move(hooks)))
{
}

void RolloutCoordinator::setPeers(std::vector<FleetPeer> const& peers, Instant)
{
    m_state->setPeers(peers);
}

void RolloutCoordinator::receive(VMId from, RolloutMessage const& message, Instant now)
{
    auto const state = m_state;
    state->receive(from, message, now);
}

void RolloutCoordinator::setState(RolloutState const& rolloutState, Instant now)
{
    auto const state = m_state;
    state->setState(rolloutState, now);
}

void RolloutCoordinator::evidenceChanged(RolloutEvidence const& evidence, bool isBad, Instant)
{
    m_state->evidence = evidence;
    m_state->isReportUrgent = m_state->isReportUrgent || isBad;
}

void RolloutCoordinator::recordFinished(RecordResult result, Instant now)
{
    auto const state = m_state;
    state->recordFinished(result, now);
}

void RolloutCoordinator::setRecorded(std::optional<RolloutPhase> phase, Instant)
{
    m_state->recorder.setRecorded(phase);
}

void RolloutCoordinator::tick(Instant now)
{
    auto const state = m_state;
    state->tick(now);
}

bool RolloutCoordinator::mayUseOldVersion(Instant now) const
{
    return m_state->mayUseOldVersion(now);
}

bool RolloutCoordinator::isJudge() const
{
    return m_state->judge.has_value();
}

VersionVerdict RolloutCoordinator::verdict() const
{
    return m_state->judge ? m_state->judge->verdict() : VersionVerdict {};
}

Microseconds RolloutCoordinator::evidenceAge(Instant now) const
{
    return m_state->judge ? now - m_state->judge->oldestReport(now) : Microseconds(0);
}

}

#include <LibRollout/RolloutRecorder.h>

#include <algorithm>
#include <utility>

namespace Stagepost {

bool RolloutRecorder::isTurn(RolloutStep const& step, Instant orderedAt, size_t rank, Instant now)
{
    if (m_waitingStep != step.phase) {
        m_waitingStep = step.phase;
        m_waitingSince = now;
    }
    auto const dueAt = step.dueAt ? orderedAt + *step.dueAt : m_waitingSince;
    return now >= dueAt + static_cast<int64_t>(rank) * m_bounds.takeoverInterval;
}

void RolloutRecorder::start(RolloutCoordinator::RecordRequest request, Instant now)
{
    m_request = std::move(request);
    m_startedAt = now;
    m_record(*m_request);
}

void RolloutRecorder::read(RolloutCoordinator::RecordRequest request, Instant now)
{
    if (now < m_nextReadAt)
        return;
    m_nextReadAt = now + m_bounds.retryInterval;
    start(std::move(request), now);
}

std::optional<RolloutRecorder::Finished> RolloutRecorder::finish(RolloutCoordinator::RecordResult result, RolloutPhase ownPhase, Instant now)
{
    if (!m_request)
        return std::nullopt;
    auto const finished = *std::exchange(m_request, std::nullopt);
    if (result == RolloutCoordinator::RecordResult::Recorded) {
        noteRecorded(finished.phase);
        return Finished { finished.phase, m_startedAt };
    }
    holdUntil(now + m_bounds.retryInterval);
    // The outcome of the record was adopted. If this daemon knows another one, there is a later order.
    if (result == RolloutCoordinator::RecordResult::Superseded && isFinal(ownPhase))
        m_recorded = ownPhase;
    return std::nullopt;
}

void RolloutRecorder::noteRecorded(RolloutPhase phase)
{
    m_recorded = std::max(m_recorded.value_or(phase), phase);
    m_wasRecorded = true;
}

void RolloutRecorder::setRecorded(std::optional<RolloutPhase> phase)
{
    m_recorded = phase;
    m_wasRecorded = m_wasRecorded || phase;
}

}

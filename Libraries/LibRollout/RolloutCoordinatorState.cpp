#include <LibRollout/RolloutCoordinatorState.h>

#include <utility>

namespace Stagepost {

namespace {

    // A judge that starts this soon after the order counts all evidence. No daemon has
    // reported to another judge before.
    constexpr Microseconds newOrderAge { 2000000 };
    // A process that did not run for this long was paused, and what it knows is outdated.
    constexpr Microseconds pauseThreshold { 1000000 };
    // The time after the outcome for which daemons keep reporting, so that each hall has a judge that records it.
    constexpr Microseconds reportsAfterOutcome { 10000000 };
    // For this long a judge tries to record a rollback from Moved before it takes effect.
    constexpr Microseconds maxUnrecordedRollback { 2000000 };
    // From this part of an order's time on, before the ramp is due, judges without contact to most halls read the record instead.
    constexpr double recordReadsFrom { 0.36 };

    uint64_t toTimestamp(Instant instant)
    {
        return static_cast<uint64_t>(instant.time_since_epoch().count());
    }

}

RolloutCoordinator::State::State(FleetPeer ownId, uint64_t ownProcess, RolloutOrder rolloutOrder, Bounds ownBounds, Hooks ownHooks)
    : self(ownId)
    , process(ownProcess)
    , order(std::move(rolloutOrder))
    , bounds(ownBounds)
    , hooks(std::move(ownHooks))
    , selection(ownId.id, order.service, { ownBounds.judgeTimeout })
    , lease(ownBounds.lease)
    , recorder({ ownBounds.takeoverInterval, ownBounds.recordRetryInterval }, hooks.record)
{
}

void RolloutCoordinator::State::setPeers(std::vector<FleetPeer> const& list)
{
    hasPeers = true;
    peers = list;
    std::vector<VMId> hall { self.id };
    for (auto const& peer : peers) {
        if (peer.hall == self.hall && peer.id != self.id)
            hall.push_back(peer.id);
    }
    selection.setHall(std::move(hall));
    if (judge)
        judge->setPeers(peers);
}

void RolloutCoordinator::State::setState(RolloutState const& state, Instant now)
{
    if (state.order != order || !state.isPhaseKnown)
        return;
    auto const stateOrderedAt = now - state.elapsed;
    orderedAt = hasState ? std::min(orderedAt, stateOrderedAt) : stateOrderedAt;
    hasState = true;
    if (state.phase > phase)
        phaseRaised(state.phase, now);
}

void RolloutCoordinator::State::raise(RolloutPhase newPhase, Instant now)
{
    if (newPhase <= phase)
        return;
    phaseRaised(newPhase, now);
    hooks.raise(newPhase);
}

void RolloutCoordinator::State::phaseRaised(RolloutPhase newPhase, Instant now)
{
    phase = newPhase;
    phaseSince = now;
    // All phases but the first and RolledBack are only known from the record.
    if (phase != RolloutPhase::RolledBack)
        recorder.noteRecorded(phase);
    if (isFinal(phase) && !finalAt)
        finalAt = now;
    if (judge)
        judge->restartWaits(now);
    // The steps of the ramp travel with the regular messages. The later phases are announced and reported
    // at once, since Done waits for the reports and callers wait for a rollback.
    if (phase < RolloutPhase::Moved)
        return;
    reportedAt.reset();
    hallReportedAt.reset();
    if (judge)
        judge->announce(hooks.send, phase, now);
}

// Daemons stop reporting some time after the outcome, and judges only once it is recorded.
bool RolloutCoordinator::State::isFinished(Instant now) const
{
    return finalAt && now - *finalAt > reportsAfterOutcome && (!judge || recorder.recorded() == phase);
}

// Before the ramp, all daemons use the old version. A daemon without a lease can't know whether it has begun.
bool RolloutCoordinator::State::mayUseOldVersion(Instant now) const
{
    if (!hasState || phase == RolloutPhase::Moved || phase == RolloutPhase::Done)
        return false;
    if (phase == RolloutPhase::RolledBack)
        return true;
    bool const isBeforeRamp = phase == RolloutPhase::Trial && fraction(now) < RolloutSchedule::dueAt(RolloutPhase::FirstRamp);
    return isBeforeRamp || lease.isValid(now);
}

// Decisions wait until messages of other daemons have had time to arrive.
void RolloutCoordinator::State::noticePause(Instant now)
{
    bool const wasPaused = tickedAt && now - *tickedAt > pauseThreshold;
    tickedAt = now;
    if (!wasPaused)
        return;
    selection.resumed(now);
    recorder.holdUntil(now + bounds.takeoverInterval);
    if (judge)
        judge->restartWaits(now);
}

void RolloutCoordinator::State::tick(Instant now)
{
    noticePause(now);
    if (!hasPeers || !hasState || isFinished(now))
        return;
    if (!startedAt)
        startedAt = now;
    auto const moved = hasMoved();
    isReportUrgent = isReportUrgent || moved != hadMoved;
    hadMoved = moved;
    selection.tick(now);
    updateJudge(now);
    sendReport(now);
    sendHallReports(now);
    decide(now);
}

// ---- Reports

EvidenceReport RolloutCoordinator::State::makeReport(bool needsReply, Instant now) const
{
    return { order.id, process, toTimestamp(now), phase, hasMoved(), needsReply, evidence };
}

void RolloutCoordinator::State::sendReport(Instant now)
{
    if (finalAt && now - *finalAt > reportsAfterOutcome)
        return;
    auto const interval = isReportUrgent ? bounds.urgentReportInterval : bounds.reportInterval;
    if (reportedAt && now - *reportedAt < interval)
        return;
    reportedAt = now;
    isReportUrgent = false;
    if (selection.isSelf()) {
        judge->add(self.id, makeReport(false, now), now);
        applyVerdict(now);
        if (judge->mayRenewLeases(now))
            lease.renew(now);
    } else {
        bool const needsReply = selection.needsReply(now);
        if (needsReply)
            selection.asked(now);
        hooks.send(selection.judge(), makeReport(needsReply, now));
    }
    for (auto const daemon : selection.takeProbes(now))
        hooks.send(daemon, makeReport(true, now));
}

void RolloutCoordinator::State::sendHallReports(Instant now)
{
    if (!judge)
        return;
    auto const urgency = judge->takeUrgency();
    isHallReportUrgent = isHallReportUrgent || urgency == RolloutJudge::Urgency::Soon;
    if (urgency == RolloutJudge::Urgency::Immediate)
        hallReportedAt.reset();
    auto const interval = isHallReportUrgent ? bounds.urgentReportInterval : bounds.reportInterval;
    if (hallReportedAt && now - *hallReportedAt < interval)
        return;
    hallReportedAt = now;
    isHallReportUrgent = false;
    judge->sendHallReports(hooks.send, phase, now);
}

// ---- Messages

void RolloutCoordinator::State::receive(VMId from, RolloutMessage const& message, Instant now)
{
    noticePause(now);
    std::visit([&](auto const& alternative) {
        if (alternative.order != order.id)
            return;
        raise(alternative.phase, now);
        if (hasState && hasPeers)
            handle(from, alternative, now);
    },
        message);
}

void RolloutCoordinator::State::handle(VMId from, EvidenceReport const& report, Instant now)
{
    judgingUntil = now + bounds.judgeTimeout;
    auto& ownJudge = startJudging(now);
    ownJudge.add(from, report, now);
    applyVerdict(now);
    bool const isPhaseUrgent = phase >= RolloutPhase::Moved && report.phase < phase;
    if (report.needsReply || isPhaseUrgent)
        hooks.send(from, EvidenceReply { order.id, report.sentAt, phase, ownJudge.mayRenewLeases(now) });
}

void RolloutCoordinator::State::handle(VMId from, EvidenceReply const& reply, Instant now)
{
    if (!reply.sentAt)
        return;
    selection.replied(from, reply.renewsLease);
    Instant const sentAt { Microseconds(static_cast<int64_t>(reply.sentAt)) };
    // A report that an earlier process sent proves nothing about this one.
    if (reply.renewsLease && startedAt && sentAt >= *startedAt && sentAt <= now)
        lease.renew(sentAt);
}

// A daemon that does not judge ignores the totals; their sender tries the next one of the hall.
void RolloutCoordinator::State::handle(VMId from, HallReport const& report, Instant now)
{
    if (!judge)
        return;
    judge->add(from, report, now);
    applyVerdict(now);
}

// ---- Judging

RolloutJudge& RolloutCoordinator::State::startJudging(Instant now)
{
    if (!judge) {
        RolloutJudge::Bounds const judgeBounds { bounds.lease, bounds.judgeTimeout, bounds.schedule.share * bounds.schedule.trialPace };
        judge.emplace(self, process, order, judgeBounds, elapsed(now) < newOrderAge, now);
        judge->setPeers(peers);
    }
    return *judge;
}

void RolloutCoordinator::State::updateJudge(Instant now)
{
    if (selection.isSelf())
        startJudging(now);
    else if (judge && now >= judgingUntil)
        judge.reset();
    if (!judge)
        return;
    judge->tick(phase, now);
    applyVerdict(now);
}

void RolloutCoordinator::State::applyVerdict(Instant now)
{
    auto const verdict = judge->verdict();
    if (!verdict.isCondemned || isFinal(phase))
        return;
    if (!condemnedAt) {
        condemnedAt = now;
        hooks.condemned(verdict);
    }
    // In Moved, the rollback is recorded first; see nextStep(). If the store does not answer this judge, the
    // rollback takes effect after a while all the same, although a judge that it answers may record Done.
    if (phase != RolloutPhase::Moved || now - *condemnedAt >= maxUnrecordedRollback)
        raise(RolloutPhase::RolledBack, now);
}

// ---- Decisions

RolloutSituation RolloutCoordinator::State::situation(Instant now)
{
    if (!judge->isProven(phase, now))
        provenAt.reset();
    else if (!provenAt)
        provenAt = elapsed(now);
    RolloutSituation result { phase, recorder.recorded(), recorder.wasRecorded(), elapsed(now), order.duration, now - phaseSince, provenAt, condemnedAt.has_value() };
    result.isServing = hooks.isServing && hooks.isServing();
    result.isOldVersionLeft = phase == RolloutPhase::Moved && judge->isOldVersionLeft(now);
    return result;
}

void RolloutCoordinator::State::decide(Instant now)
{
    if (!judge || !recorder.isReady(now))
        return;
    auto const step = nextStep(situation(now));
    if (step && recorder.isTurn(*step, orderedAt, judge->rank(now), now)) {
        take(*step, now);
        return;
    }
    // Reading the record shows that the old version cannot have been left yet.
    bool const isLeaseNeeded = phase < RolloutPhase::Moved && fraction(now) >= recordReadsFrom;
    if (isLeaseNeeded && !judge->isQuorate(now))
        recorder.read({ order, phase, elapsed(now), false }, now);
}

void RolloutCoordinator::State::take(RolloutStep const& step, Instant now)
{
    // Judges in contact with most halls know that no other one can complete the order. Without that
    // contact, the record has to say so first.
    if (step.isAtDeadline && judge->isQuorate(now))
        raise(step.phase, now);
    recorder.start({ order, step.phase, elapsed(now), step.isAtDeadline && phase != step.phase }, now);
}

void RolloutCoordinator::State::recordFinished(RecordResult result, Instant now)
{
    noticePause(now);
    auto const finished = recorder.finish(result, phase, now);
    if (!finished)
        return;
    raise(finished->phase, now);
    if (phase < RolloutPhase::Moved && judge)
        judge->recordedBeforeMoved(finished->startedAt);
}

}

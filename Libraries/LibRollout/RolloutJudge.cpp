#include <LibRollout/RolloutJudge.h>

#include <LibRollout/RolloutSchedule.h>
#include <algorithm>
#include <utility>

namespace Stagepost {

namespace {

    // The least number of answers, or part of the expected ones, that must be judged before the phase advances.
    constexpr double minJudgedAnswers { 30 };
    constexpr double minJudgedPart { 0.05 };
    // With more evidence against the version, the phase does not advance. A good version has it with a
    // probability of at most 1 in 10.
    constexpr double maxEvidenceOfProven { 10 };
    // A step with too few answers for a proof lasts this part of the order's time. The next one at most doubles them.
    constexpr double minUnprovenStepPart { 0.09 };

    Microseconds trialOf(RolloutOrder const& order)
    {
        return Microseconds(static_cast<int64_t>(static_cast<double>(order.duration.count()) * RolloutSchedule::dueAt(RolloutPhase::FirstRamp)));
    }

    uint64_t toTimestamp(Instant instant)
    {
        return static_cast<uint64_t>(instant.time_since_epoch().count());
    }

}

RolloutJudge::RolloutJudge(FleetPeer self, uint64_t process, RolloutOrder const& order, Bounds bounds, bool isOrderNew, Instant now)
    : m_self(self)
    , m_process(process)
    , m_order(order)
    , m_bounds(bounds)
    , m_ledger({ bounds.judgeTimeout, bounds.lease }, isOrderNew, now)
    , m_links(self, order.service, { bounds.judgeTimeout }, isOrderNew)
    , m_test(VersionTest::Bounds {})
    , m_acceptance(trialOf(order))
    , m_recordLease(bounds.lease)
    , m_judgingSince(now)
    , m_phaseSince(now)
{
}

void RolloutJudge::setPeers(std::vector<FleetPeer> const& peers)
{
    std::vector<VMId> hall { m_self.id };
    for (auto const& peer : peers) {
        if (peer.hall == m_self.hall && peer.id != m_self.id)
            hall.push_back(peer.id);
    }
    m_ledger.setHall(std::move(hall));
    m_links.setPeers(peers);
}

void RolloutJudge::judge(RolloutEvidence const& increment, Instant now)
{
    auto const before = m_judgedNew;
    m_judgedNew += increment.newVersionTotal();
    for (auto const& [route, counts] : increment.routes())
        m_judgedOld += counts.oldVersion;
    if (m_judgedNew.bad > before.bad)
        m_urgency = std::max(m_urgency, Urgency::Soon);
    m_test.add(increment, now);
    m_acceptance.add(increment, now);
}

void RolloutJudge::add(VMId from, EvidenceReport const& report, Instant now)
{
    m_acceptance.addEarlier(m_ledger.earlierEvidence(from, report), now);
    judge(m_ledger.add(from, report, now), now);
}

void RolloutJudge::add(VMId from, HallReport const& report, Instant now)
{
    m_acceptance.addEarlier(m_links.earlierEvidence(from, report), now);
    judge(m_links.receive(from, report, now), now);
}

RolloutJudge::Urgency RolloutJudge::takeUrgency()
{
    return std::exchange(m_urgency, Urgency::None);
}

void RolloutJudge::restartWaits(Instant now)
{
    m_ledger.watchFrom(now);
    m_othersBlockedSince.reset();
}

void RolloutJudge::tick(RolloutPhase phase, Instant now)
{
    // Answers are judged when a slice of time ends, also if no others arrive.
    m_test.add({}, now);
    m_acceptance.add({}, now);
    if (phase != m_phase) {
        m_phase = phase;
        m_phaseSince = now;
        m_acceptance.startStep();
    }
    if (phase != RolloutPhase::Moved || !m_links.departure(m_ledger.blocksOthers(now), now).areOthersBlocked)
        m_othersBlockedSince.reset();
    else if (!m_othersBlockedSince)
        m_othersBlockedSince = now;
    bool const doesHallBlock = m_ledger.blocksOthers(now);
    bool const hasHallMoved = m_ledger.daemonsNotMoved(now) == 0;
    if ((doesHallBlock && !m_doesHallBlock) || (hasHallMoved && !m_hasHallMoved))
        m_urgency = Urgency::Immediate;
    m_doesHallBlock = doesHallBlock;
    m_hasHallMoved = hasHallMoved;
}

VersionVerdict RolloutJudge::verdict() const
{
    auto verdict = m_test.verdict();
    verdict.isAccepted = m_acceptance.isAccepted();
    verdict.unprovenRoutes = m_acceptance.unprovenRoutes();
    verdict.isProvenUnderLoad = m_acceptance.isProvenUnderLoad();
    return verdict;
}

// The steps to the ramp and out of it need a proof on each route. Within it there may be too few answers for that, so
// that only the answers of all routes since the last step are needed.
bool RolloutJudge::isProven(RolloutPhase phase, Instant now) const
{
    bool const needsProof = phase == RolloutPhase::Trial || phase == RolloutPhase::LastRamp;
    bool const isShown = needsProof ? m_acceptance.isAccepted() : !m_acceptance.isDoubted();
    if (phase != RolloutPhase::Trial && !isStepShown(now))
        return false;
    return isShown && hasEnoughAnswers(now) && m_test.verdict().evidence <= maxEvidenceOfProven;
}

bool RolloutJudge::isStepShown(Instant now) const
{
    auto const minUnprovenStep = Microseconds(static_cast<int64_t>(minUnprovenStepPart * static_cast<double>(m_order.duration.count())));
    return m_acceptance.isStepProven() || (now - m_phaseSince >= minUnprovenStep && m_acceptance.isStepUnopposed());
}

// A judge waits for the reports of its daemons first: without them, it would take the service for one
// without requests, which needs no answers.
bool RolloutJudge::hasEnoughAnswers(Instant now) const
{
    if (now - m_judgingSince < m_bounds.judgeTimeout)
        return false;
    auto const judged = static_cast<double>(m_judgedNew.answers);
    // A judge that has taken over expects as many answers as if it had judged the whole trial.
    auto const extrapolation = std::max(1.0, asSeconds(trialOf(m_order)) / asSeconds(now - m_judgingSince));
    auto const expected = m_bounds.trialShare * (judged + static_cast<double>(m_judgedOld.answers)) * extrapolation;
    return judged >= minJudgedAnswers || judged >= minJudgedPart * expected;
}

bool RolloutJudge::isQuorate(Instant now) const
{
    auto const confirmedAt = m_links.confirmedAt();
    // The other half of a lease is for daemons that change their judge; see HallLedger.
    return m_ledger.hearsMost(now) && confirmedAt && (*confirmedAt >= now || now - *confirmedAt < m_bounds.lease / 2);
}

bool RolloutJudge::isOldVersionLeft(Instant now) const
{
    auto const departure = m_links.departure(m_ledger.blocksOthers(now), now);
    if (m_ledger.daemonsNotMoved(now) > 0 || !departure.haveHeardMoved || !departure.areOthersBlocked)
        return false;
    return departure.areAllHeard || (m_othersBlockedSince && now - *m_othersBlockedSince >= 2 * m_bounds.lease);
}

void RolloutJudge::sendHallReports(Send const& send, RolloutPhase phase, Instant now)
{
    bool const hearsMost = m_ledger.hearsMost(now);
    HallReport report { m_order.id, m_process, toTimestamp(now), 0, m_self.hall, phase, m_ledger.daemonsNotMoved(now), m_ledger.blocksOthers(now), m_ledger.total() };
    for (auto const to : m_links.takeReceivers(now)) {
        report.echoOf = hearsMost ? m_links.echoFor(to, phase) : 0;
        send(to, report);
    }
}

void RolloutJudge::announce(Send const& send, RolloutPhase phase, Instant now) const
{
    for (auto const daemon : m_ledger.reporters(now)) {
        if (daemon != m_self.id)
            send(daemon, EvidenceReply { m_order.id, 0, phase, false });
    }
}

}

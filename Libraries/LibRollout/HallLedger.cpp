#include <LibRollout/HallLedger.h>

#include <algorithm>
#include <set>

namespace Stagepost {

bool HallLedger::isBaseline(Daemon const* known, EvidenceReport const& report, Instant now) const
{
    if (!known)
        return !m_isOrderNew;
    return known->process == report.process && now - known->heardAt > m_bounds.reportTimeout;
}

RolloutEvidence HallLedger::add(VMId from, EvidenceReport const& report, Instant now)
{
    auto const found = m_daemons.find(from);
    auto const* known = found == m_daemons.end() ? nullptr : &found->second;
    RolloutEvidence increment;
    if (!isBaseline(known, report, now)) {
        // A new process counts from zero.
        bool const isContinued = known && known->process == report.process;
        increment = isContinued ? report.evidence.since(known->evidence) : report.evidence;
    }
    bool const hasMoved = report.hasMoved && (report.phase == RolloutPhase::Moved || report.phase == RolloutPhase::Done);
    m_daemons.insert_or_assign(from, Daemon { report.process, now, report.phase, hasMoved, report.evidence });
    m_total += increment;
    return increment;
}

RolloutEvidence HallLedger::earlierEvidence(VMId from, EvidenceReport const& report) const
{
    return m_isOrderNew || m_daemons.contains(from) ? RolloutEvidence {} : report.evidence;
}

size_t HallLedger::daemonsNotMoved(Instant now) const
{
    std::set<VMId> notMoved(m_hall.begin(), m_hall.end());
    for (auto const& [id, daemon] : m_daemons)
        notMoved.insert(id);
    std::erase_if(notMoved, [&](VMId id) {
        auto const found = m_daemons.find(id);
        bool const isKnown = found != m_daemons.end();
        if (isKnown && found->second.hasMoved)
            return true;
        auto const silentSince = isKnown ? std::max(found->second.heardAt, m_watchingSince) : m_watchingSince;
        return now - silentSince >= 2 * m_bounds.lease;
    });
    return notMoved.size();
}

// A daemon that changes its judge may be counted by both. Half a lease for this and half for the judge's own
// lease keep the leases that a judge renews within the two that daemonsNotMoved() waits for.
size_t HallLedger::heardCount(RolloutPhase leastPhase, Instant now) const
{
    return static_cast<size_t>(std::count_if(m_hall.begin(), m_hall.end(), [&](VMId id) {
        auto const found = m_daemons.find(id);
        return found != m_daemons.end() && found->second.phase >= leastPhase && now - found->second.heardAt < m_bounds.lease / 2;
    }));
}

bool HallLedger::hearsMost(Instant now) const
{
    return 2 * heardCount(RolloutPhase::Trial, now) > m_hall.size();
}

bool HallLedger::blocksOthers(Instant now) const
{
    return 2 * heardCount(RolloutPhase::Moved, now) >= m_hall.size();
}

std::vector<VMId> HallLedger::reporters(Instant now) const
{
    std::vector<VMId> result;
    for (auto const& [id, daemon] : m_daemons) {
        if (now - daemon.heardAt < m_bounds.lease)
            result.push_back(id);
    }
    return result;
}

}

#include <LibRollout/JudgeLinks.h>

#include <LibRollout/JudgeRanking.h>
#include <algorithm>
#include <functional>

namespace Stagepost {

void JudgeLinks::setPeers(std::vector<FleetPeer> const& peers)
{
    m_halls.clear();
    for (auto const& peer : peers) {
        if (peer.hall != m_self.hall)
            m_halls[peer.hall].push_back(peer.id);
    }
    for (auto& [hall, daemons] : m_halls)
        sortByJudgeRank(m_service, daemons);
}

// An echo is only accepted of a time that this process may have sent a report at.
void JudgeLinks::noteEcho(Judge& judge, HallReport const& report, Instant now) const
{
    Instant const echoed { Microseconds(static_cast<int64_t>(report.echoOf)) };
    if (report.echoOf && echoed <= now && (!judge.echoedAt || echoed > *judge.echoedAt))
        judge.echoedAt = echoed;
}

RolloutEvidence JudgeLinks::receive(VMId from, HallReport const& report, Instant now)
{
    auto const [found, isFirst] = m_judges.try_emplace(from);
    auto& judge = found->second;
    bool const isSameProcess = !isFirst && judge.process == report.process;
    if (isSameProcess && report.sentAt <= judge.sentAt)
        return {};
    RolloutEvidence increment;
    if (!isFirst || m_isOrderNew)
        increment = isSameProcess ? report.evidence.since(judge.evidence) : report.evidence;
    judge.hall = report.hall;
    judge.process = report.process;
    judge.sentAt = report.sentAt;
    judge.receivedAt = now;
    judge.phase = report.phase;
    judge.hasMoved = report.daemonsNotMoved == 0 && (report.phase == RolloutPhase::Moved || report.phase == RolloutPhase::Done);
    judge.blocksOthers = report.blocksOthers;
    judge.evidence = report.evidence;
    noteEcho(judge, report, now);
    return increment;
}

RolloutEvidence JudgeLinks::earlierEvidence(VMId from, HallReport const& report) const
{
    return m_isOrderNew || m_judges.contains(from) ? RolloutEvidence {} : report.evidence;
}

std::vector<VMId> JudgeLinks::takeReceivers(Instant now)
{
    std::vector<VMId> result;
    for (auto const& [hall, daemons] : m_halls) {
        auto const before = result.size();
        for (auto const& [id, judge] : m_judges) {
            if (judge.hall == hall && isHeard(judge, now))
                result.push_back(id);
        }
        if (result.size() == before)
            result.push_back(daemons[m_attempts[hall]++ % daemons.size()]);
    }
    return result;
}

uint64_t JudgeLinks::echoFor(VMId to, RolloutPhase ownPhase) const
{
    auto const found = m_judges.find(to);
    return found == m_judges.end() || found->second.phase < ownPhase ? 0 : found->second.sentAt;
}

std::optional<Instant> JudgeLinks::confirmedAt() const
{
    std::map<HallId, Instant> latest;
    for (auto const& [id, judge] : m_judges) {
        if (!judge.echoedAt || !m_halls.contains(judge.hall))
            continue;
        auto& at = latest.try_emplace(judge.hall, *judge.echoedAt).first->second;
        at = std::max(at, *judge.echoedAt);
    }
    std::vector<Instant> times;
    times.reserve(latest.size());
    for (auto const& [hall, at] : latest)
        times.push_back(at);
    std::sort(times.begin(), times.end(), std::greater<>());
    auto const otherHallsNeeded = (m_halls.size() + 1) / 2;
    if (!otherHallsNeeded)
        return Instant::max();
    return times.size() < otherHallsNeeded ? std::nullopt : std::optional(times[otherHallsNeeded - 1]);
}

size_t JudgeLinks::rank(Instant now) const
{
    auto const own = judgeRank(m_service, m_self.id);
    return static_cast<size_t>(std::count_if(m_judges.begin(), m_judges.end(), [&](auto const& judge) {
        return isHeard(judge.second, now) && judgeRank(m_service, judge.first) > own;
    }));
}

Instant JudgeLinks::oldestReport(Instant now) const
{
    auto oldest = now;
    for (auto const& [id, judge] : m_judges)
        oldest = std::min(oldest, judge.receivedAt);
    return oldest;
}

JudgeLinks::Departure JudgeLinks::departure(bool doesOwnHallBlock, Instant now) const
{
    Departure result;
    std::set<HallId> blocking;
    for (auto const& [id, judge] : m_judges) {
        if (!isHeard(judge, now) || !m_halls.contains(judge.hall))
            continue;
        if (!judge.hasMoved)
            result.haveHeardMoved = false;
        else if (judge.blocksOthers)
            blocking.insert(judge.hall);
    }
    auto const halls = m_halls.size() + 1;
    auto const blockingHalls = blocking.size() + (doesOwnHallBlock ? 1 : 0);
    result.areOthersBlocked = 2 * blockingHalls >= halls;
    result.areAllHeard = blockingHalls == halls;
    return result;
}

}

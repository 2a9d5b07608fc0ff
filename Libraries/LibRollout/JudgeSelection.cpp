#include <LibRollout/JudgeSelection.h>

#include <LibRollout/JudgeRanking.h>
#include <algorithm>

namespace Stagepost {

void JudgeSelection::setHall(std::vector<VMId> hall)
{
    auto const before = judge();
    m_ranking = std::move(hall);
    sortByJudgeRank(m_service, m_ranking);
    std::erase_if(m_silent, [this](auto const& silent) {
        return std::find(m_ranking.begin(), m_ranking.end(), silent.first) == m_ranking.end();
    });
    if (judge() != before)
        m_unansweredSince.reset();
}

VMId JudgeSelection::judge() const
{
    auto const found = std::find_if(m_ranking.begin(), m_ranking.end(), [this](VMId daemon) { return daemon == m_self || !m_silent.contains(daemon); });
    return found == m_ranking.end() ? m_self : *found;
}

bool JudgeSelection::needsReply(Instant now) const
{
    return m_unansweredSince || !m_askedAt || now - *m_askedAt >= m_bounds.replyInterval;
}

void JudgeSelection::asked(Instant now)
{
    m_askedAt = now;
    if (!m_unansweredSince)
        m_unansweredSince = now;
}

void JudgeSelection::replied(VMId daemon, bool hasRenewed)
{
    auto const before = judge();
    m_silent.erase(daemon);
    if (daemon == before || judge() != before)
        m_unansweredSince.reset();
    // The next report asks again, so that the lease is renewed as soon as the judge may do so.
    if (!hasRenewed)
        m_askedAt.reset();
}

void JudgeSelection::resumed(Instant now)
{
    if (m_unansweredSince)
        m_unansweredSince = now;
}

void JudgeSelection::tick(Instant now)
{
    if (isSelf() || !m_unansweredSince || now - *m_unansweredSince < m_bounds.timeout)
        return;
    m_silent.insert_or_assign(judge(), now);
    m_unansweredSince.reset();
    m_askedAt.reset();
}

std::vector<VMId> JudgeSelection::takeProbes(Instant now)
{
    std::vector<VMId> result;
    auto const current = judge();
    for (auto const daemon : m_ranking) {
        if (daemon == current)
            break;
        auto& askedAt = m_silent[daemon];
        if (now - askedAt < m_bounds.probeInterval)
            continue;
        askedAt = now;
        result.push_back(daemon);
    }
    return result;
}

}

#include <LibRouting/LoadExchange.h>

#include <LibRouting/RoutingView.h>
#include <algorithm>
#include <utility>

namespace Stagepost {

void LoadExchange::piggyback(PoolId pool, VMId to, Instant now)
{
    auto const own = m_own.find(pool);
    if (own == m_own.end())
        return;
    auto& lastSentAt = m_lastSentAt[to];
    if (now - lastSentAt < repeatInterval)
        return;
    lastSentAt = now;
    ++m_piggybackedReports;
    m_send(to, own->second);
}

void LoadExchange::tick(RoutingView const& view, Instant now)
{
    auto const& daemons = view.activeDaemons();
    if (now - m_pushedAt < pushInterval || daemons.empty())
        return;
    m_pushedAt = now;
    auto const targets = pushTargets - std::min(pushTargets, std::exchange(m_piggybackedReports, 0) / 2);
    for (size_t count = 0; count < targets; ++count) {
        auto const target = daemons[randomBelow(m_random, daemons.size())];
        if (target == view.self())
            continue;
        for (auto const& [pool, report] : m_own)
            m_send(target, report);
    }
}

void LoadExchange::receive(PoolReport const& report, VMId from, Instant now)
{
    // Only owners of upstreams in the pool use its mean.
    if (m_own.contains(report.pool))
        m_reports[report.pool][from] = { report, now };
}

double LoadExchange::mean(PoolId pool, Instant now) const
{
    uint64_t load = 0;
    uint64_t upstreams = 0;
    if (auto const own = m_own.find(pool); own != m_own.end()) {
        load = own->second.load;
        upstreams = own->second.upstreams;
    }
    if (auto const found = m_reports.find(pool); found != m_reports.end()) {
        for (auto const& [daemon, entry] : found->second) {
            if (now - entry.receivedAt > reportLifetime)
                continue;
            load += entry.report.load;
            upstreams += entry.report.upstreams;
        }
    }
    return upstreams ? static_cast<double>(load) / static_cast<double>(upstreams) : 0;
}

}

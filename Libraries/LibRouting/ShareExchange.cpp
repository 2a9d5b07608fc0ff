#include <LibRouting/ShareExchange.h>

#include <algorithm>
#include <cmath>

namespace Stagepost {

namespace {

    constexpr double millionths = 1e6;
    // Rates are sent in thousandths of a request per second.
    constexpr double arrivalScale = 1000;

    // Returns one daemon's share of a limit, in millionths. If the total demand is below the
    // limit, it gets its own demand and an even part of the remainder, which leaves it room to
    // grow; otherwise the limit is divided by demand, except for unreportedShare of it, which
    // is divided evenly.
    uint64_t shareOf(double own, double total, double limit, size_t reporters, double evenShare)
    {
        if (limit <= 0)
            return 0;
        auto const left = std::max(0.0, limit - total) * (1 - ShareExchange::unreportedShare);
        auto const growing = (own + left / static_cast<double>(reporters)) / limit;
        auto const byDemand = total > 0 ? own / total : evenShare;
        auto const contended = (1 - ShareExchange::unreportedShare) * byDemand + ShareExchange::unreportedShare * evenShare;
        return static_cast<uint64_t>((total < limit ? growing : contended) * millionths);
    }

}

void ShareExchange::setView(RoutingView const& view)
{
    m_view = view;
}

double ShareExchange::evenShare() const
{
    return 1.0 / static_cast<double>(std::max<size_t>(1, m_view.activeDaemons().size()));
}

ShareExchange::Local& ShareExchange::localOf(OrganisationId organisation, Instant now)
{
    auto const found = m_local.find(organisation);
    if (found != m_local.end())
        return found->second;
    OrganisationLimiter const limiter(m_limitsOf(organisation), evenShare(), now);
    return m_local.emplace(organisation, Local { limiter, now - reportInterval, now, false }).first->second;
}

std::optional<Refusal> ShareExchange::admit(OrganisationId organisation, Instant now)
{
    return localOf(organisation, now).limiter.admit(now);
}

void ShareExchange::finished(OrganisationId organisation)
{
    if (auto const found = m_local.find(organisation); found != m_local.end())
        found->second.limiter.finished();
}

size_t ShareExchange::inFlight(OrganisationId organisation) const
{
    auto const found = m_local.find(organisation);
    return found == m_local.end() ? 0 : found->second.limiter.inFlight();
}

void ShareExchange::tick(Instant now)
{
    for (auto& [organisation, local] : m_local) {
        if (local.isShared && now - local.sharedAt > shareLifetime) {
            local.limiter.setEvenShare(evenShare());
            local.isShared = false;
        }
        if (now - local.reportedAt < reportInterval)
            continue;
        bool const shouldReport = local.limiter.isNearShare();
        auto const rate = local.limiter.updateArrivalRate(now - local.reportedAt);
        local.reportedAt = now;
        auto const arrivals = static_cast<uint64_t>(std::lround(rate * arrivalScale));
        auto const coordinator = m_view.coordinatorOf(organisation.value());
        if (shouldReport && coordinator)
            m_send(*coordinator, DemandReport { organisation, arrivals, local.limiter.inFlight() });
    }
}

void ShareExchange::receive(DemandReport const& report, VMId from, Instant now)
{
    auto& reports = m_reports[report.organisation];
    reports[from] = { report, now };
    std::erase_if(reports, [&](auto const& entry) { return now - entry.second.receivedAt > shareLifetime; });
    DemandReport total;
    for (auto const& [daemon, entry] : reports) {
        total.arrivals += entry.report.arrivals;
        total.inFlight += entry.report.inFlight;
    }
    auto const limits = m_limitsOf(report.organisation);
    auto const scaled = [](uint64_t thousandths) { return static_cast<double>(thousandths) / arrivalScale; };
    // Demand for concurrency: requests in flight, and one second of arrivals.
    auto const ownConcurrency = static_cast<double>(report.inFlight) + scaled(report.arrivals);
    auto const totalConcurrency = static_cast<double>(total.inFlight) + scaled(total.arrivals);
    DemandShare share;
    share.organisation = report.organisation;
    share.rateMillionths = shareOf(scaled(report.arrivals), scaled(total.arrivals), limits.requestsPerSecond, reports.size(), evenShare());
    share.inFlightMillionths = shareOf(ownConcurrency, totalConcurrency, limits.inFlight, reports.size(), evenShare());
    m_send(from, share);
}

void ShareExchange::receive(DemandShare const& share, Instant now)
{
    auto& local = localOf(share.organisation, now);
    local.limiter.setShares(static_cast<double>(share.rateMillionths) / millionths, static_cast<double>(share.inFlightMillionths) / millionths);
    local.sharedAt = now;
    local.isShared = true;
}

void ShareExchange::refreshLimits()
{
    for (auto& [organisation, local] : m_local)
        local.limiter.setLimits(m_limitsOf(organisation));
}

}

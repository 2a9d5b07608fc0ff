#include <LibRouting/ShareExchange.h>

#include <algorithm>
#include <cmath>

namespace Stagepost {

namespace {

    constexpr double millionths = 1e6;
    // Rates travel as whole thousandths of a request a second.
    constexpr double arrivalScale = 1000;

    // The part of a limit that one daemon gets. While all want less than the limit,
    // each gets what it uses and an even part of what is left, so that it can grow;
    // beyond that the limit is divided by demand.
    uint64_t partOf(double own, double total, double limit, size_t reporters, double evenShare)
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
        if (local.isShared && now - local.sharedAt > patience) {
            local.limiter.setEvenShare(evenShare());
            local.isShared = false;
        }
        if (now - local.reportedAt < reportInterval)
            continue;
        bool const mustReport = local.limiter.isNearShare();
        auto const rate = local.limiter.updateArrivalRate(now - local.reportedAt);
        local.reportedAt = now;
        auto const arrivals = static_cast<uint64_t>(std::lround(rate * arrivalScale));
        auto const coordinator = m_view.coordinatorOf(organisation.value());
        if (mustReport && coordinator)
            m_send(*coordinator, DemandReport { organisation, arrivals, local.limiter.inFlight() });
    }
}

void ShareExchange::take(DemandReport const& report, VMId from, Instant now)
{
    auto& heard = m_heard[report.organisation];
    heard[from] = { report, now };
    std::erase_if(heard, [&](auto const& entry) { return now - entry.second.at > patience; });
    DemandReport total;
    for (auto const& [daemon, entry] : heard) {
        total.arrivals += entry.report.arrivals;
        total.inFlight += entry.report.inFlight;
    }
    auto const limits = m_limitsOf(report.organisation);
    auto const scaled = [](uint64_t thousandths) { return static_cast<double>(thousandths) / arrivalScale; };
    // The demand for places is what is in flight and what wants to be.
    auto const ownPlaces = static_cast<double>(report.inFlight) + scaled(report.arrivals);
    auto const allPlaces = static_cast<double>(total.inFlight) + scaled(total.arrivals);
    DemandShare share;
    share.organisation = report.organisation;
    share.rateMillionths = partOf(scaled(report.arrivals), scaled(total.arrivals), limits.requestsPerSecond, heard.size(), evenShare());
    share.inFlightMillionths = partOf(ownPlaces, allPlaces, limits.inFlight, heard.size(), evenShare());
    m_send(from, share);
}

void ShareExchange::take(DemandShare const& share, Instant now)
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

#include <LibRouting/InFlightCounter.h>

#include <algorithm>
#include <cmath>

namespace Stagepost {

namespace {

    // The count of a daemon that has died expires after four hold times, when 2 % of its requests
    // would still be in flight. The limits apply if the hold time is not known precisely.
    constexpr int retentionInHoldTimes = 4;
    constexpr Microseconds minRetention { 6000000 };
    constexpr Microseconds maxRetention { 30000000 };
    // More than one report per retention time, so that a report may be lost.
    constexpr int reportsPerRetention = 3;
    // A new owner also considers the forecast until most of the requests that were sent
    // before it became the owner have finished.
    constexpr int warmupInHoldTimes = 2;
    // A cold notice is only valid for this long, since each permit request repeats it for as long
    // as the requesting daemon considers the upstream cold.
    constexpr Microseconds coldNoticeLifetime { 1000000 };

}

Microseconds inFlightRetention(Microseconds holdTime)
{
    return std::clamp(retentionInHoldTimes * holdTime, minRetention, maxRetention);
}

Microseconds inFlightReportInterval(Microseconds holdTime)
{
    return inFlightRetention(holdTime) / reportsPerRetention;
}

InFlightCounter::UpstreamState& InFlightCounter::stateOf(UpstreamId upstream, Instant now)
{
    auto const [entry, isNew] = m_upstreams.try_emplace(upstream);
    if (isNew)
        entry->second.createdAt = now;
    entry->second.updatedAt = now;
    return entry->second;
}

size_t InFlightCounter::totalInFlight(UpstreamState const& state)
{
    size_t total = 0;
    for (auto const& [daemon, daemonCount] : state.daemonCounts)
        total += daemonCount.count;
    return total;
}

// A daemon that stands in for the first owner only has the counts that were sent to itself, so the
// forecast is a lower bound there.
size_t InFlightCounter::estimate(UpstreamForecast const& forecast, UpstreamState const& state, bool isFirstOwner, Instant now)
{
    auto const counted = totalInFlight(state);
    if (isFirstOwner && now - state.createdAt > warmupInHoldTimes * forecast.holdTime)
        return counted;
    return std::max(counted, static_cast<size_t>(std::llround(forecast.inFlight)));
}

PermitDecision InFlightCounter::requestPermit(VMId from, PermitRequest const& request, OwnerStatus status, Instant now)
{
    report(from, request.upstream, request.ownInFlight, now);
    auto& state = m_upstreams.at(request.upstream);
    if (request.cold)
        recordColdNotice(state, *request.cold, now);
    auto const forecast = m_forecast(request.upstream);
    auto const count = estimate(forecast, state, status.isFirstChoice, now);
    auto const& cold = forecast.coldBound.exists() ? forecast.coldBound : state.reportedBound;
    auto const sends = state.sends.count(coldStartWindow, now);
    bool const isCold = forecast.isCold || now < state.reportedColdUntil;
    if (isCold && sends >= coldQuota(status.rank, cold))
        return { false, count, true };
    if (forecast.canAlwaysEnforceColdBound && sends >= cold.unconfirmedLimit())
        return { false, count, true };
    PermitDecision decision { count < request.limit, count };
    decision.isContextNew = request.context && !state.contexts.contains(*request.context);
    if (decision.isGranted) {
        state.daemonCounts[from] = { request.ownInFlight + 1, now };
        state.sends.add(1, cold.fleetLimit(), now);
        if (request.context)
            state.contexts.put(*request.context, true);
    }
    return decision;
}

size_t InFlightCounter::coldQuota(OwnerRank rank, ColdStartLimit const& bound)
{
    switch (rank) {
    case OwnerRank::Primary:
        return bound.ownerLimit();
    case OwnerRank::Secondary:
        return bound.nextOwnerLimit();
    case OwnerRank::Other:
        return 0;
    }
    return 0;
}

void InFlightCounter::recordColdNotice(UpstreamState& state, ColdStartNotice const& notice, Instant now)
{
    state.reportedBound = notice.bound;
    state.reportedColdUntil = std::max(state.reportedColdUntil, now + std::min(notice.left, coldNoticeLifetime));
}

// Requests above the daemon's previous count and its grants were sent without a permit.
void InFlightCounter::recordSends(UpstreamId upstream, UpstreamState& state, size_t sends, Instant now)
{
    if (!sends)
        return;
    auto const bound = m_forecast(upstream).coldBound;
    state.sends.add(sends, bound.exists() ? bound.fleetLimit() : state.reportedBound.fleetLimit(), now);
}

void InFlightCounter::report(VMId from, UpstreamId upstream, size_t ownInFlight, Instant now)
{
    auto& state = stateOf(upstream, now);
    auto& daemonCounts = state.daemonCounts;
    auto const previous = daemonCounts.find(from);
    auto const previousCount = previous == daemonCounts.end() ? 0 : previous->second.count;
    recordSends(upstream, state, ownInFlight > previousCount ? ownInFlight - previousCount : 0, now);
    if (ownInFlight)
        daemonCounts[from] = { ownInFlight, now };
    else
        daemonCounts.erase(from);
}

void InFlightCounter::tick(Instant now)
{
    for (auto entry = m_upstreams.begin(); entry != m_upstreams.end();) {
        auto& state = entry->second;
        auto const retention = inFlightRetention(m_forecast(entry->first).holdTime);
        std::erase_if(state.daemonCounts, [&](auto const& daemonCount) { return now - daemonCount.second.updatedAt > retention; });
        bool const isExpired = state.daemonCounts.empty() && now - state.updatedAt > retention;
        entry = isExpired ? m_upstreams.erase(entry) : std::next(entry);
    }
}

size_t InFlightCounter::count(UpstreamId upstream) const
{
    auto const found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? 0 : totalInFlight(found->second);
}

}

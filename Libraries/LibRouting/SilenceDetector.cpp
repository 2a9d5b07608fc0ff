#include <LibRouting/SilenceDetector.h>

#include <algorithm>
#include <cmath>

namespace Stagepost {

namespace {

    // Weights of the latest wait in the moving mean and deviation, and the number of deviations
    // above the mean that count as a timeout, as for TCP's retransmission timer (RFC 6298).
    constexpr double latestMeanWeight = 0.125;
    constexpr double latestDeviationWeight = 0.25;
    constexpr double timeoutDeviations = 4;

}

void WaitEstimate::add(Microseconds wait)
{
    auto const seconds = asSeconds(wait);
    if (!m_isKnown) {
        m_isKnown = true;
        m_mean = seconds;
        m_deviation = seconds / 2;
        return;
    }
    m_deviation = std::lerp(m_deviation, std::abs(seconds - m_mean), latestDeviationWeight);
    m_mean = std::lerp(m_mean, seconds, latestMeanWeight);
}

Microseconds WaitEstimate::bound() const
{
    return Microseconds(static_cast<int64_t>(1e6 * (m_mean + timeoutDeviations * m_deviation)));
}

Microseconds SilenceDetector::timeout() const
{
    return std::clamp(std::max(m_firstWaits.bound(), m_gaps.bound()), m_bounds.minTimeout, m_bounds.maxTimeout);
}

void SilenceDetector::sent(UpstreamId upstream, HallId hall, Instant now)
{
    if (isSilent(hall, now))
        m_halls[hall].nextTrialAt = now + m_bounds.trialPause;
    auto const [state, isNew] = m_upstreams.try_emplace(upstream);
    if (isNew)
        state->second.waitingSince = now;
    state->second.hall = hall;
    ++state->second.open;
}

void SilenceDetector::recordActivity(UpstreamId upstream, Instant now)
{
    auto const found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return;
    auto& state = found->second;
    state.hasConnectFailed = false;
    state.waitingSince = now;
    m_halls[state.hall].lastActivityAt = now;
}

void SilenceDetector::connected(UpstreamId upstream, Instant now)
{
    recordActivity(upstream, now);
}

void SilenceDetector::answerStarted(UpstreamId upstream, Microseconds wait, Instant now)
{
    m_firstWaits.add(wait);
    recordActivity(upstream, now);
}

void SilenceDetector::answerContinued(UpstreamId upstream, Microseconds wait, Instant now)
{
    m_gaps.add(wait);
    recordActivity(upstream, now);
}

void SilenceDetector::answerHeldBack(UpstreamId upstream, Instant now)
{
    recordActivity(upstream, now);
}

void SilenceDetector::excludePause(Microseconds duration)
{
    for (auto& [upstream, state] : m_upstreams)
        state.waitingSince += duration;
}

void SilenceDetector::forgetSilence(Instant now)
{
    std::erase_if(m_upstreams, [](auto const& entry) { return !entry.second.open; });
    for (auto& [upstream, state] : m_upstreams) {
        state.hasConnectFailed = false;
        state.waitingSince = now;
    }
}

bool SilenceDetector::areAllSilent(Microseconds limit, Instant now) const
{
    auto const bound = std::min(limit, timeout());
    bool const isAnyOverdue = std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](auto const& entry) { return entry.second.open && now - entry.second.waitingSince > bound; });
    return isAnyOverdue && std::none_of(m_halls.begin(), m_halls.end(), [&](auto const& hall) { return now - hall.second.lastActivityAt <= bound; });
}

void SilenceDetector::connectFailed(UpstreamId upstream)
{
    if (auto const found = m_upstreams.find(upstream); found != m_upstreams.end())
        found->second.hasConnectFailed = true;
}

// The state is kept if the upstream was silent when its last request ended.
void SilenceDetector::ended(UpstreamId upstream, Instant now)
{
    auto const found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return;
    auto& state = found->second;
    state.open -= state.open ? 1 : 0;
    if (!state.open && !isSilent(state, now))
        m_upstreams.erase(found);
}

bool SilenceDetector::isSilent(UpstreamState const& state, Instant now) const
{
    return state.hasConnectFailed || now - state.waitingSince > timeout();
}

bool SilenceDetector::isSilent(HallId id, Instant now) const
{
    auto const hall = m_halls.find(id);
    if (hall != m_halls.end() && now - hall->second.lastActivityAt <= timeout())
        return false;
    auto const silent = std::count_if(m_upstreams.begin(), m_upstreams.end(), [&](auto const& entry) {
        return entry.second.hall == id && isSilent(entry.second, now);
    });
    return static_cast<size_t>(silent) >= m_bounds.upstreamsOfSilentHall;
}

bool SilenceDetector::isSilent(UpstreamId upstream, Instant now) const
{
    auto const found = m_upstreams.find(upstream);
    return found != m_upstreams.end() && isSilent(found->second, now);
}

Reach SilenceDetector::reach(HallId id, Instant now) const
{
    if (!isSilent(id, now))
        return Reach::Reachable;
    auto const hall = m_halls.find(id);
    bool const isTrialDue = hall == m_halls.end() || now >= hall->second.nextTrialAt;
    return isTrialDue ? Reach::TrialDue : Reach::Silent;
}

}

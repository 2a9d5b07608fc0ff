#include <LibRouting/SilenceWatch.h>

#include <algorithm>
#include <cmath>

namespace Stagepost {

namespace {

    // The weights of the newest wait in the mean and in the deviation, and how many
    // deviations above the mean are out of the ordinary: those of TCP's retransmission
    // timer (RFC 6298).
    constexpr double newestInMean = 0.125;
    constexpr double newestInDeviation = 0.25;
    constexpr double deviationsAbove = 4;

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
    m_deviation = std::lerp(m_deviation, std::abs(seconds - m_mean), newestInDeviation);
    m_mean = std::lerp(m_mean, seconds, newestInMean);
}

Microseconds WaitEstimate::bound() const
{
    return Microseconds(static_cast<int64_t>(1e6 * (m_mean + deviationsAbove * m_deviation)));
}

Microseconds SilenceWatch::patience() const
{
    return std::clamp(std::max(m_beginnings.bound(), m_gaps.bound()), m_bounds.least, m_bounds.most);
}

void SilenceWatch::sent(UpstreamId upstream, HallId hall, Instant now)
{
    if (isSilent(hall, now))
        m_halls[hall].nextTrialAt = now + m_bounds.trialPause;
    auto const [line, isNew] = m_lines.try_emplace(upstream);
    if (isNew)
        line->second.waitingSince = now;
    line->second.hall = hall;
    ++line->second.open;
}

void SilenceWatch::heard(UpstreamId upstream, Instant now)
{
    auto const found = m_lines.find(upstream);
    if (found == m_lines.end())
        return;
    auto& line = found->second;
    line.isUnreached = false;
    line.waitingSince = now;
    m_halls[line.hall].heardAt = now;
}

void SilenceWatch::connected(UpstreamId upstream, Instant now)
{
    heard(upstream, now);
}

void SilenceWatch::answerBegan(UpstreamId upstream, Microseconds wait, Instant now)
{
    m_beginnings.add(wait);
    heard(upstream, now);
}

void SilenceWatch::answerWentOn(UpstreamId upstream, Microseconds wait, Instant now)
{
    m_gaps.add(wait);
    heard(upstream, now);
}

void SilenceWatch::stoodStill(Microseconds duration)
{
    for (auto& [upstream, line] : m_lines)
        line.waitingSince += duration;
}

void SilenceWatch::unreached(UpstreamId upstream)
{
    if (auto const found = m_lines.find(upstream); found != m_lines.end())
        found->second.isUnreached = true;
}

// What was still due when the last request was given up stays in doubt.
void SilenceWatch::ended(UpstreamId upstream, Instant now)
{
    auto const found = m_lines.find(upstream);
    if (found == m_lines.end())
        return;
    auto& line = found->second;
    line.open -= line.open ? 1 : 0;
    if (!line.open && !isSilent(line, now))
        m_lines.erase(found);
}

bool SilenceWatch::isSilent(Line const& line, Instant now) const
{
    return line.isUnreached || now - line.waitingSince > patience();
}

bool SilenceWatch::isSilent(HallId id, Instant now) const
{
    auto const hall = m_halls.find(id);
    if (hall != m_halls.end() && now - hall->second.heardAt <= patience())
        return false;
    auto const silent = std::count_if(m_lines.begin(), m_lines.end(), [&](auto const& entry) {
        return entry.second.hall == id && isSilent(entry.second, now);
    });
    return static_cast<size_t>(silent) >= m_bounds.upstreamsOfSilentHall;
}

bool SilenceWatch::isSilent(UpstreamId upstream, Instant now) const
{
    auto const found = m_lines.find(upstream);
    return found != m_lines.end() && isSilent(found->second, now);
}

Reach SilenceWatch::reach(HallId id, Instant now) const
{
    if (!isSilent(id, now))
        return Reach::Heard;
    auto const hall = m_halls.find(id);
    bool const isTrialDue = hall == m_halls.end() || now >= hall->second.nextTrialAt;
    return isTrialDue ? Reach::Doubtful : Reach::Silent;
}

}

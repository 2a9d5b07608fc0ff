#include <LibRollout/AnswerClassifier.h>

#include <algorithm>

namespace Stagepost {

void AnswerClassifier::RecentTimes::add(double seconds)
{
    m_recent[m_samples++ % windowSize] = seconds;
    auto const count = std::min(m_samples, windowSize);
    auto sorted = m_recent;
    auto const end = sorted.begin() + static_cast<std::ptrdiff_t>(count);
    auto const middle = sorted.begin() + static_cast<std::ptrdiff_t>(count / 2);
    auto const late = sorted.begin() + static_cast<std::ptrdiff_t>(count * 9 / 10);
    std::nth_element(sorted.begin(), middle, end);
    m_median = *middle;
    std::nth_element(middle, late, end);
    m_ninthDecile = *late;
}

AnswerClassifier::Verdict AnswerClassifier::classify(AnswerSample const& sample, bool isOldVersion, Instant now)
{
    switch (sample.outcome) {
    case AnswerOutcome::Irrelevant:
        return Verdict::NotCounted;
    case AnswerOutcome::Failed:
    case AnswerOutcome::TimedOut:
        return Verdict::Failed;
    case AnswerOutcome::Broken:
        return isFirstBroken(sample.upstream, now) ? Verdict::Failed : Verdict::NotCounted;
    case AnswerOutcome::Answered:
        break;
    }
    if (sample.isUpstreamCold)
        return Verdict::Good;

    auto& times = m_times[{ sample.route, sample.isContextNew }];
    auto slow = false;
    if (sample.isStream) {
        slow = isSlow(asSeconds(sample.firstByteTime), 1, times.firstByte, sample.isContextNew, isOldVersion);
        if (sample.events >= 2) {
            auto const intervals = static_cast<double>(sample.events - 1);
            auto const interval = asSeconds(sample.totalTime - sample.firstByteTime) / intervals;
            slow |= isSlow(interval, intervals, m_eventIntervals[sample.route], false, isOldVersion);
        }
    } else {
        slow = isSlow(asSeconds(sample.totalTime), 1, times.total, sample.isContextNew, isOldVersion);
    }
    return slow ? Verdict::Slow : Verdict::Good;
}

bool AnswerClassifier::isFirstBroken(UpstreamId upstream, Instant now)
{
    std::erase_if(m_lastBrokenAt, [&](auto const& entry) { return now - entry.second >= m_bounds.brokenInterval; });
    return m_lastBrokenAt.emplace(upstream, now).second;
}

bool AnswerClassifier::isSlow(double seconds, double occurrences, RecentTimes& oldVersion, bool isContextNew, bool isOldVersion) const
{
    // How long an upstream reads a new context depends on its length, so that many of these answers take
    // several times their median. Since the new version has more of them, this would look like a slow
    // version.
    auto const typical = isContextNew ? oldVersion.ninthDecile() : oldVersion.median();
    auto const isJudged = oldVersion.samples() >= m_bounds.minSamples;
    if (isOldVersion)
        oldVersion.add(seconds);
    return isJudged && seconds > m_bounds.slowFactor * typical && occurrences * (seconds - typical) >= asSeconds(m_bounds.minDelay);
}

}

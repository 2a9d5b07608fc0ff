#include <stagepostd/StopAdmission.h>

#include <algorithm>

namespace Stagepost {

namespace {

    // Part of the grace that is left to end the remaining requests and to shut down.
    constexpr Milliseconds shutdownReserve { 300 };
    // Of that, the part in which callers are sent the last answers.
    constexpr Milliseconds lastAnswers { 150 };
    // Between the end of the accepting and that of the grace, also if the grace is short.
    constexpr Milliseconds minClosingTime { 200 };
    // Time to pass an answer on.
    constexpr Milliseconds answerMargin { 100 };
    // Requests may take longer than the earlier ones did.
    constexpr double durationFactor = 1.25;
    // The oldest running request, which has taken longer than any that has ended, has perhaps only half of its time behind it.
    constexpr double unendedFactor = 2;

    Microseconds scale(Microseconds duration, double factor)
    {
        return std::chrono::duration_cast<Microseconds>(duration * factor);
    }

}

StopTimes StopTimes::make(Milliseconds grace, Milliseconds balancerNotice)
{
    auto const end = std::max(grace - shutdownReserve, grace / 2);
    return { std::min(balancerNotice, std::max(end - minClosingTime, end / 2)), end, std::min(end + lastAnswers, grace) };
}

bool StopAdmission::begin(Instant now, StopTimes const& times)
{
    if (m_end)
        return false;
    m_end = now + times.end;
    return true;
}

bool StopAdmission::mayTake(Work const& work, Instant now) const
{
    if (!m_end || (work.deadline && *work.deadline + answerMargin <= *m_end))
        return true;
    auto const expected = expectedDuration(work, now);
    return expected && now + *expected + answerMargin <= *m_end;
}

std::optional<Microseconds> StopAdmission::expectedDuration(Work const& work, Instant now) const
{
    auto const known = m_requests.durations(work.id, now);
    if (known.longest && known.oldestRunning <= *known.longest)
        return scale(*known.longest, durationFactor);
    if (!known.longest && !work.durationIfUnknown)
        return {};
    auto const expected = known.longest ? scale(*known.longest, durationFactor) : Microseconds(*work.durationIfUnknown);
    return std::max(expected, scale(known.oldestRunning, unendedFactor));
}

}

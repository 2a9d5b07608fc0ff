#include <LibRouting/PromptPartSuspects.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Stagepost {

namespace {

    CrashSuspects::Bounds evidenceBounds(PromptPartSuspects::Bounds const& bounds)
    {
        CrashSuspects::Bounds result;
        result.poisonThreshold = bounds.poisonThreshold;
        // All requests in flight at an upstream may have the part, so that many daemons observe its crash. The
        // latest crashes show when the latest trial was.
        result.keepsTwoObservers = false;
        result.maxCrashesPerSuspect = 12;
        // Most crashes may be observed by one daemon. A part that it blames wrongly is cleared by an answer.
        result.maxCrashesPerRemoteObserver = result.maxCrashesPerSuspect;
        return result;
    }

    std::set<UpstreamId> upstreamsOf(CrashSuspect const& suspect)
    {
        std::set<UpstreamId> upstreams;
        for (auto const& crash : suspect.crashes)
            upstreams.insert(crash.upstream);
        return upstreams;
    }

    Instant lastCrashOf(CrashSuspect const& suspect)
    {
        Instant last;
        for (auto const& crash : suspect.crashes)
            last = std::max(last, crash.observedAt);
        return last;
    }

    // The same for all parts that were in flight at the same crashes, so that one daemon tries all of them.
    Fingerprint trialKeyOf(CrashSuspect const& suspect)
    {
        return Fingerprint(upstreamsOf(suspect).begin()->value());
    }

}

PromptPartSuspects::PromptPartSuspects(VMId self, Bounds bounds)
    : m_bounds(bounds)
    , m_evidence(self, evidenceBounds(bounds))
{
}

bool PromptPartSuspects::recordCrash(Fingerprint part, UpstreamId upstream, Instant now)
{
    bool const isNew = m_evidence.recordCrash(part, upstream, now);
    applyOwnAnswer(part);
    return isNew;
}

std::vector<Fingerprint> PromptPartSuspects::recordAnswer(std::span<Fingerprint const> parts, Instant sentAt)
{
    std::vector<Fingerprint> changed;
    for (auto const part : parts) {
        rememberAnswer(part, sentAt);
        if (applyOwnAnswer(part))
            changed.push_back(part);
    }
    return changed;
}

bool PromptPartSuspects::applyOwnAnswer(Fingerprint part)
{
    auto const answer = lastAnswer(part);
    return answer && m_evidence.clearUntil(part, *answer);
}

std::optional<Instant> PromptPartSuspects::lastAnswer(Fingerprint part) const
{
    if (auto const recent = m_recentAnswers.find(part); recent != m_recentAnswers.end())
        return recent->second;
    auto const older = m_olderAnswers.find(part);
    return older == m_olderAnswers.end() ? std::nullopt : std::optional(older->second);
}

void PromptPartSuspects::rememberAnswer(Fingerprint part, Instant sentAt)
{
    auto const latest = std::max(sentAt, lastAnswer(part).value_or(sentAt));
    m_recentAnswers[part] = latest;
    if (m_recentAnswers.size() >= m_bounds.maxRememberedAnswers)
        m_olderAnswers = std::exchange(m_recentAnswers, {});
}

std::vector<Instant> PromptPartSuspects::countedCrashes(CrashSuspect const& suspect, Instant now) const
{
    bool const isAnswered = suspect.clearedAt.has_value();
    auto const delay = isAnswered ? m_bounds.answeredVerdictDelay : m_bounds.verdictDelay;
    std::map<UpstreamId, Instant> crashedAt;
    for (auto const& crash : suspect.crashes) {
        if (now - crash.observedAt >= delay && !(isAnswered && isExplained(crash.upstream, now)))
            crashedAt.try_emplace(crash.upstream, crash.observedAt);
    }
    std::vector<Instant> times;
    times.reserve(crashedAt.size());
    for (auto const& [upstream, time] : crashedAt)
        times.push_back(time);
    std::sort(times.begin(), times.end());
    return times;
}

bool PromptPartSuspects::isExplained(UpstreamId upstream, Instant now) const
{
    return std::any_of(m_evidence.suspects().begin(), m_evidence.suspects().end(), [&](auto const& entry) {
        auto const& other = entry.second;
        auto const isThere = [upstream](auto const& crash) { return crash.upstream == upstream; };
        return !other.clearedAt && std::any_of(other.crashes.begin(), other.crashes.end(), isThere) && isPoison(other.subject, now);
    });
}

bool PromptPartSuspects::isPoison(Fingerprint part, Instant now) const
{
    auto const* suspect = m_evidence.find(part);
    if (!suspect)
        return false;
    auto const threshold = suspect->clearedAt ? m_bounds.answeredPoisonThreshold : m_bounds.poisonThreshold;
    if (suspect->crashes.size() < threshold)
        return false;
    auto const crashes = countedCrashes(*suspect, now);
    if (crashes.size() < threshold)
        return false;
    return !suspect->clearedAt || crashes.back() - crashes.front() > m_bounds.commonCauseSpan;
}

size_t PromptPartSuspects::poisonCount(Instant now) const
{
    auto const& suspects = m_evidence.suspects();
    return static_cast<size_t>(std::count_if(suspects.begin(), suspects.end(), [&](auto const& entry) { return isPoison(entry.first, now); }));
}

std::vector<Fingerprint> PromptPartSuspects::poisonAmong(std::span<Fingerprint const> parts, Instant now) const
{
    std::vector<Fingerprint> poison;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(poison), [&](auto part) { return isPoison(part, now); });
    return poison;
}

PromptPartSuspects::Admission PromptPartSuspects::admit(std::span<Fingerprint const> parts, Instant now) const
{
    auto const poison = poisonAmong(parts, now);
    if (poison.empty())
        return Admission::Granted;
    bool const isDue = std::all_of(poison.begin(), poison.end(), [&](auto part) { return mayTry(*m_evidence.find(part), parts, now); });
    return isDue ? Admission::Trial : Admission::Denied;
}

std::vector<Fingerprint> PromptPartSuspects::trialSubjects(std::span<Fingerprint const> parts, Instant now) const
{
    std::set<Fingerprint> subjects;
    for (auto const part : poisonAmong(parts, now))
        subjects.insert(trialKeyOf(*m_evidence.find(part)));
    return { subjects.begin(), subjects.end() };
}

void PromptPartSuspects::recordTrial(std::span<Fingerprint const> parts, Instant now)
{
    std::erase_if(m_lastTrials, [this](auto const& trial) { return !m_evidence.find(trial.first); });
    for (auto const part : poisonAmong(parts, now))
        m_lastTrials[part] = now;
}

bool PromptPartSuspects::mayTry(CrashSuspect const& suspect, std::span<Fingerprint const> parts, Instant now) const
{
    auto const interval = isAmbiguous(suspect, parts) ? m_bounds.ambiguousTrialInterval : trialIntervalFor(suspect);
    auto const trial = m_lastTrials.find(suspect.subject);
    auto const last = std::max(lastCrashOf(suspect), trial == m_lastTrials.end() ? Instant {} : trial->second);
    return now - last >= interval;
}

// The crashes show whether a trial has failed, also to a daemon that has started since.
Microseconds PromptPartSuspects::trialIntervalFor(CrashSuspect const& suspect) const
{
    auto const last = std::max_element(suspect.crashes.begin(), suspect.crashes.end(), [](auto const& one, auto const& other) { return one.observedAt < other.observedAt; });
    bool const isAlone = std::none_of(suspect.crashes.begin(), suspect.crashes.end(), [&](auto const& crash) {
        return crash.upstream != last->upstream && last->observedAt - crash.observedAt < m_bounds.firstTrialInterval;
    });
    return isAlone ? m_bounds.trialInterval : m_bounds.firstTrialInterval;
}

bool PromptPartSuspects::isAmbiguous(CrashSuspect const& suspect, std::span<Fingerprint const> parts) const
{
    auto const upstreams = upstreamsOf(suspect);
    return std::any_of(m_evidence.suspects().begin(), m_evidence.suspects().end(), [&](auto const& entry) {
        if (std::find(parts.begin(), parts.end(), entry.first) != parts.end())
            return false;
        auto const others = upstreamsOf(entry.second);
        return std::includes(others.begin(), others.end(), upstreams.begin(), upstreams.end());
    });
}

bool PromptPartSuspects::mayCrashAgain(std::span<Fingerprint const> parts) const
{
    return std::any_of(parts.begin(), parts.end(), [this](auto part) {
        auto const* suspect = m_evidence.find(part);
        return suspect && !suspect->clearedAt && m_evidence.crashCount(part) + 1 >= m_bounds.poisonThreshold;
    });
}

Microseconds PromptPartSuspects::timeToTrial(std::span<Fingerprint const> parts, Instant now) const
{
    // The daemon that tries the part waits for a request with it.
    auto longest = m_bounds.ambiguousTrialInterval;
    for (auto const part : parts) {
        if (isPoison(part, now))
            longest = std::max(longest, lastCrashOf(*m_evidence.find(part)) + trialIntervalFor(*m_evidence.find(part)) - now);
    }
    return longest;
}

}

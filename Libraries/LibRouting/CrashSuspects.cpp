#include <LibRouting/CrashSuspects.h>

#include <algorithm>
#include <set>

namespace Stagepost {

namespace {

    Instant lastUpdateOf(CrashSuspect const& suspect)
    {
        auto newest = suspect.clearedAt.value_or(Instant {});
        for (auto const& crash : suspect.crashes)
            newest = std::max(newest, crash.observedAt);
        return newest;
    }

    // Suspects with fewer crashes are evicted first, then those updated longest ago.
    bool isEvictedBefore(CrashSuspect const& lhs, CrashSuspect const& rhs)
    {
        if (lhs.crashes.size() != rhs.crashes.size())
            return lhs.crashes.size() < rhs.crashes.size();
        return lastUpdateOf(lhs) < lastUpdateOf(rhs);
    }

}

bool CrashSuspects::add(CrashSuspect& suspect, UpstreamCrash const& crash) const
{
    bool const isDuplicate = std::any_of(suspect.crashes.begin(), suspect.crashes.end(), [&](auto const& known) {
        return known.upstream == crash.upstream && (known.observer == crash.observer || !m_bounds.keepsAllObservers);
    });
    bool const isCleared = suspect.clearedAt && crash.observedAt <= *suspect.clearedAt;
    if (isDuplicate || isCleared || !makeRoom(suspect, crash))
        return false;
    suspect.crashes.push_back(crash);
    return true;
}

bool CrashSuspects::makeRoom(CrashSuspect& suspect, UpstreamCrash const& crash) const
{
    if (suspect.crashes.size() < m_bounds.maxCrashesPerSuspect)
        return true;
    auto const oldest = std::min_element(suspect.crashes.begin(), suspect.crashes.end(), [](auto const& lhs, auto const& rhs) { return lhs.observedAt < rhs.observedAt; });
    if (m_bounds.keepsAllObservers || crash.observedAt <= oldest->observedAt)
        return false;
    suspect.crashes.erase(oldest);
    return true;
}

bool CrashSuspects::recordCrash(Fingerprint request, UpstreamId upstream, Instant now)
{
    return merge({ request, { { upstream, m_self, now } }, {} }, now);
}

bool CrashSuspects::recordSuccess(Fingerprint request, Instant now)
{
    auto const found = m_suspects.find(request);
    if (found == m_suspects.end() || found->second.crashes.empty())
        return false;
    found->second.crashes.clear();
    found->second.clearedAt = now;
    return true;
}

bool CrashSuspects::clearUntil(Fingerprint subject, Instant until)
{
    auto const found = m_suspects.find(subject);
    if (found == m_suspects.end())
        return false;
    auto& suspect = found->second;
    bool const isFirst = !suspect.clearedAt;
    suspect.clearedAt = std::max(suspect.clearedAt.value_or(until), until);
    return std::erase_if(suspect.crashes, [until](auto const& crash) { return crash.observedAt <= until; }) > 0 || isFirst;
}

bool CrashSuspects::merge(CrashSuspect const& reported, Instant now)
{
    if (now - lastUpdateOf(reported) > m_bounds.retention)
        return false;
    auto const [position, isNew] = m_suspects.try_emplace(reported.subject, CrashSuspect { reported.subject, {}, {} });
    auto& suspect = position->second;
    bool hasChanged = false;
    if (reported.clearedAt) {
        if (isNew)
            suspect.clearedAt = reported.clearedAt;
        else
            hasChanged = clearUntil(reported.subject, *reported.clearedAt);
    }
    for (auto const& crash : reported.crashes)
        hasChanged = add(suspect, crash) || hasChanged;
    if (isNew && m_suspects.size() > m_bounds.capacity)
        evictOne();
    return hasChanged;
}

void CrashSuspects::evictOne()
{
    auto const victim = std::min_element(m_suspects.begin(), m_suspects.end(), [](auto const& lhs, auto const& rhs) {
        return isEvictedBefore(lhs.second, rhs.second);
    });
    m_suspects.erase(victim);
}

// A crash that this daemon or several daemons observed always counts.
size_t CrashSuspects::crashCount(Fingerprint request) const
{
    auto const* suspect = find(request);
    if (!suspect)
        return 0;
    std::map<UpstreamId, std::set<VMId>> observersByUpstream;
    for (auto const& crash : suspect->crashes)
        observersByUpstream[crash.upstream].insert(crash.observer);
    size_t count = 0;
    std::map<VMId, size_t> remoteCrashes;
    for (auto const& [upstream, observers] : observersByUpstream) {
        if (observers.size() > 1 || observers.contains(m_self) || ++remoteCrashes[*observers.begin()] <= m_bounds.maxCrashesPerRemoteObserver)
            ++count;
    }
    return count;
}

bool CrashSuspects::isPoison(Fingerprint request) const
{
    return crashCount(request) >= m_bounds.poisonThreshold;
}

CrashSuspect const* CrashSuspects::find(Fingerprint request) const
{
    auto const found = m_suspects.find(request);
    return found == m_suspects.end() ? nullptr : &found->second;
}

void CrashSuspects::prune(Instant now)
{
    std::erase_if(m_suspects, [&](auto const& entry) { return now - lastUpdateOf(entry.second) > m_bounds.retention; });
}

}

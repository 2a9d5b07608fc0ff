#include <LibRouting/CrashSuspects.h>

#include <algorithm>
#include <set>

namespace Stagepost {

namespace {

    bool isObservedBefore(UpstreamCrash const& lhs, UpstreamCrash const& rhs)
    {
        return lhs.observedAt < rhs.observedAt;
    }

    Instant lastCrashOf(CrashSuspect const& suspect)
    {
        auto const last = std::max_element(suspect.crashes.begin(), suspect.crashes.end(), isObservedBefore);
        return last == suspect.crashes.end() ? Instant {} : last->observedAt;
    }

    Instant lastUpdateOf(CrashSuspect const& suspect)
    {
        return std::max(suspect.clearedAt.value_or(Instant {}), lastCrashOf(suspect));
    }

    // An observation that another one of the same upstream confirms, or else the one that came soonest after another.
    std::vector<UpstreamCrash>::iterator mostRedundant(std::vector<UpstreamCrash>& crashes)
    {
        std::sort(crashes.begin(), crashes.end(), isObservedBefore);
        std::set<UpstreamId> seen;
        auto const repeated = std::find_if(crashes.begin(), crashes.end(), [&seen](auto const& crash) { return !seen.insert(crash.upstream).second; });
        if (repeated != crashes.end())
            return repeated;
        auto const gapBefore = [&crashes](size_t index) { return crashes[index].observedAt - crashes[index - 1].observedAt; };
        size_t soonest = 1;
        for (size_t index = 2; index < crashes.size(); ++index) {
            if (gapBefore(index) < gapBefore(soonest))
                soonest = index;
        }
        return crashes.begin() + static_cast<ptrdiff_t>(soonest);
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
    size_t observations = 0;
    bool isDuplicate = false;
    for (auto const& known : suspect.crashes) {
        if (known.upstream != crash.upstream)
            continue;
        ++observations;
        isDuplicate = isDuplicate || known.observer == crash.observer;
    }
    // Two observers confirm a crash. More of them would take the place of other crashes.
    isDuplicate = isDuplicate || observations >= (m_bounds.keepsTwoObservers ? 2 : 1);
    bool const isCleared = suspect.clearedAt && crash.observedAt <= *suspect.clearedAt;
    if (isDuplicate || isCleared || !makeRoom(suspect, crash))
        return false;
    suspect.crashes.push_back(crash);
    return true;
}

// Where observers confirm each other, only a crash that is separate from all known ones takes the place of another.
bool CrashSuspects::makeRoom(CrashSuspect& suspect, UpstreamCrash const& crash) const
{
    if (suspect.crashes.size() < m_bounds.maxCrashesPerSuspect)
        return true;
    if (m_bounds.keepsTwoObservers && crash.sentAt() < lastCrashOf(suspect))
        return false;
    auto const victim = m_bounds.keepsTwoObservers ? mostRedundant(suspect.crashes) : std::min_element(suspect.crashes.begin(), suspect.crashes.end(), isObservedBefore);
    if (crash.observedAt <= victim->observedAt)
        return false;
    suspect.crashes.erase(victim);
    return true;
}

bool CrashSuspects::recordCrash(Fingerprint request, UpstreamId upstream, Instant observedAt, Microseconds inFlight)
{
    return merge({ request, { { upstream, m_self, observedAt, inFlight } }, {} }, observedAt);
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

size_t CrashSuspects::separateCrashCount(Fingerprint request) const
{
    auto const* suspect = find(request);
    if (!suspect)
        return 0;
    // From the first send to an upstream to the first sign of its crash, whoever observed them.
    struct Flight {
        Instant begin;
        Instant end;
    };
    std::map<UpstreamId, Flight> flights;
    for (auto const& crash : suspect->crashes) {
        auto& flight = flights.try_emplace(crash.upstream, Flight { crash.sentAt(), crash.observedAt }).first->second;
        flight = { std::min(flight.begin, crash.sentAt()), std::min(flight.end, crash.observedAt) };
    }
    std::vector<Flight> ordered;
    ordered.reserve(flights.size());
    for (auto const& [upstream, flight] : flights)
        ordered.push_back(flight);
    std::sort(ordered.begin(), ordered.end(), [](auto const& lhs, auto const& rhs) { return lhs.end < rhs.end; });
    size_t count = 0;
    Instant last;
    for (auto const& flight : ordered) {
        if (count && (flight.begin < last || flight.end - last < m_bounds.commonCauseSpan))
            continue;
        ++count;
        last = flight.end;
    }
    return count;
}

std::optional<Instant> CrashSuspects::nextTrialAt(Fingerprint request) const
{
    auto const* suspect = find(request);
    auto const separate = separateCrashCount(request);
    if (!suspect || !separate || separate > m_bounds.trialIntervals.size())
        return {};
    return lastCrashOf(*suspect) + m_bounds.trialIntervals[separate - 1];
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

#include <LibRouting/CrashSuspects.h>

#include <algorithm>
#include <set>

namespace Stagepost {

namespace {

    Instant newestNewsOf(CrashSuspect const& suspect)
    {
        auto newest = suspect.clearedAt.value_or(Instant {});
        for (auto const& end : suspect.ends)
            newest = std::max(newest, end.at);
        return newest;
    }

    // Whether the first is the better one to forget: fewer ends, then older.
    bool tellsLess(CrashSuspect const& one, CrashSuspect const& other)
    {
        if (one.ends.size() != other.ends.size())
            return one.ends.size() < other.ends.size();
        return newestNewsOf(one) < newestNewsOf(other);
    }

}

bool CrashSuspects::add(CrashSuspect& suspect, UpstreamEnd const& end) const
{
    bool const isKnown = std::any_of(suspect.ends.begin(), suspect.ends.end(), [&](auto const& known) {
        return known.upstream == end.upstream && known.seenBy == end.seenBy;
    });
    bool const isCleared = suspect.clearedAt && end.at <= *suspect.clearedAt;
    if (isKnown || isCleared || suspect.ends.size() >= m_bounds.endsKept)
        return false;
    suspect.ends.push_back(end);
    return true;
}

bool CrashSuspects::ended(RequestFingerprint request, UpstreamId upstream, Instant now)
{
    return merge({ request, { { upstream, m_self, now } }, {} }, now);
}

bool CrashSuspects::answered(RequestFingerprint request, Instant now)
{
    auto const found = m_suspects.find(request);
    if (found == m_suspects.end() || found->second.ends.empty())
        return false;
    found->second.ends.clear();
    found->second.clearedAt = now;
    return true;
}

bool CrashSuspects::merge(CrashSuspect const& told, Instant now)
{
    if (now - newestNewsOf(told) > m_bounds.memory)
        return false;
    auto const [position, isNew] = m_suspects.try_emplace(told.request, CrashSuspect { told.request, {}, {} });
    auto& suspect = position->second;
    bool hasChanged = false;
    if (told.clearedAt && (!suspect.clearedAt || *told.clearedAt > *suspect.clearedAt)) {
        suspect.clearedAt = told.clearedAt;
        hasChanged = std::erase_if(suspect.ends, [&](auto const& end) { return end.at <= *told.clearedAt; }) > 0;
    }
    for (auto const& end : told.ends)
        hasChanged = add(suspect, end) || hasChanged;
    if (isNew && m_suspects.size() > m_bounds.capacity)
        makeRoom();
    return hasChanged;
}

void CrashSuspects::makeRoom()
{
    auto const least = std::min_element(m_suspects.begin(), m_suspects.end(), [](auto const& one, auto const& other) {
        return tellsLess(one.second, other.second);
    });
    m_suspects.erase(least);
}

// What this daemon or several have seen is certain.
size_t CrashSuspects::endCount(RequestFingerprint request) const
{
    auto const* suspect = find(request);
    if (!suspect)
        return 0;
    std::map<UpstreamId, std::set<VMId>> witnesses;
    for (auto const& end : suspect->ends)
        witnesses[end.upstream].insert(end.seenBy);
    size_t count = 0;
    std::map<VMId, size_t> byOne;
    for (auto const& [upstream, seenBy] : witnesses) {
        if (seenBy.size() > 1 || seenBy.contains(m_self) || ++byOne[*seenBy.begin()] <= m_bounds.endsByOneWitness)
            ++count;
    }
    return count;
}

bool CrashSuspects::isGuilty(RequestFingerprint request) const
{
    return endCount(request) >= m_bounds.endsOfGuilty;
}

CrashSuspect const* CrashSuspects::find(RequestFingerprint request) const
{
    auto const found = m_suspects.find(request);
    return found == m_suspects.end() ? nullptr : &found->second;
}

void CrashSuspects::prune(Instant now)
{
    std::erase_if(m_suspects, [&](auto const& entry) { return now - newestNewsOf(entry.second) > m_bounds.memory; });
}

}

#include <LibMembership/UpstreamDirectory.h>

#include <algorithm>
#include <set>

namespace Stagepost {

// The grace counts from the read that found the store back, as far as it can be told: an
// answer that was long on its way would add its time to it.
void UpstreamDirectory::confirm(Instant readSentAt)
{
    auto const age = m_age.age(readSentAt);
    m_provenBefore = m_age.provenAt();
    m_endsOutage = age && *age > m_bounds.outage;
    if (m_endsOutage)
        m_graceUntil = readSentAt + m_bounds.returnGrace;
    m_age.confirm(readSentAt);
}

// Until when an upstream stays in use whose record is gone now. What went while the store
// could not be read may have lapsed for that alone, and has all of the grace. What went
// since has left all the same if it is no lapse, at the earliest when the list was last
// proven: after the bound on leaving it must get nothing, grace or not.
Instant UpstreamDirectory::graceOfRemoval() const
{
    if (m_endsOutage || !m_provenBefore)
        return m_graceUntil;
    return std::min(m_graceUntil, *m_provenBefore + m_bounds.leave);
}

// Whether it is a late word of a process that has been replaced.
bool UpstreamDirectory::isOfEarlierStart(UpstreamRecord const& record, Instant now)
{
    auto const known = m_records.find(record.instance);
    if (known == m_records.end() || record.incarnation >= known->second.incarnation) {
        m_earlierStarts.erase(record.instance);
        return false;
    }
    auto& earlier = m_earlierStarts.try_emplace(record.instance, EarlierStart { record, now }).first->second;
    earlier.record = record;
    return true;
}

void UpstreamDirectory::put(UpstreamRecord record, Instant now)
{
    if (!isOfEarlierStart(record, now))
        take(std::move(record));
}

void UpstreamDirectory::take(UpstreamRecord record)
{
    m_lapsed.erase(record.instance);
    m_lost.erase(record.instance);
    auto const instance = record.instance;
    auto const known = m_records.find(instance);
    if (known != m_records.end() && known->second == record)
        return;
    std::optional<UpstreamId> idBefore;
    if (known != m_records.end())
        idBefore = known->second.id();
    auto const before = idBefore ? known->second.hash() : 0;
    auto const after = record.hash();
    auto const& stored = m_records[instance] = std::move(record);
    if (!idBefore || before != after)
        noteChange(instance, idBefore, before ^ after);
    m_changed({ instance, stored });
}

void UpstreamDirectory::remove(std::string const& instance, Instant now)
{
    m_earlierStarts.erase(instance);
    m_lost.erase(instance);
    auto const known = m_records.find(instance);
    if (known == m_records.end())
        return;
    auto const before = known->second.hash();
    auto const idBefore = known->second.id();
    m_records.erase(known);
    noteChange(instance, idBefore, before);
    auto const until = graceOfRemoval();
    if (now < until)
        m_lapsed.emplace(instance, until);
    else
        m_changed({ instance, {} });
}

// The hash of all is the sum of each without regard to order, so that a change
// of one costs nothing but its own.
void UpstreamDirectory::noteChange(std::string const& instance, std::optional<UpstreamId> idBefore, uint64_t difference)
{
    auto const found = m_records.find(instance);
    UpstreamChange change { instance, found == m_records.end() ? std::nullopt : std::optional(found->second) };
    m_history.push_back({ m_hash, idBefore, std::move(change) });
    if (m_history.size() > longestHistory)
        m_history.pop_front();
    m_hash ^= difference;
}

std::optional<std::vector<UpstreamChange>> UpstreamDirectory::changesSince(uint64_t hash) const
{
    std::vector<UpstreamChange> changes;
    if (hash == m_hash)
        return changes;
    auto const found = std::find_if(m_history.rbegin(), m_history.rend(), [hash](auto const& past) { return past.hashBefore == hash; });
    if (found == m_history.rend())
        return {};
    for (auto past = found.base() - 1; past != m_history.end(); ++past)
        changes.push_back(past->change);
    return changes;
}

std::shared_ptr<UpstreamList const> UpstreamDirectory::listAt(uint64_t hash) const
{
    auto const ready = std::find_if(m_lists.begin(), m_lists.end(), [hash](auto const& entry) { return entry.first == hash; });
    if (ready != m_lists.end())
        return ready->second;
    auto list = makeList(hash);
    if (!list)
        return {};
    m_lists.emplace_back(hash, list);
    if (m_lists.size() > mostListsReady)
        m_lists.pop_front();
    return list;
}

// Goes back from the records as they are, change by change.
std::shared_ptr<UpstreamList const> UpstreamDirectory::makeList(uint64_t hash) const
{
    std::map<std::string_view, UpstreamId> upstreams;
    for (auto const& [instance, record] : m_records)
        upstreams.emplace_hint(upstreams.end(), instance, record.id());
    auto hashThen = m_hash;
    for (auto past = m_history.rbegin(); hashThen != hash && past != m_history.rend(); ++past) {
        hashThen = past->hashBefore;
        if (past->idBefore)
            upstreams.insert_or_assign(past->change.instance, *past->idBefore);
        else
            upstreams.erase(past->change.instance);
    }
    if (hashThen != hash)
        return {};
    UpstreamList list;
    list.reserve(upstreams.size());
    for (auto const& [instance, id] : upstreams)
        list.push_back(id);
    return std::make_shared<UpstreamList const>(std::move(list));
}

// The result is what is known and not among them.
std::vector<std::string> UpstreamDirectory::putAll(std::vector<UpstreamRecord> const& list, Instant now)
{
    m_hasList = true;
    std::set<std::string> listed;
    for (auto const& record : list) {
        listed.insert(record.instance);
        put(record, now);
    }
    std::vector<std::string> missing;
    for (auto const& [instance, record] : m_records) {
        if (!listed.contains(instance))
            missing.push_back(instance);
    }
    return missing;
}

void UpstreamDirectory::replace(std::vector<UpstreamRecord> const& list, Instant now)
{
    for (auto const& instance : putAll(list, now)) {
        if (!m_lost.contains(instance))
            remove(instance, now);
    }
}

// Whether this start of the upstream was known to leave: the copy is from before it said so.
bool UpstreamDirectory::isLeaving(UpstreamRecord const& record) const
{
    auto const known = m_records.find(record.instance);
    return known != m_records.end() && known->second.id() == record.id() && known->second.isLeaving;
}

void UpstreamDirectory::replaceAfterReturn(std::vector<UpstreamRecord> const& list, Instant readSentAt, Instant now)
{
    auto records = list;
    for (auto& record : records)
        record.isLeaving = record.isLeaving || isLeaving(record);
    for (auto const& instance : putAll(records, now))
        m_lost.emplace(instance, readSentAt + m_bounds.returnGrace);
}

// What was not written again within its time is gone.
void UpstreamDirectory::dropLost(Instant now)
{
    std::vector<std::string> over;
    for (auto const& [instance, until] : m_lost) {
        if (now >= until)
            over.push_back(instance);
    }
    for (auto const& instance : over)
        remove(instance, now);
}

void UpstreamDirectory::tick(Instant now)
{
    dropLost(now);
    std::vector<std::string> over;
    for (auto const& [instance, until] : m_lapsed) {
        if (now >= until)
            over.push_back(instance);
    }
    for (auto const& instance : over) {
        m_lapsed.erase(instance);
        m_changed({ instance, {} });
    }
    std::vector<UpstreamRecord> believed;
    for (auto const& [instance, earlier] : m_earlierStarts) {
        if (now - earlier.since > m_bounds.earlierStart)
            believed.push_back(earlier.record);
    }
    for (auto& record : believed) {
        m_earlierStarts.erase(record.instance);
        take(std::move(record));
    }
}

}

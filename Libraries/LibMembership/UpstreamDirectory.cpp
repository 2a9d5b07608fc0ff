#include <LibMembership/UpstreamDirectory.h>

#include <algorithm>
#include <set>

namespace Stagepost {

namespace {

    // Whether the upstream of the record, one of several changes, leaves the store without having announced that.
    bool lapses(std::vector<UpstreamChange>::const_iterator change, std::vector<UpstreamChange>::const_iterator end)
    {
        auto const id = change->record->id();
        for (auto later = change; later != end; ++later) {
            if (later->instance != change->instance)
                continue;
            if (!later->record)
                return true;
            if (later->record->id() != id || later->record->isLeaving)
                return false;
        }
        return false;
    }

}

// The grace period counts from when the read was sent, because a slow response would
// otherwise extend it.
void UpstreamDirectory::confirm(Instant readSentAt)
{
    auto const age = m_age.age(readSentAt);
    m_previousProvenAt = m_age.confirmedAt();
    m_endsOutage = age && *age > m_bounds.outageThreshold;
    if (m_endsOutage)
        m_graceUntil = readSentAt + m_bounds.returnGrace;
    m_age.confirm(readSentAt);
}

// Returns until when an upstream whose record has just been removed stays in use. A record
// that was removed during an outage may have expired only because of it, and gets the full
// grace period. One that was removed since may belong to an upstream that has left, at the
// earliest when the list was last confirmed: it must get no requests once
// Bounds::leaveLimit has passed since then, even within the grace period.
Instant UpstreamDirectory::removalDeadline() const
{
    if (m_endsOutage || !m_previousProvenAt)
        return m_graceUntil;
    return std::min(m_graceUntil, *m_previousProvenAt + m_bounds.leaveLimit);
}

// Returns whether the record is of an earlier start than the known one, for example a delayed
// write of a process that has been replaced, and if so keeps it aside.
bool UpstreamDirectory::deferIfEarlierStart(UpstreamRecord const& record, Instant now)
{
    auto const known = m_records.find(record.instance);
    if (known == m_records.end() || record.incarnation >= known->second.incarnation) {
        endEarlierStart(record.instance, false);
        return false;
    }
    auto const [earlier, isNew] = m_earlierStarts.try_emplace(record.instance, EarlierStart { record, now });
    if (isNew || earlier->second.record.id() != record.id() || earlier->second.record.version != record.version)
        passOver(record, false, now);
    earlier->second.record = record;
    return true;
}

// Daemons that have started meanwhile have used the record until now.
void UpstreamDirectory::endEarlierStart(std::string const& instance, bool mayServe)
{
    auto const earlier = m_earlierStarts.extract(instance);
    if (!earlier.empty())
        m_hooks.passedOver(earlier.mapped().record, mayServe && !earlier.mapped().record.isLeaving);
}

void UpstreamDirectory::apply(std::vector<UpstreamChange> const& changes, Instant now)
{
    for (auto const& change : changes) {
        if (change.record)
            put(*change.record, now);
        else
            remove(change.instance, now);
    }
}

// Records of an upstream that is listed here are applied one by one, so that it is known whether it has announced
// that it leaves.
void UpstreamDirectory::applyForwarded(std::vector<UpstreamChange> const& changes, Instant now)
{
    for (auto change = changes.begin(); change != changes.end(); ++change) {
        bool const isLast = std::none_of(change + 1, changes.end(), [&](auto const& later) { return later.instance == change->instance; });
        auto const known = m_records.find(change->instance);
        bool const isListed = change->record && known != m_records.end() && known->second.id() == change->record->id();
        if (isLast || isListed || !change->record)
            apply({ *change }, now);
        else if (!isInHistory(*change->record) && !isVersionListed(*change->record))
            passOver(*change->record, lapses(change, changes.end()), now);
    }
}

// A change that this daemon knows is not counted and forwarded again, or daemons would pass it to each other for ever.
bool UpstreamDirectory::isInHistory(UpstreamRecord const& record) const
{
    return std::any_of(m_history.begin(), m_history.end(), [&](auto const& past) {
        return past.change.record && past.change.record->id() == record.id() && past.change.record->version == record.version;
    });
}

bool UpstreamDirectory::isVersionListed(UpstreamRecord const& record) const
{
    return std::any_of(m_records.begin(), m_records.end(), [&](auto const& entry) {
        return entry.second.service == record.service && entry.second.version == record.version;
    });
}

// Other daemons learn of the record as of one that came and went.
void UpstreamDirectory::passOver(UpstreamRecord const& record, bool mayServe, Instant now)
{
    auto const known = m_records.find(record.instance);
    bool const isKnown = known != m_records.end();
    auto const hashWithRecord = m_hash ^ record.hash() ^ (isKnown ? known->second.hash() : 0);
    addToHistory({ m_hash, isKnown ? std::optional(known->second.id()) : std::nullopt, { record.instance, record }, now });
    addToHistory({ hashWithRecord, record.id(), { record.instance, isKnown ? std::optional(known->second) : std::nullopt }, now });
    m_hooks.passedOver(record, mayServe);
}

void UpstreamDirectory::put(UpstreamRecord record, Instant now)
{
    if (!deferIfEarlierStart(record, now))
        store(std::move(record), now);
}

void UpstreamDirectory::store(UpstreamRecord record, Instant now)
{
    m_expired.erase(record.instance);
    m_missing.erase(record.instance);
    auto const instance = record.instance;
    auto const known = m_records.find(instance);
    // A process doesn't change its version, and daemons that don't know of versions pass on records
    // without it.
    if (known != m_records.end() && record.version.empty() && known->second.id() == record.id())
        record.version = known->second.version;
    if (known != m_records.end() && known->second == record)
        return;
    std::optional<UpstreamId> idBefore;
    if (known != m_records.end())
        idBefore = known->second.id();
    auto const before = idBefore ? known->second.hash() : 0;
    auto const after = record.hash();
    auto const& stored = m_records[instance] = std::move(record);
    if (!idBefore || before != after)
        recordChange(instance, idBefore, before ^ after, now);
    m_hooks.changed({ instance, stored });
}

void UpstreamDirectory::remove(std::string const& instance, Instant now)
{
    endEarlierStart(instance, true);
    m_missing.erase(instance);
    auto const known = m_records.find(instance);
    if (known == m_records.end())
        return;
    auto const before = known->second.hash();
    auto const idBefore = known->second.id();
    m_records.erase(known);
    recordChange(instance, idBefore, before, now);
    auto const until = removalDeadline();
    if (now < until)
        m_expired.emplace(instance, until);
    else
        m_hooks.changed({ instance, {} });
}

// The hash of the list is the XOR of the hashes of its records, so a change of one record
// updates it without rehashing the others.
void UpstreamDirectory::recordChange(std::string const& instance, std::optional<UpstreamId> idBefore, uint64_t difference, Instant now)
{
    auto const found = m_records.find(instance);
    UpstreamChange change { instance, found == m_records.end() ? std::nullopt : std::optional(found->second) };
    addToHistory({ m_hash, idBefore, std::move(change), now });
    m_hash ^= difference;
}

void UpstreamDirectory::addToHistory(PastChange change)
{
    m_history.push_back(std::move(change));
    if (m_history.size() > maxHistory)
        m_history.pop_front();
}

// The other daemon may have had this list the first time or the last time, since equal lists have the same hash.
std::optional<std::vector<UpstreamChange>> UpstreamDirectory::changesSince(uint64_t hash, Instant now) const
{
    auto begin = m_history.end();
    if (hash != m_hash) {
        auto const found = std::find_if(m_history.rbegin(), m_history.rend(), [hash](auto const& past) { return past.hashBefore == hash; });
        if (found == m_history.rend())
            return {};
        begin = found.base() - 1;
    }
    auto const first = std::find_if(m_history.begin(), begin, [&](auto const& past) { return past.hashBefore == hash && now - past.at < m_bounds.undoneChangeRetention; });
    auto changes = undoneChanges(first, begin);
    for (auto past = begin; past != m_history.end(); ++past)
        changes.push_back(past->change);
    return changes;
}

// The list is the same before and after these changes. Returns those that added versions that are not listed now, each
// followed by the next change of its upstream.
std::vector<UpstreamChange> UpstreamDirectory::undoneChanges(History::const_iterator const& begin, History::const_iterator const& end) const
{
    std::vector<UpstreamChange> changes;
    for (auto past = begin; past != end; ++past) {
        auto const next = std::find_if(past + 1, end, [past](auto const& later) { return later.change.instance == past->change.instance; });
        if (next == end || !past->change.record || isVersionListed(*past->change.record))
            continue;
        changes.push_back(past->change);
        changes.push_back(next->change);
    }
    return changes;
}

std::shared_ptr<UpstreamList const> UpstreamDirectory::listForHash(uint64_t hash) const
{
    auto const cached = std::find_if(m_cachedLists.begin(), m_cachedLists.end(), [hash](auto const& entry) { return entry.first == hash; });
    if (cached != m_cachedLists.end())
        return cached->second;
    auto list = reconstructList(hash);
    if (!list)
        return {};
    m_cachedLists.emplace_back(hash, list);
    if (m_cachedLists.size() > maxCachedLists)
        m_cachedLists.pop_front();
    return list;
}

// Starts from the current records and undoes the changes in the history one by one.
std::shared_ptr<UpstreamList const> UpstreamDirectory::reconstructList(uint64_t hash) const
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

// Returns the known instances that the list doesn't contain.
std::vector<std::string> UpstreamDirectory::putAllAndFindMissing(std::vector<UpstreamRecord> const& list, Instant now)
{
    m_hasList = true;
    m_hooks.changesMissed();
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
    for (auto const& instance : putAllAndFindMissing(list, now)) {
        if (!m_missing.contains(instance))
            remove(instance, now);
    }
}

// Whether this start of the upstream is known to be leaving. The restored copy may be from
// before it announced that.
bool UpstreamDirectory::isKnownToLeave(UpstreamRecord const& record) const
{
    auto const known = m_records.find(record.instance);
    return known != m_records.end() && known->second.id() == record.id() && known->second.isLeaving;
}

void UpstreamDirectory::replaceAfterRestore(std::vector<UpstreamRecord> const& list, Instant readSentAt, Instant now)
{
    auto records = list;
    for (auto& record : records)
        record.isLeaving = record.isLeaving || isKnownToLeave(record);
    m_missingUntil = readSentAt + m_bounds.returnGrace;
    for (auto const& instance : putAllAndFindMissing(records, now))
        m_missing.emplace(instance, m_missingUntil);
}

void UpstreamDirectory::replaceByPeer(std::vector<UpstreamRecord> const& list, Instant now)
{
    auto missing = m_missing;
    for (auto const& record : list) {
        if (now < m_missingUntil && !m_records.contains(record.instance))
            missing.emplace(record.instance, m_missingUntil);
    }
    replace(list, now);
    std::erase_if(missing, [this](auto const& entry) { return !m_records.contains(entry.first); });
    m_missing = std::move(missing);
}

// Removes records that were missing from a restored store and were not written again in time.
void UpstreamDirectory::removeExpiredMissing(Instant now)
{
    std::vector<std::string> expired;
    for (auto const& [instance, until] : m_missing) {
        if (now >= until)
            expired.push_back(instance);
    }
    for (auto const& instance : expired)
        remove(instance, now);
}

void UpstreamDirectory::tick(Instant now)
{
    removeExpiredMissing(now);
    std::vector<std::string> expired;
    for (auto const& [instance, until] : m_expired) {
        if (now >= until)
            expired.push_back(instance);
    }
    for (auto const& instance : expired) {
        m_expired.erase(instance);
        m_hooks.changed({ instance, {} });
    }
    std::vector<UpstreamRecord> accepted;
    for (auto const& [instance, earlier] : m_earlierStarts) {
        if (now - earlier.since > m_bounds.earlierStartTimeout)
            accepted.push_back(earlier.record);
    }
    for (auto& record : accepted) {
        m_earlierStarts.erase(record.instance);
        store(std::move(record), now);
    }
}

}

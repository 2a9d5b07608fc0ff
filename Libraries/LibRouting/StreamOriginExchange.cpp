#include <LibRouting/StreamOriginExchange.h>

#include <LibBase/Hash.h>
#include <algorithm>
#include <functional>
#include <set>

namespace Stagepost {

// The lists are ordered by time, so that those that nobody can have used for a stream are at the front.
void StreamOriginExchange::setPeers(std::vector<FleetPeer> peers, Instant now)
{
    std::erase_if(peers, [this](auto const& peer) { return peer.id == m_self.id; });
    peers.push_back(m_self);
    std::sort(peers.begin(), peers.end(), [](auto const& one, auto const& other) { return one.id < other.id; });
    auto const isSame = [](auto const& one, auto const& other) { return one.id == other.id && one.hall == other.hall; };
    if (!m_lists.empty() && std::equal(peers.begin(), peers.end(), this->peers().begin(), this->peers().end(), isSame))
        return;
    m_lists.push_back({ std::move(peers), now });
    auto const oldest = now - VersionHistory::memory - m_bounds.peerListLag;
    while (m_lists.size() > m_bounds.maxEarlierLists || (m_lists.size() > 1 && m_lists[1].since <= oldest))
        m_lists.pop_front();
}

void StreamOriginExchange::restart(Instant now)
{
    m_startedAt = now;
    m_keepsSince = now;
    if (m_lists.empty())
        return;
    m_lists.erase(m_lists.begin(), m_lists.end() - 1);
    m_lists.back().since = now;
}

size_t StreamOriginExchange::keeperCount(std::vector<FleetPeer> const& peers) const
{
    return peers.size() <= m_bounds.largeFleet ? m_bounds.keepers : m_bounds.keepersInLargeFleet;
}

// The first daemons in the stream's rendezvous order, those of different halls before others: a hall may
// be lost as a whole.
std::vector<VMId> StreamOriginExchange::chooseDaemons(std::vector<FleetPeer> const& peers, StreamId stream, size_t count) const
{
    using Ranked = std::pair<uint64_t, VMId>;
    std::map<HallId, Ranked> firstOfHalls;
    std::vector<Ranked> others;
    for (auto const& peer : peers) {
        Ranked daemon { mixHashes(stream.value(), peer.id.value()), peer.id };
        auto const [first, isNew] = firstOfHalls.try_emplace(peer.hall, daemon);
        if (isNew)
            continue;
        if (daemon > first->second)
            std::swap(daemon, first->second);
        others.push_back(daemon);
    }
    std::vector<Ranked> daemons;
    daemons.reserve(peers.size());
    for (auto const& [hall, first] : firstOfHalls)
        daemons.push_back(first);
    std::sort(daemons.begin(), daemons.end(), std::greater());
    // The order of the others matters only as far as they are chosen.
    auto const chosen = std::min(count - std::min(count, daemons.size()), others.size());
    std::partial_sort(others.begin(), others.begin() + static_cast<ptrdiff_t>(chosen), others.end(), std::greater());
    daemons.insert(daemons.end(), others.begin(), others.begin() + static_cast<ptrdiff_t>(chosen));
    daemons.resize(std::min(daemons.size(), count));
    std::vector<VMId> result;
    result.reserve(daemons.size());
    for (auto const& [rank, daemon] : daemons)
        result.push_back(daemon);
    return result;
}

std::vector<StreamOriginExchange::Keepers> StreamOriginExchange::keepersByAllLists(StreamId stream, Instant now) const
{
    std::vector<Keepers> result;
    for (size_t index = 0; index < m_lists.size(); ++index) {
        bool const isPresent = index + 1 == m_lists.size();
        auto const& peers = m_lists[index].peers;
        result.push_back({ chooseDaemons(peers, stream, keeperCount(peers)), isPresent ? now : m_lists[index + 1].since });
    }
    return result;
}

void StreamOriginExchange::addTo(StreamOriginTable& table, StreamId stream, VersionId version, Instant expiresAt, Instant now)
{
    auto const dropped = table.record(stream, version, expiresAt);
    if (dropped && *dropped > now)
        m_keepsSince = now;
}

void StreamOriginExchange::record(StreamId stream, std::string const& service, VersionId version, Microseconds lifetime, Instant now)
{
    auto const kept = std::min(lifetime, StreamOriginRecord::maxLifetime);
    addTo(m_table, stream, version, now + kept, now);
    // Until the other daemons are known, no keepers can be told.
    if (knowsPeers() && m_hooks.versions(service, now).needsRecords)
        return sendToKeepers({ stream, version, kept });
    m_late.add(service, { stream, version, kept }, now);
}

void StreamOriginExchange::sendToKeepers(StreamOriginRecord const& record)
{
    m_hooks.persist(record);
    auto const message = encodeStreamOriginMessage(record);
    for (auto const keeper : chooseKeepers(record.stream)) {
        if (keeper != m_self.id)
            m_hooks.send(keeper, message);
    }
}

void StreamOriginExchange::restore(std::vector<StreamOriginRecord> const& records, Instant now)
{
    for (auto const& record : records)
        addTo(m_restored, record.stream, record.version, now + std::min(record.lifetime, StreamOriginRecord::maxLifetime), now);
}

void StreamOriginExchange::peerStarted(VMId peer, Instant now)
{
    if (!knowsPeers())
        return;
    for (auto const& [stream, record] : m_table.records()) {
        auto const keepers = chooseKeepers(stream);
        if (record.expiresAt > now && std::find(keepers.begin(), keepers.end(), peer) != keepers.end())
            m_hooks.send(peer, encodeStreamOriginMessage(StreamOriginRecord { stream, record.version, record.expiresAt - now }));
    }
}

std::optional<VersionId> StreamOriginExchange::findRecord(StreamId stream, Instant now) const
{
    auto const recorded = m_table.find(stream, now);
    return recorded ? recorded : m_restored.find(stream, now);
}

// If a restored history has shown one version, streams that began before needed no record. Records that were lost since are missing.
StreamOriginReply StreamOriginExchange::makeReply(StreamId stream, VersionKnowledge const& versions, Instant now) const
{
    bool const hasAllSinceRestored = versions.restoredUniformAt && m_keepsSince <= *versions.restoredUniformAt;
    auto const keptFor = hasAllSinceRestored ? StreamOriginReply::maxKeptFor : now - m_keepsSince;
    return { 0, findRecord(stream, now), std::min<Microseconds>(keptFor, StreamOriginReply::maxKeptFor), versions.uniform, now - versions.listProvenAt, versions.withoutRecords, versions.hasSeveral };
}

// The reply was written between the two times.
StreamOriginExchange::Answer StreamOriginExchange::answerFrom(StreamOriginReply const& reply, Instant sentAfter, Instant receivedAt)
{
    return { reply.recorded, receivedAt - reply.keptFor, reply.uniform, sentAfter - reply.listAge, reply.withoutRecords, reply.hasSeveral };
}

void StreamOriginExchange::updateOwnAnswer(Pending& pending, Instant now) const
{
    pending.own = m_hooks.versions(pending.service, now);
    pending.answers[m_self.id] = answerFrom(makeReply(pending.stream, pending.own, now), now, now);
}

void StreamOriginExchange::find(StreamId stream, std::string const& service, Callback callback, Instant now)
{
    if (auto const version = findRecord(stream, now))
        return callback({ version, true, Source::Record });
    if (m_pending.size() >= m_bounds.maxPending)
        return callback({});
    auto const queryId = ++m_lastQueryId;
    Pending pending { stream, service, keepersByAllLists(stream, now), chooseDaemons(peers(), stream, m_bounds.askedDaemons), {}, {}, now, now + m_bounds.repetitionInterval, std::move(callback) };
    for (auto const& keepers : pending.keepers) {
        for (auto const daemon : keepers.daemons) {
            bool const isListed = std::any_of(peers().begin(), peers().end(), [daemon](auto const& peer) { return peer.id == daemon; });
            if (isListed && std::find(pending.asked.begin(), pending.asked.end(), daemon) == pending.asked.end())
                pending.asked.push_back(daemon);
        }
    }
    std::erase(pending.asked, m_self.id);
    updateOwnAnswer(pending, now);
    if (auto const origin = resolve(pending, now))
        return pending.callback(*origin);
    auto const& entry = m_pending.emplace(queryId, std::move(pending)).first->second;
    sendQueries(queryId, entry, true);
}

void StreamOriginExchange::sendQueries(uint64_t queryId, Pending const& pending, bool isForAll)
{
    auto const query = encodeStreamOriginMessage(StreamOriginQuery { queryId, pending.stream, pending.service });
    for (auto const daemon : pending.asked) {
        if (isForAll || !pending.answers.contains(daemon))
            m_hooks.send(daemon, query);
    }
}

std::optional<StreamOriginExchange::Origin> StreamOriginExchange::resolve(Pending const& pending, Instant now) const
{
    for (auto const& [daemon, answer] : pending.answers) {
        if (answer.recorded)
            return Origin { answer.recorded, true, Source::Record };
    }
    if (auto const version = versionOfEarlierList(pending))
        return Origin { version, true, Source::OneVersion };
    bool const haveAllReplied = std::all_of(pending.asked.begin(), pending.asked.end(), [&](VMId id) { return pending.answers.contains(id); });
    if (!haveAllReplied && now < pending.startedAt + m_bounds.timeout)
        return {};
    if (auto const version = versionOfCurrentList(pending))
        return Origin { version, true, Source::OneVersion };
    if (auto const version = versionWithoutRecord(pending))
        return Origin { version, true, Source::NoRecord };
    if (now < pending.startedAt + m_bounds.timeout + m_bounds.proofTimeout && mayBeProvenSoon(pending, now))
        return {};
    return Origin { {}, haveKeepersReplied(pending) && !areKeepersRecovering(pending, now), Source::None };
}

// Whether a record may have been lost, or may not have been found, of a stream that began at that time or later.
bool StreamOriginExchange::mayLackRecordSince(Pending const& pending, Instant since) const
{
    if (m_lists.front().since > since)
        return true;
    auto const mayLack = [&](VMId id) {
        auto const answer = pending.answers.find(id);
        return answer == pending.answers.end() || answer->second.keepsSince > since;
    };
    return std::any_of(pending.keepers.begin(), pending.keepers.end(), [&](Keepers const& keepers) {
        return keepers.until >= since - m_bounds.peerListLag && std::any_of(keepers.daemons.begin(), keepers.daemons.end(), mayLack);
    });
}

// Daemons differ for a moment while a version joins or leaves.
std::optional<VersionId> StreamOriginExchange::onlyVersionNamed(Pending const& pending)
{
    std::set<VersionId> versions;
    for (auto const& [daemon, answer] : pending.answers) {
        for (auto const& version : { answer.uniform, answer.withoutRecords }) {
            if (version)
                versions.insert(*version);
        }
    }
    return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

// One that knows of several versions goes before all lists that show one.
std::optional<VersionId> StreamOriginExchange::uniformVersion(Pending const& pending)
{
    bool const hasSeveral = std::any_of(pending.answers.begin(), pending.answers.end(), [](auto const& entry) { return entry.second.hasSeveral; });
    return hasSeveral ? std::nullopt : onlyVersionNamed(pending);
}

std::optional<VersionId> StreamOriginExchange::versionOfCurrentList(Pending const& pending)
{
    return pending.own.uniform && pending.own.listProvenAt >= pending.startedAt ? uniformVersion(pending) : std::nullopt;
}

std::optional<VersionId> StreamOriginExchange::versionOfEarlierList(Pending const& pending) const
{
    bool const isProven = std::any_of(pending.answers.begin(), pending.answers.end(), [&](auto const& entry) {
        return entry.second.uniform && !mayLackRecordSince(pending, entry.second.uniformAsOf);
    });
    return isProven ? uniformVersion(pending) : std::nullopt;
}

// While several versions are known, streams that began before have records as well. One that has none may have begun where its
// keepers could not be reached.
std::optional<VersionId> StreamOriginExchange::versionWithoutRecord(Pending const& pending) const
{
    auto const version = uniformVersion(pending);
    auto since = pending.startedAt - pending.own.streamLifetime;
    if (pending.own.restoredUniformAt && pending.own.withoutRecords == version)
        since = std::max(since, *pending.own.restoredUniformAt);
    return version && !mayLackRecordSince(pending, since) ? version : std::nullopt;
}

bool StreamOriginExchange::haveKeepersReplied(Pending const& pending) const
{
    auto const& keepers = pending.keepers.back().daemons;
    return std::all_of(keepers.begin(), keepers.end(), [&](VMId id) { return pending.answers.contains(id); });
}

bool StreamOriginExchange::areKeepersRecovering(Pending const& pending, Instant now) const
{
    auto const& keepers = pending.keepers.back().daemons;
    return std::any_of(keepers.begin(), keepers.end(), [&](VMId id) {
        auto const answer = pending.answers.find(id);
        return answer != pending.answers.end() && now - answer->second.keepsSince < m_bounds.recoveryTime;
    });
}

// While several versions are known and all keepers have run for long, nothing more is to be expected.
bool StreamOriginExchange::mayBeProvenSoon(Pending const& pending, Instant now) const
{
    bool const hasJustStarted = now - m_startedAt < m_bounds.recoveryTime;
    bool const mayListProve = !pending.own.hasSeveral && (pending.own.uniform || hasJustStarted);
    return mayListProve || areKeepersRecovering(pending, now) || (hasJustStarted && !haveKeepersReplied(pending));
}

void StreamOriginExchange::complete(uint64_t queryId, Origin const& origin)
{
    auto pending = m_pending.extract(queryId);
    pending.mapped().callback(origin);
}

Result<void> StreamOriginExchange::receive(VMId from, std::string_view bytes, Instant now)
{
    auto const message = TRY(decodeStreamOriginMessage(bytes));
    if (auto const* record = std::get_if<StreamOriginRecord>(&message)) {
        addTo(m_table, record->stream, record->version, now + std::min(record->lifetime, StreamOriginRecord::maxLifetime), now);
        return {};
    }
    if (auto const* query = std::get_if<StreamOriginQuery>(&message)) {
        auto reply = makeReply(query->stream, m_hooks.versions(query->service, now), now);
        reply.queryId = query->queryId;
        m_hooks.send(from, encodeStreamOriginMessage(reply));
        return {};
    }
    auto const& reply = std::get<StreamOriginReply>(message);
    auto const found = m_pending.find(reply.queryId);
    if (found == m_pending.end() || std::find(found->second.asked.begin(), found->second.asked.end(), from) == found->second.asked.end())
        return {};
    found->second.answers[from] = answerFrom(reply, found->second.startedAt, now);
    if (auto const origin = resolve(found->second, now))
        complete(reply.queryId, *origin);
    return {};
}

std::optional<Instant> StreamOriginExchange::nextTimeout() const
{
    std::optional<Instant> next;
    for (auto const& [queryId, pending] : m_pending)
        next = std::min(next.value_or(pending.repeatAt), pending.repeatAt);
    return next;
}

void StreamOriginExchange::tick(Instant now)
{
    m_table.expire(now);
    m_restored.expire(now);
    m_late.expire(now);
    if (knowsPeers())
        m_late.send(peers().size() > m_bounds.largeFleet, now);
    std::vector<std::pair<uint64_t, Origin>> resolved;
    for (auto& [queryId, pending] : m_pending) {
        updateOwnAnswer(pending, now);
        if (auto const origin = resolve(pending, now)) {
            resolved.emplace_back(queryId, *origin);
        } else if (now >= pending.repeatAt) {
            auto const timeout = pending.startedAt + m_bounds.timeout;
            bool const isLate = now >= timeout;
            pending.repeatAt = isLate ? now + m_bounds.proofInterval : std::min(now + m_bounds.repetitionInterval, timeout);
            sendQueries(queryId, pending, isLate);
        }
    }
    for (auto const& [queryId, origin] : resolved)
        complete(queryId, origin);
}

std::string_view nameOf(StreamOriginExchange::Source source)
{
    switch (source) {
    case StreamOriginExchange::Source::None:
        return "unknown";
    case StreamOriginExchange::Source::Record:
        return "record";
    case StreamOriginExchange::Source::OneVersion:
        return "one-version";
    case StreamOriginExchange::Source::NoRecord:
        return "no-record";
    }
    return "unknown";
}

}

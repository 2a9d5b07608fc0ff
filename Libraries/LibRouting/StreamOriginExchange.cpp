#include <LibRouting/StreamOriginExchange.h>

#include <algorithm>
#include <set>

namespace Stagepost {

void StreamOriginExchange::restart(Instant now)
{
    m_startedAt = now;
    m_keepsSince = now;
    m_keepers.forgetEarlierLists(now);
}

void StreamOriginExchange::addTo(StreamOriginTable& table, StreamOriginRecord const& record, StreamOriginEvidence const& evidence, Instant now)
{
    reportContradictions(record.stream, record.version, evidence, nullptr, now);
    auto const expiresAt = now + std::min(record.lifetime, StreamOriginRecord::maxLifetime);
    auto const dropped = table.record(record.stream, record.version, expiresAt, { evidence.daemon, now });
    if (dropped && *dropped > now)
        m_keepsSince = now;
}

void StreamOriginExchange::record(StreamId stream, std::string const& service, VersionId version, Microseconds lifetime, Instant now)
{
    auto const kept = std::min(lifetime, StreamOriginRecord::maxLifetime);
    addTo(m_table, { stream, version, kept }, { Place::Table, m_self.id, Microseconds(0) }, now);
    // Until the other daemons are known, no keepers can be told.
    if (knowsPeers() && m_hooks.versions(service, now).needsRecords)
        return sendToKeepers({ stream, version, kept });
    m_late.add(service, { stream, version, kept }, now);
}

void StreamOriginExchange::sendToKeepers(StreamOriginRecord const& record)
{
    m_hooks.persist(record);
    auto const message = encodeStreamOriginMessage(record);
    for (auto const keeper : m_keepers.chooseKeepers(record.stream)) {
        if (keeper != m_self.id)
            m_hooks.send(keeper, message);
    }
}

void StreamOriginExchange::restore(std::vector<StreamOriginRecord> const& records, Instant now)
{
    for (auto const& record : records)
        addTo(m_restored, record, { Place::Store, {}, Microseconds(0) }, now);
}

void StreamOriginExchange::peerStarted(VMId peer, Instant now)
{
    if (!knowsPeers())
        return;
    for (auto const& [stream, record] : m_table.records()) {
        auto const keepers = m_keepers.chooseKeepers(stream);
        if (record.expiresAt > now && std::find(keepers.begin(), keepers.end(), peer) != keepers.end())
            sendRecord(peer, stream, record, now);
    }
}

void StreamOriginExchange::sendRecord(VMId to, StreamId stream, StreamOriginTable::Record const& record, Instant now) const
{
    m_hooks.send(to, encodeStreamOriginMessage(StreamOriginRecord { stream, record.version, record.expiresAt - now }));
    if (record.contradicting)
        m_hooks.send(to, encodeStreamOriginMessage(StreamOriginRecord { stream, *record.contradicting, record.expiresAt - now }));
}

std::optional<StreamOriginExchange::KnownOrigin> StreamOriginExchange::findRecord(StreamId stream, Instant now) const
{
    auto const* own = m_table.findRecord(stream, now);
    auto const* restored = m_restored.findRecord(stream, now);
    auto const* record = own ? own : restored;
    if (!record)
        return {};
    KnownOrigin known { record->version, record->contradicting, { own ? Place::Table : Place::Store, record->arrival.from, now - record->arrival.at } };
    if (own && restored) {
        for (auto const& version : { std::optional(restored->version), restored->contradicting }) {
            if (version && *version != own->version)
                known.contradicting = version;
        }
    }
    return known;
}

void StreamOriginExchange::reportContradictions(StreamId stream, VersionId version, StreamOriginEvidence const& evidence, Pending const* pending, Instant now) const
{
    if (auto const known = findRecord(stream, now); known && known->version != version)
        m_hooks.contradicted({ stream, known->version, known->evidence, version, evidence });
    if (!pending)
        return;
    for (auto const& [daemon, answer] : pending->answers) {
        if (daemon != m_self.id && answer.recorded && *answer.recorded != version)
            m_hooks.contradicted({ stream, *answer.recorded, { Place::Answer, daemon, {} }, version, evidence });
    }
}

// If a restored history has shown one version, streams that began before needed no record. Records that were lost since are missing.
StreamOriginReply StreamOriginExchange::makeReply(StreamId stream, VersionKnowledge const& versions, Instant now) const
{
    bool const hasAllSinceRestored = versions.restoredUniformAt && m_keepsSince <= *versions.restoredUniformAt;
    auto const keptFor = hasAllSinceRestored ? StreamOriginReply::maxKeptFor : now - m_keepsSince;
    auto const known = findRecord(stream, now);
    bool const isContradictory = known && known->contradicting;
    return { 0, known && !isContradictory ? std::optional(known->version) : std::nullopt, std::min<Microseconds>(keptFor, StreamOriginReply::maxKeptFor), versions.uniform, now - versions.listProvenAt, versions.withoutRecords, versions.hasSeveral || isContradictory, isContradictory };
}

// The reply was written between the two times.
StreamOriginExchange::Answer StreamOriginExchange::answerFrom(StreamOriginReply const& reply, Instant sentAfter, Instant receivedAt)
{
    return { reply.recorded, reply.isContradictory, receivedAt - reply.keptFor, reply.uniform, sentAfter - reply.listAge, reply.withoutRecords, reply.hasSeveral };
}

void StreamOriginExchange::updateOwnAnswer(Pending& pending, Instant now) const
{
    pending.own = m_hooks.versions(pending.service, now);
    pending.answers[m_self.id] = answerFrom(makeReply(pending.stream, pending.own, now), now, now);
}

void StreamOriginExchange::find(StreamId stream, std::string const& service, Callback callback, Instant now)
{
    if (m_pending.size() >= m_bounds.maxPending)
        return callback({});
    auto const queryId = m_queryNumbers.nextAbout(stream.value());
    Pending pending { stream, service, m_keepers.keepersByAllLists(stream, now), m_keepers.chooseDaemons(stream, m_bounds.askedDaemons), {}, {}, now, now + m_bounds.repetitionInterval, std::move(callback) };
    for (auto const& keepers : pending.keepers) {
        for (auto const daemon : keepers.daemons) {
            if (m_keepers.isListed(daemon) && std::find(pending.asked.begin(), pending.asked.end(), daemon) == pending.asked.end())
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

// Records that several daemons have decide only if all of them name one version.
std::optional<StreamOriginExchange::Origin> StreamOriginExchange::originByRecords(Pending const& pending, Instant now) const
{
    std::optional<Origin> origin;
    for (auto const& [daemon, answer] : pending.answers) {
        if (answer.isContradictory || (answer.recorded && origin && origin->version != answer.recorded))
            return Origin { {}, true, Source::Contradiction };
        if (answer.recorded && !origin)
            origin = Origin { answer.recorded, true, Source::Record, { Place::Answer, daemon, {} } };
    }
    if (auto const own = findRecord(pending.stream, now); own && origin)
        origin->evidence = own->evidence;
    return origin;
}

std::optional<StreamOriginExchange::Origin> StreamOriginExchange::resolve(Pending const& pending, Instant now) const
{
    auto const byRecords = originByRecords(pending, now);
    bool const haveAllReplied = std::all_of(pending.asked.begin(), pending.asked.end(), [&](VMId id) { return pending.answers.contains(id); });
    bool const mayBeContradicted = !haveAllReplied && now < pending.startedAt + m_bounds.timeout;
    auto const listed = versionOfEarlierList(pending);
    if (byRecords) {
        bool const isCertain = !byRecords->version || byRecords->version == listed || !mayBeContradicted;
        return isCertain ? byRecords : std::nullopt;
    }
    if (listed)
        return Origin { listed, true, Source::OneVersion };
    if (mayBeContradicted)
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
    if (m_keepers.knownSince() > since)
        return true;
    auto const mayLack = [&](VMId id) {
        auto const answer = pending.answers.find(id);
        return answer == pending.answers.end() || answer->second.keepsSince > since;
    };
    return std::any_of(pending.keepers.begin(), pending.keepers.end(), [&](StreamKeepers::Keepers const& keepers) {
        return m_keepers.mayBeInUse(keepers, since) && std::any_of(keepers.daemons.begin(), keepers.daemons.end(), mayLack);
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
        addTo(m_table, *record, { Place::Table, from, Microseconds(0) }, now);
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
    if (reply.recorded)
        reportContradictions(found->second.stream, *reply.recorded, { Place::Answer, from, {} }, &found->second, now);
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
        m_late.send(m_keepers.isLargeFleet(), now);
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
    case StreamOriginExchange::Source::Contradiction:
        return "contradiction";
    }
    return "unknown";
}

}

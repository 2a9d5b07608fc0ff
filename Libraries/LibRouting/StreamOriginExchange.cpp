#include <LibRouting/StreamOriginExchange.h>

#include <LibBase/Hash.h>
#include <algorithm>
#include <set>

namespace Stagepost {

void StreamOriginExchange::setPeers(std::vector<FleetPeer> peers)
{
    m_peers = std::move(peers);
    m_knowsPeers = true;
}

size_t StreamOriginExchange::keeperCount() const
{
    return m_peers.size() < m_bounds.largeFleet ? m_bounds.keepers : m_bounds.keepersInLargeFleet;
}

// The first daemons in the stream's rendezvous order, those of different halls before others: a hall may
// be lost as a whole.
std::vector<VMId> StreamOriginExchange::chooseDaemons(StreamId stream, size_t count) const
{
    auto daemons = m_peers;
    std::erase_if(daemons, [this](auto const& peer) { return peer.id == m_self.id; });
    daemons.push_back(m_self);
    std::sort(daemons.begin(), daemons.end(), [stream](auto const& one, auto const& other) {
        return mixHashes(stream.value(), one.id.value()) > mixHashes(stream.value(), other.id.value());
    });
    std::set<HallId> halls;
    std::vector<VMId> result;
    std::vector<VMId> others;
    for (auto const& peer : daemons)
        (halls.insert(peer.hall).second ? result : others).push_back(peer.id);
    result.insert(result.end(), others.begin(), others.end());
    result.resize(std::min(result.size(), count));
    return result;
}

void StreamOriginExchange::record(StreamId stream, VersionId version, Microseconds lifetime, Instant now)
{
    auto const kept = std::min(lifetime, VersionHistory::memory);
    m_table.record(stream, version, now + kept);
    auto const message = encodeStreamOriginMessage(StreamOriginRecord { stream, version, kept });
    for (auto const keeper : chooseDaemons(stream, keeperCount())) {
        if (keeper != m_self.id)
            m_hooks.send(keeper, message);
    }
}

void StreamOriginExchange::peerStarted(VMId peer, Instant now)
{
    for (auto const& [stream, record] : m_table.records()) {
        auto const keepers = chooseDaemons(stream, keeperCount());
        if (record.expiresAt > now && std::find(keepers.begin(), keepers.end(), peer) != keepers.end())
            m_hooks.send(peer, encodeStreamOriginMessage(StreamOriginRecord { stream, record.version, record.expiresAt - now }));
    }
}

StreamOriginReply StreamOriginExchange::replyTo(StreamId stream, std::string const& service, Instant now) const
{
    auto const versions = m_hooks.versions(service, now);
    return { 0, m_table.find(stream, now), keepsAllRecords(now) || versions.hasRestoredUniform, versions.uniform, versions.withoutRecords };
}

void StreamOriginExchange::find(StreamId stream, std::string const& service, Callback callback, Instant now)
{
    auto const queryId = ++m_lastQueryId;
    auto asked = chooseDaemons(stream, m_bounds.askedDaemons);
    auto const keepers = std::vector<VMId>(asked.begin(), asked.begin() + static_cast<ptrdiff_t>(std::min(asked.size(), keeperCount())));
    std::erase(asked, m_self.id);
    Pending pending { stream, service, keepers, std::move(asked), {}, now + m_bounds.repetitionInterval, now + m_bounds.timeout, std::move(callback) };
    pending.replies[m_self.id] = replyTo(stream, service, now);
    if (auto const origin = resolve(pending, now))
        return pending.callback(*origin);
    auto const& entry = m_pending.emplace(queryId, std::move(pending)).first->second;
    sendQueries(queryId, entry);
}

void StreamOriginExchange::sendQueries(uint64_t queryId, Pending const& pending)
{
    auto const query = encodeStreamOriginMessage(StreamOriginQuery { queryId, pending.stream, pending.service });
    for (auto const daemon : pending.asked) {
        if (!pending.replies.contains(daemon))
            m_hooks.send(daemon, query);
    }
}

std::optional<StreamOriginExchange::Origin> StreamOriginExchange::resolve(Pending const& pending, Instant now) const
{
    auto const hasReplied = [&](VMId id) { return pending.replies.contains(id); };
    bool const haveKeepersReplied = std::all_of(pending.keepers.begin(), pending.keepers.end(), hasReplied);
    for (auto const& [daemon, reply] : pending.replies) {
        if (reply.recorded)
            return Origin { reply.recorded, haveKeepersReplied, Source::Record };
    }
    bool const isOver = now >= pending.deadline || std::all_of(pending.asked.begin(), pending.asked.end(), hasReplied);
    // A list that is a moment old lacks a version that has just joined, whose streams have records.
    bool const areRecordsRuledOut = haveKeepersReplied || isUnrecorded(pending);
    if (!areRecordsRuledOut && !isOver)
        return {};
    if (auto const version = provenVersion(pending))
        return Origin { version, haveKeepersReplied, Source::OneVersion };
    if (!isOver)
        return {};
    auto const version = isUnrecorded(pending) ? versionWithoutRecords(pending) : std::nullopt;
    return Origin { version, haveKeepersReplied, version ? Source::NoRecord : Source::None };
}

// Two daemons with complete histories can differ for a moment, while a version joins or leaves.
std::optional<VersionId> StreamOriginExchange::provenVersion(Pending const& pending)
{
    if (!haveOthersReplied(pending))
        return {};
    for (auto const& [daemon, reply] : pending.replies) {
        if (reply.uniform)
            return reply.uniform;
    }
    return {};
}

bool StreamOriginExchange::haveOthersReplied(Pending const& pending)
{
    return pending.replies.size() > 1 || pending.asked.empty();
}

// Records are sent to all keepers. Two that have kept all they got can only lack it if two messages were
// lost, or if the stream has none.
bool StreamOriginExchange::isUnrecorded(Pending const& pending)
{
    auto const count = std::count_if(pending.keepers.begin(), pending.keepers.end(), [&](VMId id) {
        auto const reply = pending.replies.find(id);
        return reply != pending.replies.end() && reply->second.isComplete;
    });
    return static_cast<size_t>(count) >= std::min<size_t>(2, pending.keepers.size());
}

std::optional<VersionId> StreamOriginExchange::versionWithoutRecords(Pending const& pending)
{
    std::set<VersionId> versions;
    for (auto const& [daemon, reply] : pending.replies) {
        if (reply.withoutRecords)
            versions.insert(*reply.withoutRecords);
    }
    return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
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
        m_table.record(record->stream, record->version, now + std::min(record->lifetime, VersionHistory::memory));
        return {};
    }
    if (auto const* query = std::get_if<StreamOriginQuery>(&message)) {
        auto reply = replyTo(query->stream, query->service, now);
        reply.queryId = query->queryId;
        m_hooks.send(from, encodeStreamOriginMessage(reply));
        return {};
    }
    auto const& reply = std::get<StreamOriginReply>(message);
    auto const found = m_pending.find(reply.queryId);
    if (found == m_pending.end() || std::find(found->second.asked.begin(), found->second.asked.end(), from) == found->second.asked.end())
        return {};
    found->second.replies[from] = reply;
    if (auto const origin = resolve(found->second, now))
        complete(reply.queryId, *origin);
    return {};
}

std::optional<Instant> StreamOriginExchange::nextTimeout() const
{
    std::optional<Instant> next;
    for (auto const& [queryId, pending] : m_pending) {
        auto const due = std::min(pending.repeatAt, pending.deadline);
        next = std::min(next.value_or(due), due);
    }
    return next;
}

void StreamOriginExchange::tick(Instant now)
{
    m_table.expire(now);
    std::vector<std::pair<uint64_t, Origin>> resolved;
    for (auto& [queryId, pending] : m_pending) {
        if (auto const origin = resolve(pending, now)) {
            resolved.emplace_back(queryId, *origin);
        } else if (now >= pending.repeatAt) {
            pending.repeatAt = now + m_bounds.repetitionInterval;
            sendQueries(queryId, pending);
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

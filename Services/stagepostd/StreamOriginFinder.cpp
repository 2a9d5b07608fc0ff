#include <stagepostd/StreamOriginFinder.h>

#include <LibBase/Hex.h>
#include <LibBase/Log.h>

namespace Stagepost {

namespace {

    // A daemon is usually ready some milliseconds before it has joined. Callers that take up a stream wait
    // this long for that.
    constexpr Milliseconds maxJoinWait { 250 };
    // A daemon joins within a second, and begins some tens of streams a second.
    constexpr size_t maxWaitingRecords = 4096;
    // One contradiction shows in each of the answers to a question, which is put three times to eight daemons or more.
    constexpr double contradictionLinesBurst { 50 };
    constexpr double contradictionLinesPerSecond { 1 };

    // Empty for the null id, which stands for no daemon.
    std::string daemonName(VMId id)
    {
        return id.isNull() ? std::string() : toHex(id.value());
    }

}

void reportStreamTakenUp(Metrics& metrics, std::string const& requestId, std::string const& firstAttempt, StreamOriginExchange::Origin const& origin)
{
    bool const isByRecord = origin.source == StreamOriginExchange::Source::Record;
    auto const& evidence = origin.evidence;
    metrics.count("stagepost_streams_taken_up_total", "origin=\"" + std::string(nameOf(origin.source)) + "\"");
    if (isByRecord)
        metrics.count("stagepost_stream_records_used_total", "from=\"" + std::string(nameOf(evidence.place)) + "\"");
    logEvent(LogLevel::Info, "stream-taken-up", { { "id", requestId }, { "first_attempt", firstAttempt }, { "version_id", toHex(origin.version.value_or(VersionId()).value()) }, { "origin", nameOf(origin.source) }, { "final", origin.isFinal ? 1 : 0 }, { "record_from", isByRecord ? nameOf(evidence.place) : "" }, { "record_daemon", daemonName(evidence.daemon) }, { "record_age_ms", evidence.age ? std::to_string(evidence.age->count() / 1000) : "" } });
}

StreamOriginFinder::StreamOriginFinder(EventLoop& loop, Metrics& metrics, Hooks hooks)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_logRelay({}, { m_hooks.appender, m_hooks.sendToAppender, m_hooks.log.append })
    , m_waitingTimer(loop)
    , m_contradictionLines(contradictionLinesBurst)
{
    m_hooks.exchange.contradicted = [this](StreamOriginContradiction const& contradiction) { reportContradiction(contradiction); };
    m_hooks.exchange.persist = [this](StreamOriginRecord const& record) { m_logRelay.add(record); };
}

void StreamOriginFinder::join(FleetPeer const& self)
{
    if (m_exchange)
        return;
    m_exchange = std::make_unique<StreamOriginExchange>(self, StreamOriginExchange::Bounds {}, m_hooks.exchange, m_loop.now());
    restore(std::exchange(m_restored, {}));
    for (auto const& record : std::exchange(m_waitingRecords, {}))
        record();
}

void StreamOriginFinder::setPeers(std::vector<FleetPeer> const& peers)
{
    m_exchange->setPeers(peers, m_loop.now());
    findWaiting();
}

void StreamOriginFinder::peerStarted(VMId peer)
{
    m_exchange->peerStarted(peer, m_loop.now());
    m_logRelay.peerStarted(peer);
}

void StreamOriginFinder::record(StreamId stream, std::string const& service, VersionId version, Microseconds lifetime)
{
    if (m_exchange)
        m_exchange->record(stream, service, version, lifetime, m_loop.now());
    else if (m_waitingRecords.size() < maxWaitingRecords)
        m_waitingRecords.push_back([this, stream, service, version, lifetime] { record(stream, service, version, lifetime); });
}

void StreamOriginFinder::find(StreamId stream, std::string const& service, StreamOriginExchange::Callback callback)
{
    if (m_exchange && m_exchange->knowsPeers()) {
        m_exchange->find(stream, service, std::move(callback), m_loop.now());
        m_hooks.queriesSent();
        return;
    }
    m_waiting.push_back([this, stream, service, callback = std::move(callback)] {
        if (m_exchange && m_exchange->knowsPeers())
            find(stream, service, callback);
        else
            callback({});
    });
    if (m_waiting.size() == 1)
        m_waitingTimer.once(maxJoinWait, [this] { findWaiting(); });
}

void StreamOriginFinder::findWaiting()
{
    m_waitingTimer.cancel();
    for (auto const& find : std::exchange(m_waiting, {}))
        find();
}

void StreamOriginFinder::reportContradiction(StreamOriginContradiction const& contradiction)
{
    m_metrics.count("stagepost_stream_origin_contradictions_total");
    if (!m_contradictionLines.take(contradictionLinesPerSecond, m_loop.now()))
        return;
    auto const& known = contradiction.knownFrom;
    auto const& other = contradiction.contradictingFrom;
    logEvent(LogLevel::Warning, "stream-origins-contradict", { { "stream", toHex(contradiction.stream.value()) }, { "known_version_id", toHex(contradiction.known.value()) }, { "known_from", nameOf(known.place) }, { "known_daemon", daemonName(known.daemon) }, { "known_age_ms", known.age ? std::to_string(known.age->count() / 1000) : "" }, { "version_id", toHex(contradiction.contradicting.value()) }, { "from", nameOf(other.place) }, { "daemon", daemonName(other.daemon) } });
}

void StreamOriginFinder::restore(std::vector<StreamOriginRecord> const& records)
{
    if (m_exchange)
        m_exchange->restore(records, m_loop.now());
    else
        m_restored.insert(m_restored.end(), records.begin(), records.end());
}

void StreamOriginFinder::restart()
{
    if (m_exchange)
        m_exchange->restart(m_loop.now());
    m_hooks.log.readAgain();
}

bool StreamOriginFinder::receive(VMId from, std::string_view body)
{
    return m_exchange && m_exchange->receive(from, body, m_loop.now());
}

bool StreamOriginFinder::receiveForLog(std::string_view body)
{
    return m_exchange && m_logRelay.receive(body);
}

void StreamOriginFinder::tick()
{
    if (m_exchange) {
        m_exchange->tick(m_loop.now());
        m_metrics.setGauge("stagepost_stream_origins", static_cast<double>(m_exchange->recordCount()));
    }
    m_logRelay.tick(m_loop.now());
}

}

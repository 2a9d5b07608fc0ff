#include <stagepostd/SettingsFollower.h>

#include <LibBase/Log.h>

namespace Stagepost {

namespace {

    constexpr Milliseconds longestWait { 5000 };
    constexpr Milliseconds leastInterval { 100 };
    constexpr Milliseconds failurePause { 500 };
    constexpr size_t batchSize = 64;
    // Settings are repeated after about this part of the log's retention.
    constexpr int64_t snapshotShare = 8;
    // After the log has lost its last records, all daemons repeat the settings within this
    // time, unless they see that another one has.
    constexpr int64_t longestUntilRepeat = 2000000;

    Result<FleetSettings> settingsFrom(std::string const& toml)
    {
        auto const tree = TRY(SettingsTree::parse(toml));
        return FleetSettings::create(tree);
    }

}

bool areValidSettings(std::string const& toml)
{
    return settingsFrom(toml).has_value();
}

SettingsFollower::SettingsFollower(EventLoop& loop, LogClient log, RandomHook random, Applied applied)
    : m_loop(loop)
    , m_log(std::move(log))
    , m_random(std::move(random))
    , m_appliedHook(std::move(applied))
    , m_reader(areValidSettings)
    , m_timer(loop)
{
}

void SettingsFollower::start()
{
    read();
}

void SettingsFollower::read()
{
    m_log.read(settingsStream, m_reader.position(), batchSize, longestWait, [this, alive = std::weak_ptr(m_alive)](Result<LogBatch> const& batch) {
        if (!alive.expired())
            take(batch);
    });
}

void SettingsFollower::take(Result<LogBatch> const& batch)
{
    m_isLogReachable = batch.has_value();
    if (batch)
        takeBatch(*batch);
    else
        logEvent(LogLevel::Warning, "log-unavailable", { { "stream", settingsStream }, { "detail", batch.error().message() } });
    m_timer.once(batch ? leastInterval : failurePause, [this] { read(); });
}

// Offsets have been given out again, so what was read stands elsewhere or not at all.
void SettingsFollower::noteReturn(LogBatch const& batch)
{
    logEvent(LogLevel::Warning, "log-returned", { { "stream", settingsStream }, { "returns", batch.restoreCount }, { "next", batch.next.value() }, { "known_before", m_reader.position().value() } });
    m_reader.restartFrom(batch.first);
    m_standsSince = m_loop.now();
    m_snapshotAfter = Microseconds(static_cast<int64_t>(m_random() % static_cast<uint64_t>(longestUntilRepeat)));
}

void SettingsFollower::takeBatch(LogBatch const& batch)
{
    // An answer from before the return, which comes late, tells of a log that is gone.
    if (m_returns && batch.restoreCount < *m_returns)
        return;
    bool const isAfterReturn = m_returns && batch.restoreCount > *m_returns;
    m_returns = batch.restoreCount;
    if (isAfterReturn) {
        noteReturn(batch);
        return;
    }
    if (batch.first > m_reader.position())
        m_reader.skipTo(batch.first);
    if (batch.first.isNull() && m_reader.position().isNull())
        m_reader.startAtBeginning();
    for (auto const& record : batch.records) {
        // A peer's settings may have moved the position on while this was read.
        if (record.offset != m_reader.position())
            continue;
        m_reader.apply(record.offset, record.body);
        auto const publication = Publication::fromRecord(record.body);
        bool const isSnapshot = publication && publication->kind == Publication::Kind::Snapshot;
        if (isSnapshot && m_reader.accepted() && publication->revision == m_reader.accepted()->revision)
            noteStanding();
    }
    applyAccepted();
    snapshotIfDue();
}

// Each daemon waits for another time, so that one of them repeats the settings
// and the others see it.
void SettingsFollower::noteStanding()
{
    auto const retention = m_settings ? m_settings->once.logRetention : Seconds(86400);
    auto const share = std::chrono::duration_cast<Microseconds>(retention) / snapshotShare;
    m_standsSince = m_loop.now();
    m_snapshotAfter = share / 2 + Microseconds(static_cast<int64_t>(m_random() % static_cast<uint64_t>(share.count())));
}

// Repeats what is in force before the log forgets it. A second copy does no harm.
void SettingsFollower::snapshotIfDue()
{
    auto const& accepted = m_reader.accepted();
    if (!accepted || accepted->revision.isNull() || m_loop.now() - m_standsSince < m_snapshotAfter)
        return;
    noteStanding();
    Publication snapshot;
    snapshot.kind = Publication::Kind::Snapshot;
    snapshot.revision = accepted->revision;
    snapshot.upTo = accepted->upTo;
    snapshot.nonce = accepted->nonce;
    snapshot.author = accepted->author;
    snapshot.toml = accepted->toml;
    m_log.append(settingsStream, snapshot.toRecord(), [](Result<Offset> const& offset) {
        logEvent(LogLevel::Info, "snapshot", { { "result", offset ? "appended" : offset.error().message() } });
    });
}

bool SettingsFollower::adopt(AcceptedSettings const& peer)
{
    if (!areValidSettings(peer.toml) || !m_reader.adopt(peer))
        return false;
    applyAccepted();
    return true;
}

void SettingsFollower::applyAccepted()
{
    auto const& accepted = m_reader.accepted();
    if (!accepted)
        return;
    if (accepted->revision <= m_applied.revision) {
        if (accepted->revision == m_applied.revision)
            m_applied.upTo = accepted->upTo;
        return;
    }
    auto settings = settingsFrom(accepted->toml);
    if (!settings)
        return;
    m_applied = *accepted;
    m_settings = std::make_shared<FleetSettings const>(std::move(*settings));
    noteStanding();
    logEvent(LogLevel::Info, "settings-applied", { { "revision", m_applied.revision.value() }, { "author", m_applied.author } });
    m_appliedHook();
}

}

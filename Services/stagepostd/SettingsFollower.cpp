#include <stagepostd/SettingsFollower.h>

#include <LibBase/Log.h>

namespace Stagepost {

namespace {

    constexpr Milliseconds maxReadWait { 5000 };
    constexpr Milliseconds minReadInterval { 100 };
    constexpr Milliseconds retryDelay { 500 };
    constexpr size_t maxRecordsPerRead = 64;
    // A snapshot is appended about this many times within the log's retention.
    constexpr int64_t snapshotsPerRetention = 8;
    // After a restore of the log, which loses its last records, each daemon appends a snapshot
    // within this time, unless it reads another daemon's snapshot first.
    constexpr Microseconds maxSnapshotDelayAfterRestore { 2000000 };

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

SettingsFollower::SettingsFollower(EventLoop& loop, LogClient log, RandomHook random, AppliedCallback applied)
    : m_loop(loop)
    , m_log(std::move(log))
    , m_random(std::move(random))
    , m_appliedCallback(std::move(applied))
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
    m_log.read(settingsStream, m_reader.position(), maxRecordsPerRead, maxReadWait, [this, alive = std::weak_ptr(m_alive)](Result<LogBatch> const& batch) {
        if (!alive.expired())
            handleReadResult(batch);
    });
}

void SettingsFollower::handleReadResult(Result<LogBatch> const& batch)
{
    m_isLogReachable = batch.has_value();
    if (batch)
        handleBatch(*batch);
    else
        logEvent(LogLevel::Warning, "log-unavailable", { { "stream", settingsStream }, { "detail", batch.error().message() } });
    m_timer.once(batch ? minReadInterval : retryDelay, [this] { read(); });
}

// The log assigns offsets again that it has assigned before the restore, so records that were read
// may now be at other offsets or missing.
void SettingsFollower::handleLogRestore(LogBatch const& batch)
{
    logEvent(LogLevel::Warning, "log-returned", { { "stream", settingsStream }, { "returns", batch.restoreCount }, { "next", batch.next.value() }, { "known_before", m_reader.position().value() } });
    m_reader.restartFrom(batch.first);
    m_snapshotDelayStart = m_loop.now();
    m_snapshotDelay = Microseconds(static_cast<int64_t>(m_random() % static_cast<uint64_t>(maxSnapshotDelayAfterRestore.count())));
}

void SettingsFollower::handleBatch(LogBatch const& batch)
{
    // A late response from before the restore is outdated.
    if (m_logRestoreCount && batch.restoreCount < *m_logRestoreCount)
        return;
    bool const isAfterRestore = m_logRestoreCount && batch.restoreCount > *m_logRestoreCount;
    m_logRestoreCount = batch.restoreCount;
    if (isAfterRestore) {
        handleLogRestore(batch);
        return;
    }
    if (batch.first > m_reader.position())
        m_reader.skipTo(batch.first);
    if (batch.first.isNull() && m_reader.position().isNull())
        m_reader.startAtBeginning();
    for (auto const& record : batch.records) {
        // Settings adopted from a peer during the read may have advanced the position.
        if (record.offset != m_reader.position())
            continue;
        m_reader.apply(record.offset, record.body);
        auto const publication = Publication::fromRecord(record.body);
        bool const isSnapshot = publication && publication->kind == Publication::Kind::Snapshot;
        if (isSnapshot && m_reader.accepted() && publication->revision == m_reader.accepted()->revision)
            restartSnapshotDelay();
    }
    applyAccepted();
    appendSnapshotIfDue();
}

// Each daemon waits for a different random time. The first one appends a snapshot, and the others
// read it and start to wait again.
void SettingsFollower::restartSnapshotDelay()
{
    auto const retention = m_settings ? m_settings->once.logRetention : Seconds(86400);
    auto const meanDelay = std::chrono::duration_cast<Microseconds>(retention) / snapshotsPerRetention;
    m_snapshotDelayStart = m_loop.now();
    m_snapshotDelay = meanDelay / 2 + Microseconds(static_cast<int64_t>(m_random() % static_cast<uint64_t>(meanDelay.count())));
}

// Appends a snapshot of the settings in force before the log discards the record that
// contains them. Duplicate snapshots are harmless.
void SettingsFollower::appendSnapshotIfDue()
{
    auto const& accepted = m_reader.accepted();
    if (!accepted || accepted->revision.isNull() || m_loop.now() - m_snapshotDelayStart < m_snapshotDelay)
        return;
    restartSnapshotDelay();
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
    restartSnapshotDelay();
    logEvent(LogLevel::Info, "settings-applied", { { "revision", m_applied.revision.value() }, { "author", m_applied.author } });
    m_appliedCallback();
}

}

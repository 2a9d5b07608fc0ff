#pragma once

#include <LibBase/Hooks.h>
#include <LibPlatform/LogClient.h>
#include <LibProxy/Timer.h>
#include <LibSettings/FleetSettings.h>
#include <LibSettings/PublicationReader.h>
#include <functional>
#include <memory>

namespace Stagepost {

// Follows the accepted settings in the log, or from a peer that knows a newer revision. The
// applied revision never decreases.
class SettingsFollower {
public:
    using AppliedCallback = std::function<void()>;

    SettingsFollower(EventLoop&, LogClient, RandomHook, AppliedCallback);
    void start();

    // Applies settings that a peer has accepted. Returns whether they were valid and newer.
    bool adopt(AcceptedSettings const&);

    // Null until the first settings are applied.
    std::shared_ptr<FleetSettings const> settings() const { return m_settings; }
    AcceptedSettings const& applied() const { return m_applied; }
    Revision revision() const { return m_applied.revision; }
    bool isLogReachable() const { return m_isLogReachable; }

private:
    void read();
    void handleReadResult(Result<LogBatch> const&);
    void handleBatch(LogBatch const&);
    void handleLogRestore(LogBatch const&);
    void applyAccepted();
    void appendSnapshotIfDue();
    void restartSnapshotDelay();

    EventLoop& m_loop;
    LogClient m_log;
    RandomHook m_random;
    AppliedCallback m_appliedCallback;
    PublicationReader m_reader;
    AcceptedSettings m_applied;
    std::shared_ptr<FleetSettings const> m_settings;
    Timer m_timer;
    // The wait before this daemon appends a snapshot of the settings in force. It starts again
    // when the log is seen to contain them.
    Instant m_snapshotDelayStart;
    Microseconds m_snapshotDelay {};
    // The number of times that the log was restored from a copy. Unset until the first read.
    std::optional<uint64_t> m_logRestoreCount;
    bool m_isLogReachable { false };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

// Whether the text is a complete and valid configuration.
bool areValidSettings(std::string const& toml);

}

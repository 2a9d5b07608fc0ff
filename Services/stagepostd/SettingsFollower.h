#pragma once

#include <LibBase/Hooks.h>
#include <LibPlatform/LogClient.h>
#include <LibProxy/Timer.h>
#include <LibSettings/FleetSettings.h>
#include <LibSettings/PublicationReader.h>
#include <functional>
#include <memory>

namespace Stagepost {

// Keeps the accepted settings, from the log or from a peer. What has been
// applied never goes back to a lower revision.
class SettingsFollower {
public:
    using Applied = std::function<void()>;

    SettingsFollower(EventLoop&, LogClient, RandomHook, Applied);
    void start();

    // Takes settings that a peer has accepted. Returns whether they were newer.
    bool adopt(AcceptedSettings const&);

    // Null until some are known.
    std::shared_ptr<FleetSettings const> settings() const { return m_settings; }
    AcceptedSettings const& applied() const { return m_applied; }
    Revision revision() const { return m_applied.revision; }
    bool isLogReachable() const { return m_isLogReachable; }

private:
    void read();
    void take(Result<LogBatch> const&);
    void takeBatch(LogBatch const&);
    void noteReturn(LogBatch const&);
    void applyAccepted();
    void snapshotIfDue();
    void noteStanding();

    EventLoop& m_loop;
    LogClient m_log;
    RandomHook m_random;
    Applied m_appliedHook;
    PublicationReader m_reader;
    AcceptedSettings m_applied;
    std::shared_ptr<FleetSettings const> m_settings;
    Timer m_timer;
    // When the log was last seen to hold what is in force, and how long that lasts.
    Instant m_standsSince;
    Microseconds m_snapshotAfter {};
    // How often the log has come back from a copy, as far as is known.
    std::optional<uint64_t> m_returns;
    bool m_isLogReachable { false };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

// Whether a text is a tree that this daemon can serve from.
bool areValidSettings(std::string const& toml);

}

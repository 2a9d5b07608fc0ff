#pragma once

#include <LibProxy/Timer.h>
#include <functional>
#include <optional>
#include <stagepostd/SettingsHistory.h>
#include <stagepostd/SettingsSteps.h>

namespace Stagepost {

// Reads new configurations beside the requests: some steps, then whatever else is due,
// then some more. What is in force stays so until a new one is read to its end. While
// one is read only the newest of those that come waits; the one that is read is always
// finished, so that changes in quick succession never keep all of them from being used.
class SettingsLoader {
public:
    // A configuration as it came.
    struct PendingSettings {
        SettingsText text;
        // How it was update, if another daemon update it.
        std::optional<SettingsUpdate> update;
        // Called once it is in force, or a newer one is; not if it cannot be read.
        std::function<void()> onApplied;
        // Where the platform's records go on behind it; 0 where that is not known.
        uint64_t position { 0 };
        // When it began to be read, and how long requests waited for its longest runSlice.
        Instant startedAt {};
        Microseconds longestSlice { 0 };
    };

    struct Hooks {
        std::function<SettingsSteps(SettingsText const&)> parse;
        // Whether it is in force now, or a newer one: not if it could not be read.
        std::function<bool(Result<RouteTable::Parts>&&, PendingSettings const&)> parsed;
        // How long requests had to wait for one runSlice.
        std::function<void(Microseconds)> sliceFinished { [](Microseconds) {} };
    };

    SettingsLoader(EventLoop&, Hooks);

    void load(PendingSettings);
    bool isBusy() const { return m_current || m_next; }
    // Whether that version was update and is being read, or a newer one.
    bool isLoading(uint64_t version) const;

private:
    void startLoading(PendingSettings);
    void continueLoading();
    std::optional<Result<RouteTable::Parts>> runSlice();
    void finish(Result<RouteTable::Parts>);

    EventLoop& m_loop;
    Hooks m_hooks;
    Timer m_timer;
    std::optional<PendingSettings> m_current;
    SettingsSteps m_steps;
    std::optional<PendingSettings> m_next;
};

}

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
class SettingsIntake {
public:
    // A configuration as it came.
    struct Arrival {
        SettingsText text;
        // How it was told, if another daemon told it.
        std::optional<ToldSettings> told;
        // Called once it is in force, or a newer one is; not if it cannot be read.
        std::function<void()> inForce;
        // Where the platform's records go on behind it; 0 where that is not known.
        uint64_t position { 0 };
        // When it began to be read, and how long requests waited for its longest turn.
        Instant begunAt {};
        Microseconds longestTurn { 0 };
    };

    struct Hooks {
        std::function<SettingsSteps(SettingsText const&)> read;
        // Whether it is in force now, or a newer one: not if it could not be read.
        std::function<bool(Result<RouteTable::Parts>&&, Arrival const&)> taken;
        // How long requests had to wait for one turn.
        std::function<void(Microseconds)> turned { [](Microseconds) {} };
    };

    SettingsIntake(EventLoop&, Hooks);

    void take(Arrival);
    bool isBusy() const { return m_reading || m_waiting; }
    // Whether that version was told and is being read, or a newer one.
    bool isTaking(uint64_t version) const;

private:
    void begin(Arrival);
    void goOn();
    std::optional<Result<RouteTable::Parts>> turn();
    void finish(Result<RouteTable::Parts>);

    EventLoop& m_loop;
    Hooks m_hooks;
    Timer m_timer;
    std::optional<Arrival> m_reading;
    SettingsSteps m_steps;
    std::optional<Arrival> m_waiting;
};

}

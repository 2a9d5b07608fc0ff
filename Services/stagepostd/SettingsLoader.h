#pragma once

#include <LibProxy/Timer.h>
#include <functional>
#include <optional>
#include <stagepostd/IncrementalSettingsParser.h>
#include <stagepostd/SettingsHistory.h>

namespace Stagepost {

// Parses new configurations in short slices, between which the event loop handles requests. The
// current configuration stays in force until the new one is parsed completely. Of the
// configurations that arrive meanwhile only the newest is kept. Parsing is never aborted in favour
// of a newer configuration, or else changes in quick succession could keep any from taking effect.
class SettingsLoader {
public:
    // A configuration that is still to be parsed.
    struct PendingSettings {
        SettingsText text;
        // The update that it was made from, if it came from another daemon.
        std::optional<SettingsUpdate> update;
        // Called once this configuration or a newer one is in force; not if parsing fails.
        std::function<void()> onApplied;
        // The position in the platform's records that follows this configuration; 0 if unknown.
        uint64_t position { 0 };
        // When parsing started, and its longest slice.
        Instant startedAt {};
        Microseconds longestSlice { 0 };
    };

    struct Hooks {
        std::function<IncrementalSettingsParser(SettingsText const&)> parse;
        // Applies the result. Returns whether this configuration or a newer one is now in force,
        // which is false if parsing failed.
        std::function<bool(Result<RouteTable::Parts>&&, PendingSettings const&)> parsed;
        // Reports the duration of a slice, for which requests had to wait.
        std::function<void(Microseconds)> sliceFinished { [](Microseconds) {} };
    };

    SettingsLoader(EventLoop&, Hooks);

    void load(PendingSettings);
    bool isBusy() const { return m_current || m_next; }
    // Whether that version or a newer one, received from another daemon, is being parsed or waits.
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
    IncrementalSettingsParser m_parser;
    std::optional<PendingSettings> m_next;
};

}

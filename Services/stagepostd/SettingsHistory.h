#pragma once

#include <LibBase/Result.h>
#include <cstdint>
#include <deque>
#include <optional>
#include <stagepostd/IncrementalSettingsParser.h>
#include <string>
#include <vector>

namespace Stagepost {

// A configuration as gateways send it to each other: consecutive deltas that end at its text.
struct SettingsUpdate {
    struct Step {
        // The version that the delta produces.
        uint64_t version { 0 };
        // Made by makeDelta().
        std::string delta;

        bool operator==(Step const&) const = default;
    };

    // 0 if there is no configuration.
    uint64_t version { 0 };
    // The version that the first delta applies to; 0 for an empty text.
    uint64_t base { 0 };
    // Empty if the receiver has this version already, or if the deltas are too large for a link
    // between daemons, which also carries callers' streams. The receiver then reads the store.
    std::vector<Step> steps;
    // The position in the platform's records that follows this version; 0 if unknown.
    uint64_t position { 0 };
};

// Keeps the newest configuration as the platform wrote it, and the deltas of the last changes, so
// that other daemons get only the changes since their version. If every daemon read each new
// configuration from the store itself, a change would cost one store call per daemon and a
// megabyte on each link.
class SettingsHistory {
public:
    // Deltas that were received are kept and passed on unchanged. Only a daemon that has read the
    // configuration from the store computes a delta.
    void add(uint64_t version, SettingsText text, std::optional<SettingsUpdate> const& update);

    uint64_t version() const { return m_version; }
    // Empty if there is no configuration.
    std::string const& text() const { return *m_text; }
    SettingsUpdate updateSince(uint64_t known) const;
    // The text that the update produces. Error: Malformed, also if the update has no deltas or
    // applies to another version.
    Result<std::string> applyUpdate(SettingsUpdate const&) const;

private:
    // Changes in quick succession come at about four a second, and daemons ask every second.
    static constexpr size_t maxSteps = 8;
    // Of all deltas together. A relay sends to seven daemons: this many bytes take less than a
    // second on its link of 10 Mbit/s. Reading the text of 1.1 MB from the store would take as long
    // on each daemon's link.
    static constexpr size_t maxUpdateBytes = 128u << 10;

    uint64_t m_version { 0 };
    SettingsText m_text { makeSettingsText({}) };
    // The last deltas; each applies to the result of the one before.
    std::deque<SettingsUpdate::Step> m_steps;
    // The version that the first delta applies to.
    uint64_t m_base { 0 };
    // Delta from an empty text to the newest configuration; computed when first needed.
    mutable std::string m_fullDelta;
};

}

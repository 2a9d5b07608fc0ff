#pragma once

#include <LibBase/Result.h>
#include <cstdint>
#include <deque>
#include <optional>
#include <stagepostd/SettingsSteps.h>
#include <string>
#include <vector>

namespace Stagepost {

// A configuration as one gateway gives it to another: the changes that lead to it, one
// after the other.
struct SettingsUpdate {
    struct Step {
        // What it leads to.
        uint64_t version { 0 };
        // By makeDelta().
        std::string delta;

        bool operator==(Step const&) const = default;
    };

    // 0 for none.
    uint64_t version { 0 };
    // The version that the first step leads on from; 0 where that is an empty text.
    uint64_t base { 0 };
    // None where the other has that version already, or where they are too many bytes
    // for a link between daemons, which carries callers' streams: it reads the store then.
    std::vector<Step> steps;
    // Where the platform's records go on behind this version; 0 where that is not known.
    uint64_t position { 0 };
};

// The newest configuration as the platform wrote it, and the last changes. Others are
// update what leads from the one that they have. If each daemon reads every new one itself, a
// change costs as many calls to the store as there are daemons, and a megabyte on each link.
class SettingsHistory {
public:
    // The steps by which it was update are passed on as they are: only whoever has read a
    // configuration from the store works out what has changed.
    void add(uint64_t version, SettingsText text, std::optional<SettingsUpdate> const& update);

    uint64_t version() const { return m_version; }
    // Empty where there is none.
    std::string const& text() const { return *m_text; }
    SettingsUpdate updateSince(uint64_t known) const;
    // The text that was update. Error: Malformed, also where nothing was update or it leads on
    // from another configuration.
    Result<std::string> applyUpdate(SettingsUpdate const&) const;

private:
    // Changes in quick succession come some four a second, and others ask every second.
    static constexpr size_t maxSteps = 8;
    // Of all steps. A relay tells seven others: this takes a link of 10 Mbit/s less than
    // a second, and the store's own text of 1.1 MB would take each of theirs as long.
    static constexpr size_t maxUpdateBytes = 128u << 10;

    uint64_t m_version { 0 };
    SettingsText m_text { makeSettingsText({}) };
    // What leads to the newest, each on from the one before it.
    std::deque<SettingsUpdate::Step> m_steps;
    // What the first step leads on from.
    uint64_t m_base { 0 };
    // The newest from an empty text; made for the first that asks.
    mutable std::string m_fullDelta;
};

}

#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Stagepost {

// A daemon's entry in the registry, as it is stored.
struct RegistryRecord {
    std::string name;
    // None if the daemon is no longer registered.
    std::optional<std::string> text;

    bool operator==(RegistryRecord const&) const = default;
};

// The latest changes of the registry of daemons, each with the version that it produced.
// A daemon that reads the registry forwards them to others. If all daemons read the
// registry themselves, each daemon that joins or leaves would cost one call per daemon.
class RegistryHistory {
public:
    // Discards the history after the whole registry was read at this version.
    void reset(uint64_t version);
    void add(std::vector<RegistryRecord> const&, uint64_t version);

    uint64_t version() const { return m_version; }

    // Returns the latest record of each daemon that changed after this version. None if
    // the version is unknown or too old, or if the records don't fit into a message.
    std::optional<std::vector<RegistryRecord>> changesSince(uint64_t version) const;

private:
    // A rolling restart changes one record every second or two, and other daemons ask
    // for changes every second.
    static constexpr size_t maxChanges = 128;
    // This many records take 1.5 kB, which fits into one datagram.
    static constexpr size_t maxRecordsPerMessage = 14;

    struct Change {
        RegistryRecord record;
        uint64_t version { 0 };
    };

    uint64_t m_version { 0 };
    // The history holds all changes after this version.
    uint64_t m_baseVersion { 0 };
    std::deque<Change> m_changes;
};

}

#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Stagepost {

// How a daemon is registered, in the registry's own words.
struct RegistryRecord {
    std::string name;
    // None where the daemon is not registered any more.
    std::optional<std::string> text;

    bool operator==(RegistryRecord const&) const = default;
};

// The last changes of the registry of daemons, each with the version that it led to,
// so that one daemon that reads the registry can tell others what they lack. If all
// read it themselves, each daemon that comes or goes costs as many calls as there are
// daemons.
class RegistryHistory {
public:
    // All was read anew as of that version; nothing is known of before.
    void restart(uint64_t version);
    void add(std::vector<RegistryRecord> const&, uint64_t version);

    uint64_t version() const { return m_version; }

    // What has changed since that version, the newest of each daemon; none where that
    // is too long ago, too much for a message, or has never been known.
    std::optional<std::vector<RegistryRecord>> since(uint64_t version) const;

private:
    // A rolling restart changes a record a second or two, and others ask every second.
    static constexpr size_t longest = 128;
    // A message of so many is a kilobyte and a half, which is one datagram.
    static constexpr size_t mostTold = 14;

    struct Change {
        RegistryRecord record;
        uint64_t version { 0 };
    };

    uint64_t m_version { 0 };
    // Changes since this version are known.
    uint64_t m_oldest { 0 };
    std::deque<Change> m_changes;
};

}

#pragma once

#include <LibRouting/StreamOriginBatch.h>
#include <deque>
#include <functional>
#include <optional>

namespace Stagepost {

// Brings the records of where streams began to a daemon that appends them to the store's log, so that a hall makes few
// calls to the store. Messages are not acknowledged. Instead, the latest records are kept and passed on once more when
// another daemon takes over, or when the one that got them has started again. The log may contain a record twice.
class StreamOriginLogRelay {
public:
    struct Bounds {
        Microseconds interval { 50000 };
        // A datagram of 1.2 KB, which is not split on the way.
        size_t maxRecordsPerMessage { 48 };
        // It takes up to 1.4 s until a daemon is known to be silent.
        Microseconds repetitionTime { 3000000 };
        size_t maxRecords { 8192 };
    };

    struct Hooks {
        // The daemon that passes records on, or appends them. None if this daemon appends them.
        std::function<std::optional<VMId>()> appender;
        std::function<void(VMId to, std::string bytes)> send;
        // Adds the record to those that this daemon appends.
        std::function<void(StreamOriginRecord const&)> append;
    };

    StreamOriginLogRelay(Bounds bounds, Hooks hooks)
        : m_bounds(bounds)
        , m_hooks(std::move(hooks))
    {
    }

    void add(StreamOriginRecord const& record) { m_waiting.push_back(record); }
    // Takes the records of another daemon. Error: Malformed.
    Result<void> receive(std::string_view bytes);
    void peerStarted(VMId);
    void tick(Instant now);

private:
    struct Passed {
        StreamOriginRecord record;
        Instant at;
    };

    void passAgain();
    void passOn(VMId to, Instant now);

    Bounds m_bounds;
    Hooks m_hooks;
    std::optional<VMId> m_appender;
    std::vector<StreamOriginRecord> m_waiting;
    // In the order in which they were passed on.
    std::deque<Passed> m_passed;
    Instant m_nextMessageAt;
};

}

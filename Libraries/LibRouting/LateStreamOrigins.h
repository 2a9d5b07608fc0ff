#pragma once

#include <LibRouting/StreamOriginMessage.h>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace Stagepost {

// The streams that began while their service had one version, and so have no record at other daemons. Their records are sent
// once they are needed, spread over time: the latest streams first, since they last longest.
class LateStreamOrigins {
public:
    struct Bounds {
        // How many streams a second get their record late, when a second version has appeared.
        double perSecond { 100 };
        double perSecondInLargeFleet { 30 };
        // For so much time they are sent at once. Ticks come tens of milliseconds apart.
        Microseconds burst { 100000 };
        // Of each service.
        size_t maxRecords { 65536 };
    };

    struct Hooks {
        std::function<bool(std::string const& service, Instant now)> needsRecords;
        std::function<void(StreamOriginRecord const&)> send;
    };

    LateStreamOrigins(Bounds bounds, Hooks hooks)
        : m_bounds(bounds)
        , m_hooks(std::move(hooks))
    {
    }

    void add(std::string const& service, StreamOriginRecord const&, Instant now);
    void expire(Instant now);
    void send(bool isLargeFleet, Instant now);

private:
    struct Late {
        StreamOriginRecord record;
        Instant expiresAt;
    };

    Bounds m_bounds;
    Hooks m_hooks;
    // By service, in the order in which the streams began.
    std::map<std::string, std::deque<Late>> m_late;
    Instant m_nextAt;
};

}

#pragma once

#include <LibProxy/EventProgress.h>
#include <string>
#include <string_view>

namespace Stagepost {

// Splits a stream of server-sent events into complete events. Incomplete events and
// events whose id was forwarded before are not returned, so a stream that is resumed
// from another upstream neither repeats events nor joins parts of different ones.
class EventSplitter {
public:
    explicit EventSplitter(EventProgress& progress)
        : m_progress(progress)
    {
    }

    // Appends bytes of the stream and returns the new events that they complete.
    std::string append(std::string_view bytes);

    bool hasIncompleteEvent() const { return !m_incompleteEvent.empty(); }
    // Whether an event is larger than any that upstreams send, so that its end is not worth waiting for.
    bool hasOverlongEvent() const { return m_incompleteEvent.size() > maxEventBytes; }

private:
    static constexpr size_t maxEventBytes = 1u << 20;

    // Also records the event as forwarded if it is new.
    bool checkNew(std::string_view event);

    EventProgress& m_progress;
    std::string m_incompleteEvent;
};

}

#pragma once

#include <LibProxy/EventProgress.h>
#include <string>
#include <string_view>

namespace Stagepost {

// Cuts a stream of server-sent events into whole events. What is left of an
// event that never ends is never given out, and an event whose id was passed on
// before is left out, so that a stream taken up at another upstream neither
// repeats nor mixes events.
class EventSplitter {
public:
    explicit EventSplitter(EventProgress& progress)
        : m_progress(progress)
    {
    }

    // Takes the next bytes and gives the whole events that they complete.
    std::string take(std::string_view bytes);

    // Whether an event has begun and not ended.
    bool isInsideEvent() const { return !m_rest.empty(); }

private:
    bool isNew(std::string_view event);

    EventProgress& m_progress;
    std::string m_rest;
};

}

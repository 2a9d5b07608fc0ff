#pragma once

#include <LibProxy/EventFormat.h>
#include <LibProxy/EventProgress.h>
#include <optional>
#include <string>
#include <string_view>

namespace Stagepost {

// Reads the events of a stream from the body of one answer. Only whole events of the stream's format are returned.
// At the first bytes of another form, reading ends: upstreams may send bytes that belong to no request, in the middle of an event
// too, and nothing after them can be relied on.
//
// Events whose id was forwarded before are left out, so a stream that is resumed from another upstream
// neither repeats events nor joins parts of different ones.
class EventReader {
public:
    EventReader(EventProgress& progress, EventFormat format)
        : m_progress(progress)
        , m_format(format)
    {
    }

    // Appends bytes of the body and returns the new events that they complete.
    std::string append(std::string_view bytes);

    bool hasIncompleteEvent() const { return !m_bytes.empty(); }
    // Set once the body contains something that is no part of an event.
    std::optional<EventFault> const& fault() const { return m_fault; }
    // What is wrong, after which event, and how the event or the foreign bytes begin.
    std::string describeFault() const;

private:
    // Larger than any event that upstreams send.
    static constexpr size_t maxEventBytes = 1u << 20;

    // What the lines of the current event have shown.
    struct Event {
        std::optional<uint64_t> id;
        bool hasData { false };
        // Whether there is more than comments and the delay before reconnections.
        bool hasContent { false };
    };

    // Handles the line without its end, and the blank line that ends an event.
    std::optional<EventFault> readLine(std::string_view line);
    std::optional<EventFault> readField(std::string_view name, std::string_view value);
    std::optional<EventFault> readId(std::string_view value);
    std::optional<EventFault> removeLineEnd(std::string_view& line);
    std::optional<EventFault> checkNumber() const;
    std::optional<EventFault> finishEvent(std::string& newEvents);
    bool isNumbered() const { return m_format.numbering != EventNumbering::None; }

    EventProgress& m_progress;
    EventFormat m_format;
    // The bytes of the current event.
    std::string m_bytes;
    // Where its first line begins that is not read yet.
    size_t m_nextLine { 0 };
    // Where the line that was read last begins.
    size_t m_lastLine { 0 };
    Event m_event;
    // The id of the last event of this answer.
    std::optional<uint64_t> m_lastId;
    std::optional<bool> m_hasCarriageReturns;
    std::optional<EventFault> m_fault;
};

}

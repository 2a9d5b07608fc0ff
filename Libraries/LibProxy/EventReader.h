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
// Where it is not known whether ids count the events, one that leaves numbers out is held back until two more events
// have come, or the end. A foreign event in a stream that counts is followed by a lower id by then.
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
    // Returns the events that were held back. To be called at the end of a body that is whole.
    std::string finish();

    bool hasIncompleteEvent() const { return !m_bytes.empty(); }
    // The memory that the incomplete event and those held back take.
    size_t heldBytes() const { return m_bytes.capacity() + m_heldEvents.capacity(); }
    // Whether the answer has had an event, which the client may have got before.
    bool hasEvents() const { return m_hasEvents; }
    // Whether the answer has begun the stream again, and not reached the event that the client has.
    bool isBehindClient() const { return m_lastId && m_progress.lastForwardedId && *m_lastId < *m_progress.lastForwardedId; }
    // Why the body may not end where it does; empty if it may.
    std::string_view describeEarlyEnd() const;
    // Set once the body contains something that is no part of an event.
    std::optional<EventFault> const& fault() const { return m_fault; }
    // What is wrong, and after which event. It has none of the foreign bytes.
    std::string describeFault() const;
    // How the foreign bytes begin, for the log. They may be meant for another client.
    std::string_view foreignBytes() const;

private:
    // Larger than any event that upstreams send.
    static constexpr size_t maxEventBytes = 1u << 20;
    // The event that leaves numbers out, and those behind it.
    static constexpr size_t maxHeldEvents = 3;

    // What the lines of the current event have shown. Numbered events have their fields in this order.
    enum class Part : uint8_t {
        None,
        // A comment, or the delay before reconnections. They come between numbered events, not in them.
        Aside,
        Extra,
        Id,
        Type,
        Data,
    };

    // Handles a line without its end, but for the blank line that ends an event.
    std::optional<EventFault> readLine(std::string_view line);
    std::optional<EventFault> readField(std::string_view name, std::string_view value);
    std::optional<EventFault> readNumberedField(std::string_view name, std::string_view value);
    // Goes on to the part that a field belongs to, unless the event may not have it there.
    std::optional<EventFault> enterPart(Part);
    std::optional<EventFault> removeLineEnd(std::string_view& line);
    std::optional<EventFault> checkId(uint64_t) const;
    // Whether the id is not the next number.
    bool leavesOutNumbers(uint64_t id) const;
    std::optional<EventFault> finishEvent(std::string_view event, std::string& newEvents);
    std::optional<EventFault> finishNumberedEvent(std::string_view event, std::string& newEvents);
    void passOn(std::string_view event, bool isNext, std::string& newEvents);
    void passOnHeldEvents(std::string& newEvents);
    std::optional<EventFault> checkIncompleteLine(size_t newBytes) const;
    // Whether a lower id has shown that the events that were held back don't belong to the stream.
    bool areHeldEventsForeign() const { return m_heldCount && m_fault == EventFault::MissingEvent; }
    bool isExtraField(std::string_view name) const;
    bool isNumbered() const { return m_format.numbering != EventNumbering::None; }

    EventProgress& m_progress;
    EventFormat m_format;
    // The bytes of the current event.
    std::string m_bytes;
    // Where the first of its lines begins that is not read yet.
    size_t m_nextLine { 0 };
    Part m_part { Part::None };
    std::optional<uint64_t> m_id;
    // The id of the last event of this answer.
    std::optional<uint64_t> m_lastId;
    // The events that are held back, and how many of them leave numbers out.
    std::string m_heldEvents;
    size_t m_heldCount { 0 };
    uint64_t m_heldGaps { 0 };
    bool m_hasEvents { false };
    std::optional<bool> m_hasCarriageReturns;
    std::optional<EventFault> m_fault;
    // Where the foreign bytes begin.
    size_t m_faultAt { 0 };
};

}

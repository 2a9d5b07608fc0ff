#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace Stagepost {

// What the ids of a stream's events say.
enum class EventNumbering : uint8_t {
    // Events may have no id, or one of any form.
    None,
    // The ids count the events of the stream, from 1 on.
    Consecutive,
    // The ids rise, and leave numbers out.
    Rising,
    // The ids rise. Whether they count the events is not known.
    Unknown,
};

// The name in logs, for example "consecutive".
std::string_view nameOf(EventNumbering);

// The form of the events that the upstreams of a route send. Bytes of another form belong to no event.
struct EventFormat {
    EventNumbering numbering { EventNumbering::None };
    // The names of fields beside those of server-sent events.
    std::span<std::string_view const> extraFields {};
};

// Why bytes are not part of an event stream.
enum class EventFault : uint8_t {
    // Neither a comment nor one of the fields that events have.
    UnknownField,
    // One that does not come at its place in an event, or a comment inside one.
    MisplacedField,
    ControlCharacter,
    InvalidUtf8,
    // Lines end in line feeds, or in carriage returns and line feeds, but not in both within one answer.
    MixedLineEnds,
    MissingId,
    // The id is no decimal number of 64 bits.
    InvalidId,
    SecondId,
    // The id is not above that of the event before.
    IdNotRising,
    // An event was left out, or does not belong to the stream.
    MissingEvent,
    MissingData,
    TooLong,
    // The head names another type of content.
    OtherType,
    Count,
};

// The name in logs and metrics, for example "missing-id".
std::string_view nameOf(EventFault);

}

#include <LibProxy/EventReader.h>

#include <LibBase/Utf8.h>
#include <algorithm>
#include <charconv>

namespace Stagepost {

namespace {

    constexpr std::string_view idField = "id";
    constexpr std::string_view dataField = "data";
    constexpr std::string_view eventField = "event";
    constexpr std::string_view retryField = "retry";

    bool isControl(char byte)
    {
        constexpr unsigned char firstPrintable = 0x20;
        constexpr unsigned char deleteCharacter = 0x7f;
        auto const value = static_cast<unsigned char>(byte);
        return (value < firstPrintable && byte != '\t') || value == deleteCharacter;
    }

    bool hasControls(std::string_view text)
    {
        return std::any_of(text.begin(), text.end(), isControl);
    }

    std::optional<uint64_t> parseNumber(std::string_view digits)
    {
        uint64_t number = 0;
        auto const* const last = digits.data() + digits.size();
        auto const [end, failure] = std::from_chars(digits.data(), last, number);
        bool const hasLeadingZero = digits.size() > 1 && digits.front() == '0';
        return failure == std::errc() && end == last && !hasLeadingZero ? std::optional(number) : std::nullopt;
    }

}

std::string EventReader::append(std::string_view bytes)
{
    std::string newEvents;
    if (m_fault)
        return newEvents;
    // A carriage return may have ended the earlier bytes.
    auto const checkFrom = m_bytes.size() - (m_bytes.ends_with('\r') ? 1 : 0);
    auto searchFrom = m_bytes.size();
    size_t erased = 0;
    m_bytes += bytes;
    for (auto end = m_bytes.find('\n', searchFrom); end != std::string::npos && !m_fault; end = m_bytes.find('\n', searchFrom)) {
        auto line = std::string_view(m_bytes).substr(m_nextLine, end - m_nextLine);
        m_fault = removeLineEnd(line);
        bool const isBlank = line.empty();
        m_lastLine = m_nextLine;
        m_nextLine = searchFrom = end + 1;
        if (!m_fault)
            m_fault = isBlank ? finishEvent(newEvents) : readLine(line);
        if (!m_fault && isBlank) {
            erased += m_nextLine;
            m_bytes.erase(0, m_nextLine);
            m_nextLine = searchFrom = 0;
            m_event = {};
        }
    }
    if (m_fault)
        return newEvents;
    m_lastLine = m_nextLine;
    auto rest = std::string_view(m_bytes).substr(std::max(m_nextLine, checkFrom - std::min(checkFrom, erased)));
    if (rest.ends_with('\r'))
        rest.remove_suffix(1);
    if (hasControls(rest))
        m_fault = EventFault::ControlCharacter;
    else if (m_bytes.size() > maxEventBytes)
        m_fault = EventFault::TooLong;
    return newEvents;
}

std::optional<EventFault> EventReader::removeLineEnd(std::string_view& line)
{
    bool const hasCarriageReturn = line.ends_with('\r');
    if (hasCarriageReturn)
        line.remove_suffix(1);
    if (m_hasCarriageReturns.value_or(hasCarriageReturn) != hasCarriageReturn)
        return EventFault::MixedLineEnds;
    m_hasCarriageReturns = hasCarriageReturn;
    return {};
}

std::optional<EventFault> EventReader::readLine(std::string_view line)
{
    if (hasControls(line))
        return EventFault::ControlCharacter;
    if (!isValidUtf8(line))
        return EventFault::InvalidUtf8;
    auto const colon = line.find(':');
    // Where events are numbered, a comment behind a field is rather a spoiled end of the event.
    if (colon == 0)
        return isNumbered() && m_event.hasContent ? std::optional(EventFault::UnknownField) : std::nullopt;
    if (colon != std::string_view::npos) {
        auto value = line.substr(colon + 1);
        if (value.starts_with(' '))
            value.remove_prefix(1);
        return readField(line.substr(0, colon), value);
    }
    // A field may also stand without a value. Where events are numbered, such a line is rather the beginning of a longer one.
    return isNumbered() ? EventFault::UnknownField : readField(line, {});
}

std::optional<EventFault> EventReader::readField(std::string_view name, std::string_view value)
{
    if (name == retryField)
        return {};
    m_event.hasContent = true;
    if (name == idField)
        return isNumbered() ? readId(value) : std::nullopt;
    if (name == dataField)
        m_event.hasData = true;
    bool const isExtra = std::find(m_format.extraFields.begin(), m_format.extraFields.end(), name) != m_format.extraFields.end();
    return name == dataField || name == eventField || isExtra ? std::nullopt : std::optional(EventFault::UnknownField);
}

std::optional<EventFault> EventReader::readId(std::string_view value)
{
    if (m_event.id)
        return EventFault::SecondId;
    m_event.id = parseNumber(value);
    return m_event.id ? std::nullopt : std::optional(EventFault::InvalidId);
}

// An upstream may begin a resumed stream with events that the caller has.
std::optional<EventFault> EventReader::checkNumber() const
{
    if (!m_event.id)
        return EventFault::MissingId;
    auto const id = *m_event.id;
    if (m_lastId && id <= *m_lastId)
        return EventFault::IdNotRising;
    if (m_format.numbering != EventNumbering::Consecutive)
        return {};
    if (!id)
        return EventFault::InvalidId;
    auto const last = m_lastId.value_or(m_progress.lastId().value_or(0));
    return id - 1 > last ? std::optional(EventFault::MissingEvent) : std::nullopt;
}

std::optional<EventFault> EventReader::finishEvent(std::string& newEvents)
{
    auto const event = std::string_view(m_bytes).substr(0, m_nextLine);
    if (!isNumbered()) {
        newEvents += event;
        m_progress.eventCount += m_event.hasData ? 1 : 0;
        return {};
    }
    // What callers get is one event for each id, so keep-alive comments are left out.
    if (!m_event.hasContent)
        return {};
    if (auto const fault = checkNumber())
        return fault;
    if (!m_event.hasData)
        return EventFault::MissingData;
    m_lastId = m_event.id;
    if (m_progress.lastForwardedId && *m_lastId <= *m_progress.lastForwardedId)
        return {};
    m_progress.lastForwardedId = m_lastId;
    ++m_progress.eventCount;
    newEvents += event;
    return {};
}

std::string EventReader::describeFault() const
{
    if (!m_fault)
        return {};
    constexpr size_t maxShownBytes = 80;
    auto const after = m_lastId ? "event " + std::to_string(*m_lastId) : std::string("the head");
    return "foreign bytes in the stream: " + std::string(nameOf(*m_fault)) + " after " + after + ": " + m_bytes.substr(m_lastLine, maxShownBytes);
}

std::string_view nameOf(EventFault fault)
{
    switch (fault) {
    case EventFault::UnknownField:
        return "unknown-field";
    case EventFault::ControlCharacter:
        return "control-character";
    case EventFault::InvalidUtf8:
        return "invalid-utf-8";
    case EventFault::MixedLineEnds:
        return "mixed-line-ends";
    case EventFault::MissingId:
        return "missing-id";
    case EventFault::InvalidId:
        return "invalid-id";
    case EventFault::SecondId:
        return "second-id";
    case EventFault::IdNotRising:
        return "id-not-rising";
    case EventFault::MissingEvent:
        return "missing-event";
    case EventFault::MissingData:
        return "missing-data";
    case EventFault::TooLong:
        return "too-long";
    case EventFault::Count:
        break;
    }
    return "unknown";
}

}

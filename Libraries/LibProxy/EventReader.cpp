#include <LibProxy/EventReader.h>

#include <LibBase/Utf8.h>
#include <algorithm>
#include <charconv>
#include <utility>

namespace Stagepost {

namespace {

    // What a whole event leaves of its memory for the next one.
    constexpr size_t maxKeptCapacity = 16u << 10; // bytes
    constexpr std::string_view idField = "id";
    constexpr std::string_view dataField = "data";
    constexpr std::string_view eventField = "event";
    constexpr std::string_view retryField = "retry";

    bool hasControls(std::string_view text)
    {
        return std::any_of(text.begin(), text.end(), [](char byte) { return byte != '\t' && isControlCharacter(byte); });
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
    auto const searchFrom = m_bytes.size();
    m_bytes += bytes;
    size_t eventBegin = 0;
    for (auto lineEnd = m_bytes.find('\n', searchFrom); lineEnd != std::string::npos; lineEnd = m_bytes.find('\n', m_nextLine)) {
        m_faultAt = std::exchange(m_nextLine, lineEnd + 1);
        auto line = std::string_view(m_bytes).substr(m_faultAt, lineEnd - m_faultAt);
        m_fault = removeLineEnd(line);
        if (!m_fault && !line.empty()) {
            m_fault = readLine(line);
        } else if (!m_fault) {
            m_faultAt = eventBegin;
            m_fault = finishEvent(std::string_view(m_bytes).substr(eventBegin, m_nextLine - eventBegin), newEvents);
            eventBegin = m_fault ? eventBegin : m_nextLine;
            m_part = Part::None;
            m_id = {};
        }
        if (m_fault)
            return newEvents;
    }
    m_bytes.erase(0, eventBegin);
    if (eventBegin && m_bytes.capacity() > maxKeptCapacity)
        m_bytes.shrink_to_fit();
    m_nextLine -= eventBegin;
    m_faultAt = m_nextLine;
    m_fault = checkIncompleteLine(bytes.size());
    return newEvents;
}

// The bytes before the new ones are sound, but for a carriage return at their end.
std::optional<EventFault> EventReader::checkIncompleteLine(size_t newBytes) const
{
    auto line = std::string_view(m_bytes).substr(m_nextLine);
    line.remove_prefix(line.size() - std::min(line.size(), newBytes + 1));
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (hasControls(line))
        return EventFault::ControlCharacter;
    return m_bytes.size() > maxEventBytes ? std::optional(EventFault::TooLong) : std::nullopt;
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
    // A field may also stand without a value. Where events are numbered, such a line is rather the beginning of a longer one.
    if (colon == std::string_view::npos)
        return isNumbered() ? EventFault::UnknownField : readField(line, {});
    auto value = line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    auto const name = line.substr(0, colon);
    return isNumbered() ? readNumberedField(name, value) : readField(name, value);
}

bool EventReader::isExtraField(std::string_view name) const
{
    return std::find(m_format.extraFields.begin(), m_format.extraFields.end(), name) != m_format.extraFields.end();
}

std::optional<EventFault> EventReader::readField(std::string_view name, std::string_view)
{
    if (name == dataField)
        m_part = Part::Data;
    bool const isKnown = name.empty() || name == idField || name == dataField || name == eventField || name == retryField || isExtraField(name);
    return isKnown ? std::nullopt : std::optional(EventFault::UnknownField);
}

// Lines that are cut off from their event, or belong to none, join the next event. So the fields must come in one order, and comments
// and delays stand alone.
std::optional<EventFault> EventReader::enterPart(Part part)
{
    if (part > Part::Id && !m_id)
        return EventFault::MissingId;
    bool const mayRepeat = part == Part::Aside || part == Part::Extra || part == Part::Data;
    bool const isInOrder = part > m_part || (part == m_part && mayRepeat);
    bool const isBehindAside = m_part == Part::Aside && part != Part::Aside;
    if (!isInOrder || isBehindAside)
        return EventFault::MisplacedField;
    m_part = part;
    return {};
}

std::optional<EventFault> EventReader::readNumberedField(std::string_view name, std::string_view value)
{
    if (name == idField) {
        auto const id = parseNumber(value);
        if (!id)
            return EventFault::InvalidId;
        if (m_id)
            return EventFault::SecondId;
        m_id = id;
        return enterPart(Part::Id);
    }
    if (name == dataField)
        return enterPart(Part::Data);
    if (name == eventField)
        return enterPart(Part::Type);
    if (isExtraField(name))
        return enterPart(Part::Extra);
    if (name.empty() || (name == retryField && parseNumber(value)))
        return enterPart(Part::Aside);
    return EventFault::UnknownField;
}

std::optional<EventFault> EventReader::checkId(uint64_t id) const
{
    if (m_lastId && id <= *m_lastId)
        return m_heldCount ? EventFault::MissingEvent : EventFault::IdNotRising;
    if (m_format.numbering != EventNumbering::Consecutive)
        return {};
    if (!id)
        return EventFault::InvalidId;
    return leavesOutNumbers(id) ? std::optional(EventFault::MissingEvent) : std::nullopt;
}

// An upstream may begin a resumed stream with events that the client has. One whose stream must not be resumed begins at its first event, or
// after the last one that the client says to have.
bool EventReader::leavesOutNumbers(uint64_t id) const
{
    if (!id)
        return true;
    auto const last = m_lastId.value_or(m_progress.lastForwardedId.value_or(0));
    bool const isAfterClientsLast = !m_lastId && m_progress.lastIdOfClient && id - 1 == *m_progress.lastIdOfClient;
    return id - 1 > last && !isAfterClientsLast;
}

std::optional<EventFault> EventReader::finishEvent(std::string_view event, std::string& newEvents)
{
    if (event.size() > maxEventBytes)
        return EventFault::TooLong;
    if (!isNumbered()) {
        newEvents += event;
        bool const hasData = m_part == Part::Data;
        m_hasEvents |= hasData;
        m_progress.hasUnnumberedData |= hasData;
        m_progress.eventCount += hasData ? 1 : 0;
        return {};
    }
    // A foreign comment could not be told from the upstream's, so none is passed on.
    if (m_part == Part::None || m_part == Part::Aside)
        return {};
    return finishNumberedEvent(event, newEvents);
}

std::optional<EventFault> EventReader::finishNumberedEvent(std::string_view event, std::string& newEvents)
{
    if (!m_id)
        return EventFault::MissingId;
    if (auto const fault = checkId(*m_id))
        return fault;
    if (m_part != Part::Data)
        return EventFault::MissingData;
    bool const isNext = !leavesOutNumbers(*m_id);
    m_lastId = m_id;
    m_hasEvents = true;
    if (m_progress.lastForwardedId && *m_id <= *m_progress.lastForwardedId)
        return {};
    // A stream that has left numbers out before may do so again.
    bool const isDoubtful = m_format.numbering == EventNumbering::Unknown && !m_progress.gaps;
    if (!isDoubtful || (isNext && !m_heldCount)) {
        passOn(event, isNext, newEvents);
        return {};
    }
    m_heldEvents += event;
    ++m_heldCount;
    m_heldGaps += isNext ? 0 : 1;
    if (m_heldCount >= maxHeldEvents)
        passOnHeldEvents(newEvents);
    return {};
}

void EventReader::passOn(std::string_view event, bool isNext, std::string& newEvents)
{
    m_progress.lastForwardedId = m_lastId;
    ++m_progress.eventCount;
    ++(isNext ? m_progress.nextNumbers : m_progress.gaps);
    newEvents += event;
}

void EventReader::passOnHeldEvents(std::string& newEvents)
{
    if (!m_heldCount)
        return;
    m_progress.lastForwardedId = m_lastId;
    m_progress.eventCount += m_heldCount;
    m_progress.gaps += m_heldGaps;
    m_progress.nextNumbers += m_heldCount - m_heldGaps;
    newEvents += std::exchange(m_heldEvents, {});
    m_heldCount = 0;
    m_heldGaps = 0;
}

std::string EventReader::finish()
{
    std::string newEvents;
    passOnHeldEvents(newEvents);
    return newEvents;
}

std::string_view EventReader::describeEarlyEnd() const
{
    if (hasIncompleteEvent())
        return "the stream ended inside an event";
    return isBehindClient() ? "the stream ended before the last event that the client has" : std::string_view();
}

std::string EventReader::describeFault() const
{
    if (!m_fault)
        return {};
    auto const last = areHeldEventsForeign() ? m_progress.lastForwardedId : m_lastId;
    auto const after = last ? "event " + std::to_string(*last) : std::string("the head");
    return "foreign bytes in the stream: " + std::string(nameOf(*m_fault)) + " after " + after;
}

std::string_view EventReader::foreignBytes() const
{
    constexpr size_t maxShownBytes = 40;
    if (!m_fault)
        return {};
    return areHeldEventsForeign() ? std::string_view(m_heldEvents).substr(0, maxShownBytes) : std::string_view(m_bytes).substr(m_faultAt, maxShownBytes);
}

std::string_view nameOf(EventNumbering numbering)
{
    switch (numbering) {
    case EventNumbering::None:
        return "none";
    case EventNumbering::Consecutive:
        return "consecutive";
    case EventNumbering::Rising:
        return "rising";
    case EventNumbering::Unknown:
        break;
    }
    return "unknown";
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
    case EventFault::MisplacedField:
        return "misplaced-field";
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
    case EventFault::OtherType:
        return "other-type";
    case EventFault::Count:
        break;
    }
    return "unknown";
}

}

#include <LibProxy/EventReader.h>
#include <array>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace Stagepost;

namespace {

constexpr std::array extraFields { std::string_view("x-version") };
constexpr EventFormat counted { EventNumbering::Consecutive, extraFields };
constexpr EventFormat rising { EventNumbering::Rising, extraFields };
constexpr EventFormat unknown { EventNumbering::Unknown, extraFields };

std::string makeEvent(uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: word" + std::to_string(id) + "\n\n";
}

std::string makeEvents(uint64_t first, uint64_t last)
{
    std::string events;
    for (auto id = first; id <= last; ++id)
        events += makeEvent(id);
    return events;
}

// What a client gets of a body that arrives in reads of the given size, and why reading has ended.
struct Outcome {
    std::string events;
    std::optional<EventFault> fault;
    bool isCut { false };
};

Outcome read(std::string_view body, EventFormat format, EventProgress& progress, size_t readSize = std::string_view::npos)
{
    EventReader reader(progress, format);
    Outcome outcome;
    while (!body.empty()) {
        outcome.events += reader.append(body.substr(0, readSize));
        body.remove_prefix(std::min(readSize, body.size()));
    }
    outcome.fault = reader.fault();
    outcome.isCut = outcome.fault || reader.hasIncompleteEvent();
    if (!outcome.isCut)
        outcome.events += reader.finish();
    return outcome;
}

Outcome read(std::string_view body, EventFormat format = counted, size_t readSize = std::string_view::npos)
{
    EventProgress progress;
    return read(body, format, progress, readSize);
}

}

BOOST_AUTO_TEST_SUITE(EventReaderTests)

BOOST_AUTO_TEST_CASE(ReturnsOnlyCompleteEvents)
{
    EventProgress progress;
    EventReader reader(progress, counted);
    BOOST_TEST(reader.append("id: 1\ndata: a") == "");
    BOOST_TEST(reader.hasIncompleteEvent());
    BOOST_TEST(reader.append("\n\nid: 2\n") == "id: 1\ndata: a\n\n");
    BOOST_TEST(*progress.lastForwardedId == 1u);
    BOOST_TEST(reader.append("data: b\n\n") == "id: 2\ndata: b\n\n");
    BOOST_TEST(!reader.hasIncompleteEvent());
    BOOST_TEST(progress.eventCount == 2u);
}

// Guards against streams that keep the memory of their largest event.
BOOST_AUTO_TEST_CASE(ReleasesTheMemoryOfALargeEvent)
{
    constexpr size_t largeSize = 500'000;
    constexpr size_t ordinarySize = 20'000;
    EventProgress progress;
    EventReader reader(progress, counted);
    reader.append("id: 1\ndata: " + std::string(largeSize, 'x'));
    BOOST_TEST(reader.heldBytes() >= largeSize);
    BOOST_TEST(reader.append("\n\nid: 2\n").size() > largeSize);
    BOOST_TEST(reader.heldBytes() < ordinarySize);
}

BOOST_AUTO_TEST_CASE(AcceptsCarriageReturnLineFeeds)
{
    EventProgress progress;
    progress.lastForwardedId = 6;
    EventReader reader(progress, counted);
    BOOST_TEST(reader.append("id:7\r\ndata: a\r\n\r\nid:8\r") == "id:7\r\ndata: a\r\n\r\n");
    BOOST_TEST(reader.append("\ndata: b\r\n\r\n") == "id:8\r\ndata: b\r\n\r\n");
    BOOST_TEST(*progress.lastForwardedId == 8u);
}

BOOST_AUTO_TEST_CASE(LeavesOutEventsThatWereForwarded)
{
    EventProgress progress;
    progress.lastForwardedId = 3;
    BOOST_TEST(read(makeEvents(2, 4), counted, progress).events == makeEvent(4));
}

BOOST_AUTO_TEST_CASE(AcceptsAllFieldsOfEvents)
{
    std::string const events = "x-version: 4\nid: 1\nevent: token\ndata: a\ndata: \xc3\xa4\tb\n\nid: 2\ndata:\n\n";
    BOOST_TEST(read(events).events == events);
    BOOST_TEST(!read(events).isCut);
}

// Keep-alive comments carry nothing to callers, and a foreign one must not reach them either.
BOOST_AUTO_TEST_CASE(LeavesOutBlocksWithoutContent)
{
    auto const outcome = read(": comment\n\n" + makeEvent(1) + "retry: 5\n: comment\n\n\n" + makeEvent(2));
    BOOST_TEST(outcome.events == makeEvents(1, 2));
    BOOST_TEST(!outcome.isCut);
}

// Guards against foreign bytes of an upstream that reach callers as an event of their stream.
BOOST_AUTO_TEST_CASE(StopsAtForeignBytesBetweenEvents)
{
    std::string const secondAnswer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\nContent-Length: 2\r\n\r\nok";
    std::vector<std::pair<std::string, EventFault>> const cases {
        { secondAnswer, EventFault::MixedLineEnds },
        { "HTTP/1.1 200 OK\nX-Attempt-Id: 9c41\n\n", EventFault::UnknownField },
        { "id: 3\nda" + secondAnswer, EventFault::MixedLineEnds },
        { "id: 3\ndata: wo" + secondAnswer, EventFault::MixedLineEnds },
        { "\x01\x02\x9f\n\n", EventFault::ControlCharacter },
        { "some words\n\n", EventFault::UnknownField },
        { "some: words\n\n", EventFault::UnknownField },
        { "data: x\n\n", EventFault::MissingId },
        { "event: x\n\n", EventFault::MissingId },
        { "id:\ndata: x\n\n", EventFault::InvalidId },
        { "id\ndata: x\n\n", EventFault::UnknownField },
        { "id: three\ndata: x\n\n", EventFault::InvalidId },
        { "id: 3zq\ndata: x\n\n", EventFault::InvalidId },
        { "id: -3\ndata: x\n\n", EventFault::InvalidId },
        { "id: +3\ndata: x\n\n", EventFault::InvalidId },
        { "id: 03\ndata: x\n\n", EventFault::InvalidId },
        { "id:  3\ndata: x\n\n", EventFault::InvalidId },
        { "id: 18446744073709551616\ndata: x\n\n", EventFault::InvalidId },
        { "id: 18446744073709551615\ndata: x\n\n", EventFault::MissingEvent },
        { "id: 3\nid: 3\ndata: x\n\n", EventFault::SecondId },
        { "id: 2\ndata: x\n\n", EventFault::IdNotRising },
        { "id: 0\ndata: x\n\n", EventFault::IdNotRising },
        { "id: 4\ndata: x\n\n", EventFault::MissingEvent },
        { "id: 3\n\n", EventFault::MissingData },
        { "id: 3\ndata\n\n", EventFault::UnknownField },
        { std::string("id: 3\ndata: a\0b\n\n", 16), EventFault::ControlCharacter },
        { "id: 3\ndata: a\rb\n\n", EventFault::ControlCharacter },
        { "id: 3\ndata: a\x7f\n\n", EventFault::ControlCharacter },
        { "id: 3\ndata: a\xff\n\n", EventFault::InvalidUtf8 },
        { "id: 3\ndata: a\xc3\n\n", EventFault::InvalidUtf8 },
        { "id: 3\ndata: a\xc0\xaf\n\n", EventFault::InvalidUtf8 },
        { ": \xed\xa0\x80\n\n", EventFault::InvalidUtf8 },
        { "id: 3\ntext: x\ndata: x\n\n", EventFault::UnknownField },
        { "id: 3\ndata: x\n: comment\n\n", EventFault::MisplacedField },
        { "id: 3\n: comment\ndata: x\n\n", EventFault::MisplacedField },
        { "id: 3\nretry: 5\ndata: x\n\n", EventFault::MisplacedField },
        { "id: 3\nevent: x\nevent: y\ndata: x\n\n", EventFault::MisplacedField },
        { "id: 3\ndata: x\nevent: y\n\n", EventFault::MisplacedField },
        { "id: 3\nx-version: 4\ndata: x\n\n", EventFault::MisplacedField },
        { "x-version: 4\n\n", EventFault::MissingId },
        { "retry: HTTP/1.1 200 OK\n\n", EventFault::UnknownField },
        // Lines without a blank line behind them would join the next event.
        { "data: x\n", EventFault::MissingId },
        { "event: x\n", EventFault::MissingId },
        { ": x\n", EventFault::MisplacedField },
        { "retry: 5\n", EventFault::MisplacedField },
        { "id: 3\ndata: x\r\n\r\n", EventFault::MixedLineEnds },
        { "\r\n", EventFault::MixedLineEnds },
        { "\xef\xbb\xbfid: 3\ndata: x\n\n", EventFault::UnknownField },
    };
    for (auto const& [foreign, fault] : cases) {
        for (size_t const readSize : { size_t(1), size_t(3), std::string::npos }) {
            BOOST_TEST_CONTEXT(foreign << " in reads of " << readSize)
            {
                auto const outcome = read(makeEvents(1, 2) + foreign + makeEvents(3, 5), counted, readSize);
                BOOST_TEST(outcome.events == makeEvents(1, 2));
                BOOST_TEST((outcome.fault == fault), nameOf(outcome.fault.value_or(EventFault::Count)));
            }
        }
    }
}

// Nothing numbered comes before the first event.
BOOST_AUTO_TEST_CASE(StopsAtAForeignFirstEvent)
{
    for (std::string const foreign : { "id: 0\ndata: x\n\n", "id: 2\ndata: x\n\n", "data: x\n\n", "HTTP/1.1 200 OK\n\n", "id: 18446744073709551615\ndata: x\n\n" }) {
        auto const outcome = read(foreign + makeEvents(1, 3));
        BOOST_TEST(outcome.events == "");
        BOOST_TEST(outcome.fault.has_value());
    }
}

// A caller may name an event also where its stream must not be resumed. Its upstream may begin at the first event or after that one.
BOOST_AUTO_TEST_CASE(AcceptsAStreamThatGoesOnAfterTheCallersLastEvent)
{
    for (uint64_t const first : { 1, 51, 2, 30, 50, 52 }) {
        EventProgress progress;
        progress.lastIdOfClient = 50;
        auto const outcome = read(makeEvents(first, first + 2), counted, progress);
        bool const isSound = first == 1 || first == 51;
        BOOST_TEST(outcome.events == (isSound ? makeEvents(first, first + 2) : ""));
        BOOST_TEST(outcome.isCut == !isSound);
    }
}

// Guards against a stream that ends as whole although the upstream, which began it again, has not reached what the client has.
BOOST_AUTO_TEST_CASE(TellsWhetherTheAnswerIsBehindTheClient)
{
    for (uint64_t const last : { 2, 3, 4, 5 }) {
        EventProgress progress;
        progress.lastForwardedId = 4;
        EventReader reader(progress, counted);
        BOOST_TEST(!reader.isBehindClient());
        reader.append(makeEvents(1, last));
        BOOST_TEST(reader.isBehindClient() == (last < 4));
        BOOST_TEST(reader.hasEvents());
    }
}

BOOST_AUTO_TEST_CASE(StreamsWithoutNumbersPassUnchanged)
{
    std::string const events = ": comment\n\ndata: a\ndata\nid: x\n\n\nretry: 7\nevent: y\ndata: {\"b\": 1}\n\n";
    for (size_t const readSize : { size_t(1), std::string::npos }) {
        auto const outcome = read(events, {}, readSize);
        BOOST_TEST(outcome.events == events);
        BOOST_TEST(!outcome.isCut);
    }
    BOOST_TEST((read(events + "HTTP/1.1 200 OK\n", {}).fault == EventFault::UnknownField));
}

BOOST_AUTO_TEST_CASE(StopsAtAnEventThatIsTooLong)
{
    constexpr size_t moreThanAnEvent = (1u << 20) + 1;
    for (size_t const readSize : { size_t(1000), std::string::npos }) {
        BOOST_TEST((read("id: 1\ndata: " + std::string(moreThanAnEvent, 'a'), counted, readSize).fault == EventFault::TooLong));
        BOOST_TEST((read("id: 1\ndata: " + std::string(moreThanAnEvent, 'a') + "\n\n", counted, readSize).fault == EventFault::TooLong));
    }
}

// The foreign bytes may be meant for another client, so only the log has them.
BOOST_AUTO_TEST_CASE(DescribesTheForeignBytes)
{
    std::vector<std::pair<std::string, std::string>> const cases {
        { "id: 3\nsome words\n\n", "unknown-field" },
        { "data: some words\n\n", "missing-id" },
        { "id: 9\ndata: some words\n\n", "missing-event" },
        { "id: 2\ndata: some words\n\n", "id-not-rising" },
    };
    for (auto const& [foreign, fault] : cases) {
        EventProgress progress;
        EventReader reader(progress, counted);
        reader.append(makeEvents(1, 2) + foreign + makeEvents(3, 4));
        BOOST_TEST(reader.describeFault() == "foreign bytes in the stream: " + fault + " after event 2");
        BOOST_TEST(reader.foreignBytes().find("some words") != std::string::npos, reader.foreignBytes());
        BOOST_TEST(reader.foreignBytes().size() <= 40u);
    }
}

BOOST_AUTO_TEST_CASE(EventsAreIndependentOfReadBoundaries)
{
    BOOST_TEST(rc::check("split at any byte", [](std::vector<uint8_t> const& readSizes, uint8_t count) {
        auto const stream = makeEvents(1, count);
        EventProgress progress;
        EventReader reader(progress, counted);
        std::string forwarded;
        std::string_view rest = stream;
        for (auto const readSize : readSizes) {
            auto const part = rest.substr(0, readSize);
            forwarded += reader.append(part);
            rest.remove_prefix(part.size());
        }
        forwarded += reader.append(rest);
        RC_ASSERT(forwarded == stream);
        RC_ASSERT(progress.eventCount == count);
    }));
}

// A stream that fails at any byte and is resumed after its last complete event by an upstream
// that may repeat events yields the same events as an uninterrupted one.
BOOST_AUTO_TEST_CASE(ResumedStreamNeitherLosesNorRepeatsEvents)
{
    BOOST_TEST(rc::check("failed at any byte", [](uint8_t count, uint16_t failAt, uint8_t repeated) {
        auto const whole = makeEvents(1, count);
        EventProgress progress;
        auto forwarded = read(std::string_view(whole).substr(0, failAt), counted, progress).events;
        auto const last = progress.lastForwardedId.value_or(0);
        forwarded += read(makeEvents(last > repeated ? last - repeated : 1, count), counted, progress).events;
        RC_ASSERT(forwarded == whole);
    }));
}

// At every byte of a stream, foreign bytes take the place of the rest. Nothing tells where the text of an event ends, so only
// inside it may a line follow that events have.
BOOST_AUTO_TEST_CASE(ForeignBytesAtEveryByteAreNotPassedOn)
{
    auto const whole = makeEvents(1, 5);
    std::vector<std::string> const foreign {
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: 9c41\r\n\r\nid: 1\ndata: x\n\n",
        "HTTP/1.1 200 OK\nContent-Type: text/plain\n\nok\n\n",
        std::string("\0\1\2\xff\n\n", 6),
        "\xff\xfe\n\n",
        "id: 77\ndata: x\n\n",
        "id: \ndata: x\n\n",
        "data: x\n\n",
    };
    for (auto const& bytes : foreign) {
        bool const isField = bytes.starts_with("id") || bytes.starts_with("data");
        for (size_t at = 0; at <= whole.size(); ++at) {
            auto const before = std::string_view(whole).substr(0, at);
            auto const line = before.substr(before.rfind('\n') + 1);
            bool const isInsideText = line.starts_with("data:");
            bool const isBeforeText = line.empty() && at > 0 && !before.ends_with("\n\n");
            if (isField && (isInsideText || (isBeforeText && bytes.starts_with("data"))))
                continue;
            BOOST_TEST_CONTEXT(bytes << " at byte " << at)
            {
                auto const outcome = read(whole.substr(0, at) + bytes);
                BOOST_TEST(outcome.isCut);
                BOOST_TEST(whole.starts_with(outcome.events));
            }
        }
    }
}

// One spoiled byte may change the text of an event, which nothing shows. It neither adds an event nor takes one out.
BOOST_AUTO_TEST_CASE(OneSpoiledByteNeitherAddsNorRemovesEvents)
{
    auto const whole = makeEvents(1, 20);
    for (size_t at = 0; at < whole.size(); ++at) {
        for (unsigned byte = 0; byte < 256; ++byte) {
            auto body = whole;
            body[at] = static_cast<char>(byte);
            EventProgress progress;
            auto const outcome = read(body, counted, progress);
            auto const last = progress.lastForwardedId.value_or(0);
            bool const isWhole = !outcome.isCut && last == 20;
            if (progress.eventCount != last || (!outcome.isCut && !isWhole))
                BOOST_ERROR("byte " << at << " as " << byte << ": " << progress.eventCount << " events up to " << last);
        }
    }
}

namespace {

std::string makeEventsWithIds(std::vector<uint64_t> const& ids)
{
    std::string events;
    for (auto const id : ids)
        events += makeEvent(id);
    return events;
}

constexpr uint64_t largest = UINT64_MAX;

}

// Guards against streams that are refused or cut, since their ids rise without counting the events.
BOOST_AUTO_TEST_CASE(RisingIdsArePassedOn)
{
    std::vector<std::vector<uint64_t>> const streams { { 7, 14, 21, 28 }, { 0, 1, 2, 3 }, { 0 }, { 5 }, { 1, 2, 9, 10, 11 }, { 1, 2, 3, 9 }, { largest - 9, largest - 1, largest } };
    for (auto const& ids : streams) {
        for (auto const format : { unknown, rising }) {
            for (size_t const readSize : { size_t(1), std::string::npos }) {
                auto const outcome = read(makeEventsWithIds(ids), format, readSize);
                BOOST_TEST(outcome.events == makeEventsWithIds(ids));
                BOOST_TEST(!outcome.isCut);
            }
        }
    }
}

// A stream that is broken off after any of its events goes on at an upstream that may repeat some.
BOOST_AUTO_TEST_CASE(RisingStreamsAreResumed)
{
    std::vector<uint64_t> const ids { 0, 7, 8, 9, 30, 31, 50, largest };
    for (size_t begun = 0; begun <= ids.size(); ++begun) {
        for (size_t repeated = 0; repeated < 3; ++repeated) {
            EventProgress progress;
            EventReader first(progress, unknown);
            auto forwarded = first.append(makeEventsWithIds({ ids.begin(), ids.begin() + static_cast<ptrdiff_t>(begun) }));
            auto next = static_cast<size_t>(std::count_if(ids.begin(), ids.end(), [&](auto id) { return progress.lastForwardedId && id <= *progress.lastForwardedId; }));
            next -= std::min(next, repeated);
            forwarded += read(makeEventsWithIds({ ids.begin() + static_cast<ptrdiff_t>(next), ids.end() }), unknown, progress).events;
            BOOST_TEST(forwarded == makeEventsWithIds(ids));
            BOOST_TEST(progress.eventCount == ids.size());
        }
    }
}

// Guards against foreign events in streams whose ids count, before that is known.
BOOST_AUTO_TEST_CASE(AForeignEventIsHeldBackUntilALowerIdComes)
{
    for (auto const& foreign : std::vector<std::vector<uint64_t>> { { 4 }, { 77 }, { 77, 78 }, { largest } }) {
        for (size_t const after : { 0, 1, 2 }) {
            EventProgress progress;
            EventReader reader(progress, unknown);
            auto events = reader.append(makeEvents(1, after) + makeEventsWithIds(foreign));
            BOOST_TEST(reader.hasEvents());
            BOOST_TEST(!reader.fault());
            events += reader.append(makeEvents(after + 1, 6));
            BOOST_TEST(events == makeEvents(1, after));
            BOOST_TEST((reader.fault() == EventFault::MissingEvent));
            BOOST_TEST(reader.foreignBytes().starts_with("id: " + std::to_string(foreign.front())));
            BOOST_TEST(reader.describeFault() == "foreign bytes in the stream: missing-event after " + (after ? "event " + std::to_string(after) : "the head"));
        }
    }
}

BOOST_AUTO_TEST_CASE(AStreamThatHasLeftOutNumbersIsNotHeldBackAgain)
{
    EventProgress progress;
    EventReader reader(progress, unknown);
    BOOST_TEST(reader.append(makeEventsWithIds({ 7, 14 })) == "");
    BOOST_TEST(reader.heldBytes() >= makeEventsWithIds({ 7, 14 }).size());
    BOOST_TEST(reader.append(makeEvent(21)) == makeEventsWithIds({ 7, 14, 21 }));
    BOOST_TEST(reader.append(makeEvent(28)) == makeEvent(28));
    BOOST_TEST(progress.gaps == 4u);
    EventReader next(progress, unknown);
    BOOST_TEST(next.append(makeEvent(35)) == makeEvent(35));
}

BOOST_AUTO_TEST_SUITE_END()

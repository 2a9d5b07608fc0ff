#include <LibProxy/EventSplitter.h>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace Stagepost;

BOOST_AUTO_TEST_SUITE(EventSplitterTests)

BOOST_AUTO_TEST_CASE(ReturnsOnlyCompleteEvents)
{
    EventProgress progress;
    EventSplitter splitter(progress);
    BOOST_TEST(splitter.append("id: 1\ndata: a") == "");
    BOOST_TEST(splitter.hasIncompleteEvent());
    BOOST_TEST(splitter.append("\n\nid: 2\n") == "id: 1\ndata: a\n\n");
    BOOST_TEST(*progress.lastForwardedId == 1u);
    BOOST_TEST(splitter.append("data: b\n\n") == "id: 2\ndata: b\n\n");
    BOOST_TEST(!splitter.hasIncompleteEvent());
    BOOST_TEST(progress.eventCount == 2u);
}

BOOST_AUTO_TEST_CASE(AcceptsCarriageReturnLineFeeds)
{
    EventProgress progress;
    EventSplitter splitter(progress);
    BOOST_TEST(splitter.append("id:7\r\ndata: a\r\n\r\nid:8\r\n") == "id:7\r\ndata: a\r\n\r\n");
    BOOST_TEST(*progress.lastForwardedId == 7u);
}

BOOST_AUTO_TEST_CASE(SkipsEventsThatWereForwarded)
{
    EventProgress progress;
    progress.lastForwardedId = 3;
    EventSplitter splitter(progress);
    BOOST_TEST(splitter.append("id: 2\n\nid: 3\n\nid: 4\ndata: x\n\n") == "id: 4\ndata: x\n\n");
}

BOOST_AUTO_TEST_CASE(KeepsEventsWithoutId)
{
    EventProgress progress;
    progress.lastForwardedId = 3;
    EventSplitter splitter(progress);
    BOOST_TEST(splitter.append(": comment\n\ndata: x\n\n") == ": comment\n\ndata: x\n\n");
}

// Guards against data that comes twice when a stream without ids is continued.
BOOST_AUTO_TEST_CASE(RecordsDataWithoutId)
{
    EventProgress progress;
    EventSplitter splitter(progress);
    splitter.append(": comment\n\nid: 1\ndata: x\n\nretry: 5\n\n");
    BOOST_TEST(!progress.hasUnnumberedData);
    splitter.append("event: y\ndata: x\n\n");
    BOOST_TEST(progress.hasUnnumberedData);
}

BOOST_AUTO_TEST_CASE(EventsAreIndependentOfReadBoundaries)
{
    BOOST_TEST(rc::check("split at any byte", [](std::vector<uint8_t> const& readSizes, uint8_t count) {
        std::string stream;
        for (unsigned number = 1; number <= count; ++number)
            stream += "id: " + std::to_string(number) + "\ndata: word\n\n";
        EventProgress progress;
        EventSplitter splitter(progress);
        std::string forwarded;
        std::string_view rest = stream;
        for (auto const readSize : readSizes) {
            auto const part = rest.substr(0, readSize);
            forwarded += splitter.append(part);
            rest.remove_prefix(part.size());
        }
        forwarded += splitter.append(rest);
        RC_ASSERT(forwarded == stream);
        RC_ASSERT(progress.eventCount == count);
    }));
}

// A stream that fails at any byte and is resumed after its last complete event by an upstream
// that may repeat events yields the same events as an uninterrupted one.
BOOST_AUTO_TEST_CASE(ResumedStreamNeitherLosesNorRepeatsEvents)
{
    BOOST_TEST(rc::check("failed at any byte", [](uint8_t count, uint16_t failAt, uint8_t repeated) {
        auto const eventsFrom = [count](unsigned first) {
            std::string stream;
            for (unsigned number = first; number <= count; ++number)
                stream += "id: " + std::to_string(number) + "\ndata: " + std::to_string(number * 7) + "\n\n";
            return stream;
        };
        auto const whole = eventsFrom(1);
        EventProgress progress;
        std::string forwarded = EventSplitter(progress).append(std::string_view(whole).substr(0, failAt));
        auto const last = static_cast<unsigned>(progress.lastForwardedId.value_or(0));
        forwarded += EventSplitter(progress).append(eventsFrom(last > repeated ? last - repeated : 1));
        RC_ASSERT(forwarded == whole);
    }));
}

BOOST_AUTO_TEST_SUITE_END()

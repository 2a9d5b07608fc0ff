#include <LibProxy/EventSplitter.h>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace Stagepost;

BOOST_AUTO_TEST_SUITE(EventSplitterTests)

BOOST_AUTO_TEST_CASE(GivesWholeEventsOnly)
{
    EventProgress progress;
    EventSplitter splitter(progress);
    BOOST_TEST(splitter.take("id: 1\ndata: a") == "");
    BOOST_TEST(splitter.isInsideEvent());
    BOOST_TEST(splitter.take("\n\nid: 2\n") == "id: 1\ndata: a\n\n");
    BOOST_TEST(*progress.lastId == 1u);
    BOOST_TEST(splitter.take("data: b\n\n") == "id: 2\ndata: b\n\n");
    BOOST_TEST(!splitter.isInsideEvent());
    BOOST_TEST(progress.events == 2u);
}

BOOST_AUTO_TEST_CASE(TakesLinesThatEndInReturns)
{
    EventProgress progress;
    EventSplitter splitter(progress);
    BOOST_TEST(splitter.take("id:7\r\ndata: a\r\n\r\nid:8\r\n") == "id:7\r\ndata: a\r\n\r\n");
    BOOST_TEST(*progress.lastId == 7u);
}

BOOST_AUTO_TEST_CASE(LeavesOutWhatWasPassedOnBefore)
{
    EventProgress progress;
    progress.lastId = 3;
    EventSplitter splitter(progress);
    BOOST_TEST(splitter.take("id: 2\n\nid: 3\n\nid: 4\ndata: x\n\n") == "id: 4\ndata: x\n\n");
}

BOOST_AUTO_TEST_CASE(KeepsEventsWithoutAnId)
{
    EventProgress progress;
    progress.lastId = 3;
    EventSplitter splitter(progress);
    BOOST_TEST(splitter.take(": comment\n\ndata: x\n\n") == ": comment\n\ndata: x\n\n");
}

BOOST_AUTO_TEST_CASE(CutAnywhereTheEventsAreTheSame)
{
    BOOST_TEST(rc::check("however the bytes arrive", [](std::vector<uint8_t> const& cuts, uint8_t count) {
        std::string stream;
        for (unsigned number = 1; number <= count; ++number)
            stream += "id: " + std::to_string(number) + "\ndata: word\n\n";
        EventProgress progress;
        EventSplitter splitter(progress);
        std::string passed;
        std::string_view rest = stream;
        for (auto const cut : cuts) {
            auto const part = rest.substr(0, cut);
            passed += splitter.take(part);
            rest.remove_prefix(part.size());
        }
        passed += splitter.take(rest);
        RC_ASSERT(passed == stream);
        RC_ASSERT(progress.events == count);
    }));
}

// A stream that breaks anywhere and is taken up after its last whole event, by an
// upstream that may repeat some, comes to the same as one that never broke.
BOOST_AUTO_TEST_CASE(TakenUpAnywhereNothingIsMissingOrTwice)
{
    BOOST_TEST(rc::check("broken at any byte", [](uint8_t count, uint16_t breakAt, uint8_t repeated) {
        auto const eventsFrom = [count](unsigned first) {
            std::string stream;
            for (unsigned number = first; number <= count; ++number)
                stream += "id: " + std::to_string(number) + "\ndata: " + std::to_string(number * 7) + "\n\n";
            return stream;
        };
        auto const whole = eventsFrom(1);
        EventProgress progress;
        std::string passed = EventSplitter(progress).take(std::string_view(whole).substr(0, breakAt));
        auto const last = static_cast<unsigned>(progress.lastId.value_or(0));
        passed += EventSplitter(progress).take(eventsFrom(last > repeated ? last - repeated : 1));
        RC_ASSERT(passed == whole);
    }));
}

BOOST_AUTO_TEST_SUITE_END()

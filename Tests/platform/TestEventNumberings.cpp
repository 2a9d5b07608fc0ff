#include <boost/test/unit_test.hpp>
#include <stagepostd/EventNumberings.h>

using namespace Stagepost;

namespace {

EventNumberings::Key const chat { "chat", "v1" };
EventNumberings::Bounds const bounds {};
UpstreamId const one { 1 };
UpstreamId const other { 2 };

void completeStreams(EventNumberings& numberings, size_t count, uint64_t events)
{
    for (; count; --count)
        numberings.streamCompleted(chat, one, events, 0);
}

}

BOOST_AUTO_TEST_SUITE(EventNumberingsTests)

BOOST_AUTO_TEST_CASE(WholeStreamsWithoutGapsProveThatIdsCount)
{
    EventNumberings numberings;
    completeStreams(numberings, bounds.countingStreams - 1, 10);
    BOOST_TEST((numberings.numberingOf(chat) == EventNumbering::Unknown));
    BOOST_TEST(numberings.streamCompleted(chat, one, 10, 0));
    BOOST_TEST((numberings.numberingOf(chat) == EventNumbering::Consecutive));
    // Another version of the software may number events otherwise.
    BOOST_TEST((numberings.numberingOf({ "chat", "v2" }) == EventNumbering::Unknown));
    BOOST_TEST((numberings.formatFor(chat, { EventNumbering::Unknown, {} }).numbering == EventNumbering::Consecutive));
    BOOST_TEST((numberings.formatFor(chat, { EventNumbering::None, {} }).numbering == EventNumbering::None));
}

BOOST_AUTO_TEST_CASE(ShortStreamsProveNothingForLong)
{
    EventNumberings numberings;
    completeStreams(numberings, bounds.countedEvents / 2 - 1, 2);
    BOOST_TEST((numberings.numberingOf(chat) == EventNumbering::Unknown));
}

// Guards against one upstream that ends its streams with foreign events.
BOOST_AUTO_TEST_CASE(GapsOfOneUpstreamProveNothing)
{
    EventNumberings numberings;
    for (unsigned stream = 0; stream < 10; ++stream)
        BOOST_TEST(!numberings.streamCompleted(chat, one, 5, 1));
    BOOST_TEST(numberings.streamCompleted(chat, other, 5, 1));
    BOOST_TEST((numberings.numberingOf(chat) == EventNumbering::Rising));
}

// Guards against streams that are cut, since most of a service's streams happen to have no gap.
BOOST_AUTO_TEST_CASE(AGapForbidsTheProofThatIdsCount)
{
    EventNumberings numberings;
    numberings.streamCompleted(chat, one, 5, 1);
    completeStreams(numberings, bounds.forgettingStreams - 1, 10);
    BOOST_TEST((numberings.numberingOf(chat) == EventNumbering::Unknown));
    completeStreams(numberings, 1, 10);
    BOOST_TEST((numberings.numberingOf(chat) == EventNumbering::Consecutive));
}

// Guards against foreign events that have once ended streams of two upstreams, and are let through ever after.
BOOST_AUTO_TEST_CASE(ManyStreamsWithoutGapsRefuteThatIdsLeaveNumbersOut)
{
    EventNumberings numberings;
    for (unsigned stream = 0; stream < bounds.streamsWithGaps; ++stream)
        numberings.streamCompleted(chat, stream ? one : other, 5, 1);
    BOOST_TEST((numberings.numberingOf(chat) == EventNumbering::Rising));
    completeStreams(numberings, bounds.forgettingStreams - 1, 10);
    BOOST_TEST((numberings.numberingOf(chat) == EventNumbering::Rising));
    completeStreams(numberings, 1, 10);
    BOOST_TEST((numberings.numberingOf(chat) == EventNumbering::Consecutive));
}

BOOST_AUTO_TEST_CASE(StreamsThatAllMissEventsRefuteThatIdsCount)
{
    EventNumberings numberings;
    completeStreams(numberings, bounds.countingStreams, 10);
    // Upstreams that spoil some streams don't, nor does one that spoils all of its own.
    for (unsigned stream = 0; stream < 10; ++stream) {
        BOOST_TEST(!numberings.eventMissed(chat, one));
        BOOST_TEST(!numberings.eventMissed(chat, other));
        completeStreams(numberings, 1, 10);
    }
    for (unsigned stream = 0; stream < 10; ++stream)
        BOOST_TEST(!numberings.eventMissed(chat, one));
    BOOST_TEST(numberings.eventMissed(chat, other));
    BOOST_TEST((numberings.numberingOf(chat) == EventNumbering::Unknown));
}

BOOST_AUTO_TEST_CASE(MemoryIsBounded)
{
    EventNumberings numberings({ .capacity = 4 });
    for (unsigned version = 0; version < 100; ++version)
        numberings.streamCompleted({ "chat", std::to_string(version) }, one, 10, 0);
    completeStreams(numberings, bounds.countingStreams, 10);
    BOOST_TEST((numberings.numberingOf(chat) == EventNumbering::Consecutive));
}

BOOST_AUTO_TEST_SUITE_END()

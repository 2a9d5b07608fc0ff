#include <LibMembership/FleetRoster.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

namespace {

constexpr HallId hall { 1 };

Instant at(int64_t seconds)
{
    return Instant { Seconds(1000 + seconds) };
}

bool contains(FleetRoster const& roster, uint64_t id)
{
    auto const peers = roster.peers();
    return std::any_of(peers.begin(), peers.end(), [id](auto const& peer) { return peer.id == VMId(id); });
}

FleetRoster rosterOfTwo()
{
    FleetRoster roster;
    roster.setRegistered({ { VMId(1), hall }, { VMId(2), hall } });
    return roster;
}

}

BOOST_AUTO_TEST_SUITE(FleetRosterTests)

BOOST_AUTO_TEST_CASE(AnArrivalIsKnownBeforeTheRegistryListsIt)
{
    auto roster = rosterOfTwo();
    roster.arrived({ VMId(3), hall }, at(0));
    BOOST_TEST(contains(roster, 3));
    BOOST_TEST(roster.peers().size() == 3u);
    roster.arrived({ VMId(2), hall }, at(0));
    BOOST_TEST(roster.peers().size() == 3u);
}

BOOST_AUTO_TEST_CASE(ADepartureIsKnownWhileTheRegistryStillListsIt)
{
    auto roster = rosterOfTwo();
    roster.left(VMId(2), at(0));
    roster.setRegistered({ { VMId(1), hall }, { VMId(2), hall } });
    BOOST_TEST(!contains(roster, 2));
}

// A registry that was read between a daemon's stop and its start does not list it.
BOOST_AUTO_TEST_CASE(ARestartedDaemonStaysWhileTheRegistryLags)
{
    auto roster = rosterOfTwo();
    roster.left(VMId(2), at(0));
    roster.arrived({ VMId(2), hall }, at(1));
    roster.setRegistered({ { VMId(1), hall } });
    BOOST_TEST(contains(roster, 2));
}

// A store that was restored from a copy may list no daemon any more, and each has to read it then.
BOOST_AUTO_TEST_CASE(ADaemonThatTheRegistryHasListedAndDropsIsGone)
{
    auto roster = rosterOfTwo();
    roster.arrived({ VMId(3), hall }, at(0));
    roster.setRegistered({ { VMId(1), hall }, { VMId(2), hall }, { VMId(3), hall } });
    roster.setRegistered({});
    BOOST_TEST(roster.peers().empty());
}

BOOST_AUTO_TEST_CASE(TheRegistryDecidesOnceAnnouncementsExpire)
{
    auto roster = rosterOfTwo();
    roster.left(VMId(2), at(0));
    roster.arrived({ VMId(3), hall }, at(0));
    BOOST_TEST(!roster.expire(at(15)));
    BOOST_TEST(roster.expire(at(16)));
    BOOST_TEST(contains(roster, 2));
    BOOST_TEST(!contains(roster, 3));
}

BOOST_AUTO_TEST_SUITE_END()

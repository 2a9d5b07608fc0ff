#include <LibMembership/FleetRoster.h>
#include <LibMembership/StateExchange.h>
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

// What a daemon derives from the registry that it has read, and from announcements.
struct View {
    View(uint64_t id, std::vector<uint64_t> const& registered)
        : exchange({ VMId(id), hall }, 1, {}, {})
    {
        std::vector<FleetPeer> others;
        for (auto const other : registered) {
            if (other != id)
                others.push_back({ VMId(other), hall });
        }
        exchange.setPeers(others);
        roster.setRegistered(others);
    }

    std::vector<VMId> relays(bool includesSelf = true) const { return exchange.relaysAmong(roster.peers(), includesSelf); }

    StateExchange exchange;
    FleetRoster roster;
};

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

// Guards against daemons that pass over other relays as owners of upstreams for as long as they have read other
// states of the registry, so that an upstream has several owners.
BOOST_AUTO_TEST_CASE(AnnouncementsGiveAllDaemonsTheSameRelays)
{
    std::vector<uint64_t> const all { 1, 2, 3, 4, 5, 6, 7 };
    auto const relay = View(1, all).relays().front().value();
    std::vector<uint64_t> others = all;
    std::erase(others, relay);
    View starting(relay, all);
    View leaving(relay, all);
    for (auto const daemon : others) {
        // This daemon hasn't read yet that the relay has started.
        View before(daemon, others);
        BOOST_TEST((before.exchange.relays() != starting.exchange.relays()));
        before.roster.arrived({ VMId(relay), hall }, at(0));
        BOOST_TEST((before.relays() == starting.relays()));
        // And this one that it has left.
        View after(daemon, all);
        after.roster.left(VMId(relay), at(0));
        BOOST_TEST((after.relays() == leaving.relays(false)));
        BOOST_TEST((after.relays() != after.exchange.relays()));
    }
}

BOOST_AUTO_TEST_SUITE_END()

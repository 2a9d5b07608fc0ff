#include <LibMembership/Members.h>
#include <Measure/Placement/EventQueue.h>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <random>
#include <rapidcheck.h>
#include <set>

using namespace Stagepost;

namespace {

// Membership instances on a simulated network in which daemons can stop and one hall
// can be partitioned from the others.
struct Network {
    explicit Network(std::vector<uint64_t> const& halls)
    {
        for (size_t index = 0; index < halls.size(); ++index)
            hallOf.emplace_back(halls[index]);
        for (size_t index = 0; index < halls.size(); ++index)
            start(index, 1);
        tick();
    }

    void start(size_t index, uint64_t incarnation)
    {
        Membership::Hooks hooks {
            [this, index](VMId to, std::string const& bytes) {
                events.after(Microseconds(500), [this, index, to, bytes] {
                    if (isUp(index) && isUp(to.value() - 1) && !isPartitioned(index, to.value() - 1))
                        (void)members[to.value() - 1]->receive(VMId(index + 1), bytes, events.now());
                });
            },
            [this] { return random(); },
            [] {},
            [this](VMId, Revision revision) { highestRevision = std::max(highestRevision, revision); },
        };
        auto member = std::make_unique<Membership>(VMId(index + 1), hallOf[index], Incarnation(incarnation), std::move(hooks));
        for (size_t other = 0; other < hallOf.size(); ++other)
            member->addMember(VMId(other + 1), hallOf[other], events.now());
        if (index < members.size())
            members[index] = std::move(member);
        else
            members.push_back(std::move(member));
    }

    bool isUp(size_t index) const { return !stopped.contains(index); }
    bool isPartitioned(size_t a, size_t b) const { return partitionedHall && (hallOf[a] == *partitionedHall) != (hallOf[b] == *partitionedHall); }
    void run(double seconds) { events.runUntil(events.now() + Measure::fromSeconds(seconds)); }

    void tick()
    {
        for (size_t index = 0; index < members.size(); ++index) {
            if (isUp(index))
                members[index]->tick(events.now());
        }
        events.after(Membership::tickInterval, [this] { tick(); });
    }

    bool allAgreeOn(size_t subject, MemberState state) const
    {
        for (size_t index = 0; index < members.size(); ++index) {
            if (index != subject && isUp(index) && members[index]->stateOf(VMId(subject + 1)) != state)
                return false;
        }
        return true;
    }

    Measure::EventQueue events;
    std::mt19937_64 random { 3 };
    std::vector<HallId> hallOf;
    std::vector<std::unique_ptr<Membership>> members;
    std::set<size_t> stopped;
    std::optional<HallId> partitionedHall;
    Revision highestRevision;
};

}

BOOST_AUTO_TEST_SUITE(MembershipTests)

BOOST_AUTO_TEST_CASE(AllDetectAFailedMemberAndItsRestart)
{
    Network network({ 1, 1, 1, 1, 1 });
    network.run(5);
    BOOST_TEST(network.allAgreeOn(2, MemberState::Alive));
    network.stopped.insert(2);
    network.run(10);
    BOOST_TEST(network.allAgreeOn(2, MemberState::Dead));
    network.stopped.clear();
    network.start(2, 2);
    network.run(10);
    BOOST_TEST(network.allAgreeOn(2, MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(AResumedMemberRefutesItsDeath)
{
    Network network({ 1, 1, 1, 1 });
    network.run(5);
    network.stopped.insert(1);
    network.run(10);
    BOOST_TEST(network.allAgreeOn(1, MemberState::Dead));
    network.stopped.clear();
    network.run(20);
    BOOST_TEST(network.allAgreeOn(1, MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(LeavingOverridesAliveAndCanBeWithdrawn)
{
    Network network({ 1, 1, 1, 2, 2 });
    network.run(5);
    network.members[0]->setLeaving(true);
    network.run(10);
    BOOST_TEST(network.allAgreeOn(0, MemberState::Leaving));
    network.members[0]->setLeaving(false);
    network.run(10);
    BOOST_TEST(network.allAgreeOn(0, MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(AnUpdateWithAnEarlierIncarnationIsIgnored)
{
    Network network({ 1, 1 });
    network.run(3);
    network.start(1, 7);
    network.run(3);
    MembershipMessage stale;
    stale.sender = { VMId(2), HallId(1), Incarnation(1), 99, MemberState::Dead };
    BOOST_TEST(network.members[0]->receive(VMId(2), stale.encode(), network.events.now()).has_value());
    BOOST_TEST((network.members[0]->stateOf(VMId(2)) == MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(BothSidesDetectAHallPartitionAndRecover)
{
    Network network({ 1, 1, 1, 2, 2, 2, 3, 3 });
    network.run(5);
    auto const reaches = [&](size_t member, uint64_t hall) { return network.members[member]->isHallReachable(HallId(hall), network.events.now()); };
    for (uint64_t hall = 1; hall <= 3; ++hall)
        BOOST_TEST(reaches(0, hall));
    network.partitionedHall = HallId(2);
    network.run(8);
    BOOST_TEST(!reaches(0, 2));
    BOOST_TEST(!reaches(4, 1));
    BOOST_TEST(!reaches(4, 3));
    BOOST_TEST(reaches(0, 3));
    // Members of the partitioned hall still see each other.
    BOOST_TEST((network.members[4]->stateOf(VMId(4)) == MemberState::Alive));
    network.partitionedHall.reset();
    network.run(5);
    BOOST_TEST(reaches(0, 2));
    BOOST_TEST(reaches(4, 1));
    BOOST_TEST((network.members[0]->stateOf(VMId(5)) == MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(UpstreamUpdatesReachDaemonsWithoutTheList)
{
    Network network({ 1, 1, 1, 2, 2 });
    network.run(3);
    network.members[0]->addUpstreamUpdate({ UpstreamId(9), 4, UpstreamState::Leaving });
    network.run(8);
    BOOST_REQUIRE(network.members[4]->lastUpstreamUpdate(UpstreamId(9)) != nullptr);
    BOOST_TEST((network.members[4]->lastUpstreamUpdate(UpstreamId(9))->state == UpstreamState::Leaving));
    network.members[0]->addUpstreamUpdate({ UpstreamId(9), 3, UpstreamState::Live });
    BOOST_TEST((network.members[0]->lastUpstreamUpdate(UpstreamId(9))->state == UpstreamState::Leaving));
}

BOOST_AUTO_TEST_CASE(MessagesCarryTheSettingsRevision)
{
    Network network({ 1, 1 });
    network.members[0]->setRevision(Revision(5));
    network.run(2);
    BOOST_TEST(network.highestRevision.value() == 5u);
}

BOOST_AUTO_TEST_CASE(AMessageWithAForeignSenderIsRefused)
{
    Network network({ 1, 1, 1 });
    MembershipMessage message;
    message.sender = { VMId(2), HallId(1), Incarnation(9), 0, MemberState::Leaving };
    BOOST_TEST(!network.members[0]->receive(VMId(3), message.encode(), network.events.now()).has_value());
    BOOST_TEST((network.members[0]->stateOf(VMId(2)) == MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(InvalidMessagesAreRefused)
{
    Network network({ 1, 1 });
    BOOST_TEST(rc::check("arbitrary bytes are refused", [&](std::string const& garbage) {
        RC_ASSERT(!network.members[0]->receive(VMId(2), garbage, network.events.now()).has_value());
    }));
    MembershipMessage good;
    good.sender = { VMId(2), HallId(1), Incarnation(1), 0, MemberState::Alive };
    auto const bytes = good.encode();
    BOOST_TEST(rc::check("a damaged message does not crash the receiver", [&](uint16_t position, uint8_t change) {
        auto damaged = bytes;
        damaged[position % damaged.size()] = static_cast<char>(change);
        (void)network.members[0]->receive(VMId(2), damaged, network.events.now());
    }));
}

BOOST_AUTO_TEST_SUITE_END()

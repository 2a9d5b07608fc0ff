#include <LibRouting/FakeFleet.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;
using Tests::FakeFleet;

BOOST_AUTO_TEST_SUITE(PlacementTests)

BOOST_AUTO_TEST_CASE(RemovingAnUpstreamMovesOnlyItsChats)
{
    FakeFleet fleet(1, 10);
    RoutingView const before(fleet.members[0].id, HallId(1), fleet.views, fleet.members);
    auto fewer = fleet.views;
    auto const lost = fewer.back().id;
    fewer.pop_back();
    RoutingView const after(fleet.members[0].id, HallId(1), fewer, fleet.members);
    for (uint64_t chat = 1; chat < 500; ++chat) {
        auto const first = before.candidates(FakeFleet::pool(), ChatId(chat), 1).front();
        auto const now = after.candidates(FakeFleet::pool(), ChatId(chat), 1).front();
        BOOST_TEST((first == lost || first == now));
    }
}

BOOST_AUTO_TEST_CASE(LeavingUpstreamIsNotACandidate)
{
    FakeFleet fleet(1, 2);
    fleet.views[0].isLeaving = true;
    fleet.applyViews();
    for (uint64_t chat = 1; chat < 20; ++chat) {
        auto const result = fleet.acquire(0, chat);
        fleet.run(0.1);
        BOOST_TEST((fleet.leaseOf(result).upstream == fleet.views[1].id));
        fleet.controllers.begin()->second->release(fleet.leaseOf(result).id, LeaseOutcome::Succeeded, fleet.events.now());
    }
}

BOOST_AUTO_TEST_CASE(DisplacedChatReturnsToTheUpstreamThatHoldsItsContext)
{
    FakeFleet fleet(3, 6);
    fleet.run(4);
    constexpr uint64_t chat = 77;
    auto const first = RoutingView(fleet.members[0].id, HallId(1), fleet.views, fleet.members).candidates(FakeFleet::pool(), ChatId(chat), 1).front();
    // Fill the first choice with other chats, so that this chat is placed elsewhere.
    auto* owner = fleet.ownerOf(first);
    for (uint32_t count = 0; count < 300; ++count) {
        LeaseRenewal renew { first, { { LeaseId(1000 + count), ChatId(5000 + count), 0 } } };
        owner->renew(renew, fleet.members[0].id, fleet.events.now());
    }
    auto const displaced = fleet.acquire(0, chat);
    fleet.run(1);
    auto const lease = fleet.leaseOf(displaced);
    BOOST_TEST((lease.upstream != first));
    for (uint32_t count = 0; count < 300; ++count)
        owner->release({ LeaseId(1000 + count), LeaseOutcome::Unused }, fleet.events.now());
    fleet.controllers.at(fleet.members[0].id)->release(lease.id, LeaseOutcome::Succeeded, fleet.events.now());
    fleet.run(1);
    // The chat continues through another daemon and without a hint, while the first choice has
    // free slots.
    auto const returned = fleet.acquire(1, chat, 2000);
    fleet.run(1);
    BOOST_TEST((fleet.leaseOf(returned).upstream == lease.upstream));
    BOOST_TEST(fleet.leaseOf(returned).holdsContext);
}

BOOST_AUTO_TEST_CASE(ChatsStayAtTheUpstreamThatHoldsTheirContextWhenAnotherJoins)
{
    FakeFleet fleet(2, 5);
    fleet.run(4);
    std::vector<std::pair<uint64_t, UpstreamId>> homes;
    for (uint64_t chat = 1; chat <= 60; ++chat) {
        auto const result = fleet.acquire(0, chat);
        fleet.run(0.02);
        homes.emplace_back(chat, fleet.leaseOf(result).upstream);
        fleet.controllers.at(fleet.members[0].id)->release(fleet.leaseOf(result).id, LeaseOutcome::Succeeded, fleet.events.now());
    }
    fleet.views.push_back({ UpstreamId::fromName("engine-new"), FakeFleet::pool(), HallId(1), false, 1 });
    fleet.applyViews();
    fleet.run(12);
    size_t kept = 0;
    for (auto const& [chat, home] : homes) {
        auto const result = fleet.acquire(1, chat, 3000);
        fleet.run(0.1);
        kept += fleet.leaseOf(result).upstream == home;
        fleet.controllers.at(fleet.members[1].id)->release(fleet.leaseOf(result).id, LeaseOutcome::Succeeded, fleet.events.now());
    }
    BOOST_TEST(kept == homes.size());
}

BOOST_AUTO_TEST_CASE(NoUpstreamExceedsLoadMultipleUnderLoad)
{
    FakeFleet fleet(4, 8);
    std::vector<std::shared_ptr<std::optional<Placement>>> results;
    for (uint64_t chat = 1; chat <= 160; ++chat) {
        results.push_back(fleet.acquire(chat % 4, chat));
        fleet.run(0.05);
    }
    fleet.run(1);
    size_t busiest = 0;
    size_t total = 0;
    for (auto const& view : fleet.views) {
        auto const load = fleet.ownerOf(view.id)->load();
        busiest = std::max(busiest, load);
        total += load;
    }
    BOOST_TEST(total == 160u);
    BOOST_TEST(static_cast<double>(busiest) <= fleet.policy.loadMultiple * static_cast<double>(total) / 8);
}

BOOST_AUTO_TEST_CASE(NewOwnerLearnsOfThePreviousOwnersLeases)
{
    FakeFleet fleet(3, 3);
    fleet.run(4);
    std::vector<std::shared_ptr<std::optional<Placement>>> results;
    for (uint64_t chat = 1; chat <= 15; ++chat)
        results.push_back(fleet.acquire(chat % 2, chat));
    fleet.run(1);
    // Disconnect the third daemon, through which none of the requests entered.
    fleet.disconnected.insert(fleet.members[2].id);
    fleet.members.pop_back();
    fleet.applyViews();
    fleet.run(1);
    size_t total = 0;
    for (auto const& view : fleet.views)
        total += fleet.ownerOf(view.id)->load();
    BOOST_TEST(total == 15u);
}

BOOST_AUTO_TEST_CASE(TwoSimultaneousOwnersStopGrantingOnceLoadReportsArrive)
{
    FakeFleet fleet(2, 1);
    PoolPolicy policy;
    policy.maxInFlight = 20;
    policy.minCap = 20;
    fleet.setPolicy(policy);
    fleet.run(4);
    // Partition the daemons, so that each considers itself the owner.
    for (auto const& member : fleet.members)
        fleet.controllers.at(member.id)->setView({ member.id, HallId(1), fleet.views, { member } }, fleet.events.now());
    std::vector<std::shared_ptr<std::optional<Placement>>> results;
    for (uint64_t chat = 1; chat <= 60; ++chat)
        results.push_back(fleet.acquire(chat % 2, chat, 0, Priority::Urgent));
    fleet.run(0.5);
    // The owners learn of each other's leases only from the upstream's load report.
    auto const inFlight = [&] {
        size_t count = 0;
        for (auto const& result : results)
            count += result->has_value() && std::holds_alternative<Lease>(**result);
        return count;
    };
    for (auto const& member : fleet.members)
        fleet.controllers.at(member.id)->leaseServer().find(fleet.views[0].id)->handleLoadReport(inFlight(), fleet.events.now());
    auto const atReport = inFlight();
    for (uint64_t chat = 100; chat <= 160; ++chat)
        results.push_back(fleet.acquire(chat % 2, chat, 0, Priority::Urgent));
    fleet.run(3);
    BOOST_TEST(atReport <= 40u);
    BOOST_TEST(inFlight() == atReport);
}

BOOST_AUTO_TEST_CASE(LeasesOfALostEntryDaemonAreDropped)
{
    FakeFleet fleet(3, 2);
    fleet.run(4);
    for (uint64_t chat = 1; chat <= 8; ++chat)
        fleet.acquire(2, chat);
    fleet.run(1);
    fleet.disconnected.insert(fleet.members[2].id);
    fleet.members.pop_back();
    fleet.applyViews();
    fleet.run(1);
    BOOST_TEST(fleet.ownerOf(fleet.views[0].id)->load() + fleet.ownerOf(fleet.views[1].id)->load() == 0u);
}

BOOST_AUTO_TEST_CASE(LeaseExpiresUnlessRenewed)
{
    UpstreamOwner owner({}, UpstreamOwner::Start::FreshUpstream, Instant());
    LeaseRequest request;
    request.lease = LeaseId(1);
    BOOST_TEST((owner.requestLease(request, VMId(1), 1, 0, Instant()).kind == LeaseResponseKind::Granted));
    BOOST_TEST(owner.load() == 1u);
    owner.poll(0, Instant(UpstreamOwner::leaseDuration));
    BOOST_TEST(owner.load() == 0u);
}

BOOST_AUTO_TEST_CASE(RequestWaitsForTheReplacementOfALostOwner)
{
    FakeFleet fleet(2, 1);
    fleet.run(4);
    auto const owner = fleet.controllers.at(fleet.members[0].id)->view().ownerOf(fleet.views[0].id);
    size_t const other = owner == fleet.members[0].id ? 1 : 0;
    fleet.disconnected.insert(*owner);
    auto const result = fleet.acquire(other, 1);
    fleet.run(2);
    BOOST_TEST(!result->has_value());
    fleet.members = { fleet.members[other] };
    fleet.applyViews();
    fleet.run(1);
    BOOST_TEST((result->has_value() && std::holds_alternative<Lease>(**result)));
}

BOOST_AUTO_TEST_CASE(CancelledRequestIsRemovedFromTheQueue)
{
    FakeFleet fleet(2, 1);
    PoolPolicy policy;
    policy.maxInFlight = 2;
    policy.minCap = 2;
    fleet.setPolicy(policy);
    fleet.run(4);
    for (uint64_t chat = 1; chat <= 2; ++chat)
        fleet.acquire(0, chat, 0, Priority::Urgent);
    auto& controller = *fleet.controllers.at(fleet.members[0].id);
    PlacementRequest request;
    request.pool = FakeFleet::pool();
    request.chat = ChatId(9);
    request.deadline = fleet.events.now() + Microseconds(20000000);
    auto const number = controller.acquire(request, fleet.events.now(), [](auto const&) { BOOST_ERROR("the callback of a cancelled request was called"); });
    fleet.run(0.2);
    BOOST_TEST(fleet.ownerOf(fleet.views[0].id)->queued() == 1u);
    controller.cancel(number, fleet.events.now());
    fleet.run(0.2);
    BOOST_TEST(fleet.ownerOf(fleet.views[0].id)->queued() == 0u);
    BOOST_TEST(controller.leaseClient().pendingCount() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>
#include <stagepostd/ServiceTable.h>

using namespace Stagepost;

namespace {

UpstreamRecord upstream(std::string instance, uint64_t incarnation)
{
    return { std::move(instance), "book", "10.0.0.1:80", "north", 4, false, Milliseconds(0), Incarnation(incarnation) };
}

struct World {
    void put(UpstreamRecord const& record) { table.apply({ record.instance, record }, now); }

    std::optional<ServicePlacement::Choice> choose(std::vector<UpstreamId> excluded = {})
    {
        ServicePlacement::Request wish;
        wish.excluded = std::move(excluded);
        return table.service("book").placement.choose(wish, now);
    }

    void fail(UpstreamId id, size_t times)
    {
        auto& placement = table.service("book").placement;
        for (size_t count = 0; count < times; ++count) {
            placement.started(id);
            placement.finished(id, SendOutcome::NoUsableAnswer, Milliseconds(1), Milliseconds(1), now);
        }
    }

    Instant now { Seconds(10) };
    std::vector<std::string> dropped;
    ServiceTable table { { "north", {}, {} }, [] { return 7u; }, [this](Endpoint const& endpoint) { dropped.push_back(endpoint.toString()); } };
};

}

BOOST_AUTO_TEST_SUITE(ServiceTableTests)

// One upstream's record arrives before the order to empty the hall, the other's after it.
BOOST_AUTO_TEST_CASE(UpstreamsOfAnEmptiedHallGetNoRequests)
{
    World world;
    auto const north = HallId::fromName("north");
    world.put(upstream("a", 5));
    world.table.setHallEmptied(north, true, world.now);
    world.put(upstream("b", 6));
    BOOST_TEST(!world.choose().has_value());
    world.table.setHallEmptied(north, false, world.now);
    BOOST_TEST(world.choose().has_value());
}

// Neither a later record nor the loss of the record in between revokes the announcement.
BOOST_AUTO_TEST_CASE(AnnouncedLeavingOverridesTheRecord)
{
    World world;
    world.put(upstream("a", 5));
    world.table.markLeaving(upstream("a", 5).id(), world.now);
    BOOST_TEST(!world.choose().has_value());
    world.put(upstream("a", 5));
    BOOST_TEST(!world.choose().has_value());
    world.table.apply({ "a", {} }, world.now);
    world.put(upstream("a", 5));
    BOOST_TEST(!world.choose().has_value());
    world.put(upstream("a", 6));
    BOOST_TEST(world.choose().has_value());
}

// An upstream that is leaving stays excluded when its hall is no longer emptied.
BOOST_AUTO_TEST_CASE(LeavingUpstreamStaysExcludedWhenItsHallReturns)
{
    World world;
    auto leaving = upstream("a", 5);
    leaving.isLeaving = true;
    world.put(leaving);
    world.table.setHallEmptied(HallId::fromName("north"), true, world.now);
    world.table.setHallEmptied(HallId::fromName("north"), false, world.now);
    BOOST_TEST(!world.choose().has_value());
}

// Only a cold upstream's owner knows how many requests all daemons send to it.
BOOST_AUTO_TEST_CASE(ColdUpstreamNeedsAGrantOfItsOwner)
{
    World world;
    auto& placement = world.table.service("book").placement;
    placement.setColdStartLimit({ 9, 1.5, 5, Seconds(3) });
    auto cold = upstream("a", 5);
    cold.coldLeft = Milliseconds(2000);
    world.put(cold);
    BOOST_TEST(!world.choose().has_value());
    ServicePlacement::Request wish;
    auto const candidates = placement.candidatesForOwners(wish, world.now);
    BOOST_REQUIRE(candidates.size() == 1u);
    BOOST_REQUIRE(candidates.front().cold.has_value());
    BOOST_TEST((candidates.front().cold->left == Milliseconds(2000)));
    BOOST_TEST(placement.choiceFromOwners(wish, { cold.id(), true, 1 }, world.now).has_value());
    world.now += Seconds(3);
    BOOST_TEST(world.choose().has_value());
}

// Owners apply the rate limit of cold upstreams also to upstreams that might be cold. That alone
// must not refuse a request: an upstream that is only avoided is used if there is no other.
BOOST_AUTO_TEST_CASE(AvoidedUpstreamIsUsedIfThereIsNoOther)
{
    World world;
    auto const only = upstream("a", 5);
    auto cold = upstream("b", 6);
    cold.coldLeft = Milliseconds(2000);
    world.table.service("book").placement.setColdStartLimit({ 9, 1.5, 5, Seconds(3) });
    world.put(only);
    world.put(cold);
    ServicePlacement::Request wish;
    wish.avoided = { only.id(), cold.id() };
    auto const choice = world.table.service("book").placement.choose(wish, world.now);
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST((choice->upstream == only.id()));
}

BOOST_AUTO_TEST_CASE(RecordWithoutColdTimeMakesTheUpstreamWarm)
{
    World world;
    world.table.service("book").placement.setColdStartLimit({ 9, 1.5, 5, Seconds(3) });
    auto cold = upstream("a", 5);
    cold.coldLeft = Milliseconds(2000);
    world.put(cold);
    world.put(upstream("a", 5));
    BOOST_TEST(world.choose().has_value());
    world.table.markCold(cold.id(), Milliseconds(500), world.now);
    BOOST_TEST(!world.choose().has_value());
}

BOOST_AUTO_TEST_CASE(UpstreamsOfAReturningHallCountAsJustStarted)
{
    World world;
    world.table.service("book").placement.setColdStartLimit({ 9, 1.5, 5, Seconds(3) });
    world.put(upstream("a", 5));
    world.table.setHallEmptied(HallId::fromName("north"), true, world.now);
    world.table.setHallEmptied(HallId::fromName("north"), false, world.now);
    BOOST_TEST(!world.choose().has_value());
    world.now += Seconds(3);
    BOOST_TEST(world.choose().has_value());
}

// A grant that was given before the order to empty the hall is not used after it.
BOOST_AUTO_TEST_CASE(OrderToEmptyAHallInvalidatesEarlierGrants)
{
    World world;
    world.put(upstream("a", 5));
    auto& placement = world.table.service("book").placement;
    ServicePlacement::Request wish;
    wish.context = 7;
    PermitExchange::Outcome const granted { upstream("a", 5).id(), true, 1 };
    BOOST_TEST(placement.choiceFromOwners(wish, granted, world.now).has_value());
    world.table.setHallEmptied(HallId::fromName("north"), true, world.now);
    BOOST_TEST(!placement.choiceFromOwners(wish, granted, world.now).has_value());
}

// Circuit breaker, requests in flight, silence and idle connections of the earlier process do not
// carry over to the new process of the same name.
BOOST_AUTO_TEST_CASE(RestartResetsTheStateOfAnUpstream)
{
    World world;
    auto const first = upstream("a", 5);
    auto const second = upstream("a", 6);
    world.put(first);
    world.fail(first.id(), 20);
    world.table.silence().sent(first.id(), HallId::fromName("north"), world.now);
    world.table.service("book").placement.started(first.id());
    BOOST_TEST(world.table.service("book").placement.ownInFlight().size() == 1u);
    world.put(second);
    BOOST_TEST((world.dropped == std::vector<std::string> { "10.0.0.1:80" }));
    BOOST_TEST(!world.table.target(first.id()));
    BOOST_REQUIRE(world.table.target(second.id()));
    BOOST_TEST(world.table.target(second.id())->instance == "a");
    BOOST_TEST(world.table.service("book").placement.ownInFlight().empty());
    BOOST_TEST(!world.table.silence().isSilent(second.id(), world.now + Seconds(5)));
    auto const chosen = world.choose();
    BOOST_REQUIRE(chosen);
    BOOST_TEST((chosen->upstream == second.id() && !chosen->needsNewConnection));
    // A request to the earlier process that ends late does not affect the new one.
    world.fail(first.id(), 5);
    BOOST_TEST((world.choose()->upstream == second.id()));
}

// A request that failed at the earlier process may be sent to the new one.
BOOST_AUTO_TEST_CASE(FailedRequestMayBeRetriedAtTheNewProcess)
{
    World world;
    world.put(upstream("a", 5));
    world.put(upstream("a", 6));
    auto const chosen = world.choose({ upstream("a", 5).id() });
    BOOST_REQUIRE(chosen);
    BOOST_TEST((chosen->upstream == upstream("a", 6).id()));
}

BOOST_AUTO_TEST_CASE(UpstreamIsRemovedFromItsServiceWhenItMovesOrGoes)
{
    World world;
    auto record = upstream("a", 5);
    world.put(record);
    record.service = "chat";
    world.put(record);
    BOOST_TEST(!world.choose());
    BOOST_TEST(world.table.target(record.id())->service == "chat");
    world.table.apply({ "a", {} }, world.now);
    BOOST_TEST(!world.table.target(record.id()));
    world.table.apply({ "a", {} }, world.now);
    BOOST_TEST(world.table.upstreamCount() == 0u);
}

// Upstreams that are added after the roles were set get theirs at once.
BOOST_AUTO_TEST_CASE(RolesFollowVersions)
{
    World world;
    auto const put = [&](std::string const& instance, std::string const& version) {
        auto record = upstream(instance, 5);
        record.version = version;
        world.put(record);
        return record.id();
    };
    auto const roleOf = [&](UpstreamId id) {
        for (auto const& each : world.table.upstreamsOf("book")) {
            if (each.id == id)
                return each.role;
        }
        return UpstreamRole::Excluded;
    };
    auto const old = put("a", "v1");
    auto const tried = put("b", "v2");
    BOOST_TEST((roleOf(tried) == UpstreamRole::Serving));
    VersionRoles roles { { { "v1", UpstreamRole::Serving }, { "v2", UpstreamRole::Candidate } }, UpstreamRole::Excluded, { tried } };
    world.table.setVersionRoles("book", roles);
    auto const notTried = put("c", "v2");
    auto const other = put("d", "v3");
    auto const unknown = put("e", "");
    BOOST_TEST((roleOf(old) == UpstreamRole::Serving));
    BOOST_TEST((roleOf(tried) == UpstreamRole::Candidate));
    for (auto const id : { notTried, other, unknown })
        BOOST_TEST((roleOf(id) == UpstreamRole::Excluded));
    BOOST_TEST((world.choose()->upstream == old));
    BOOST_TEST(!world.choose({ old }));
    ServicePlacement::Request request;
    request.role = UpstreamRole::Candidate;
    BOOST_TEST((world.table.service("book").placement.choose(request, world.now)->upstream == tried));
    // Other services keep their roles.
    auto elsewhere = upstream("f", 5);
    elsewhere.service = "chat";
    elsewhere.version = "v2";
    world.put(elsewhere);
    BOOST_TEST((world.table.upstreamsOf("chat").front().role == UpstreamRole::Serving));

    world.table.setVersionRoles("book", { { { "v2", UpstreamRole::Serving } }, UpstreamRole::Excluded, {} });
    BOOST_TEST((roleOf(old) == UpstreamRole::Excluded));
    BOOST_TEST((roleOf(tried) == UpstreamRole::Serving));
    BOOST_TEST((roleOf(notTried) == UpstreamRole::Serving));
    world.table.setVersionRoles("book", {});
    BOOST_TEST((roleOf(other) == UpstreamRole::Serving));
}

// The requests that still run at the old version decide when its upstreams may stop.
BOOST_AUTO_TEST_CASE(RequestsInFlightAreCountedByVersion)
{
    World world;
    auto first = upstream("a", 5);
    first.version = "v1";
    auto second = upstream("b", 6);
    second.version = "v2";
    world.put(first);
    world.put(second);
    auto& placement = world.table.service("book").placement;
    placement.started(first.id());
    placement.started(first.id());
    placement.started(second.id());
    world.table.setVersionRoles("book", { { { "v1", UpstreamRole::Excluded } }, UpstreamRole::Serving, {} });
    BOOST_TEST(world.table.inFlightAt("book", { "v1" }) == 2u);
    BOOST_TEST(world.table.inFlightAt("book", { "v1", "v2" }) == 3u);
    BOOST_TEST(world.table.inFlightAt("book", { "v3" }) == 0u);
    BOOST_TEST(world.table.inFlightAt("chat", { "v1" }) == 0u);
    placement.finished(first.id(), SendOutcome::Succeeded, Milliseconds(1), Milliseconds(1), world.now);
    BOOST_TEST(world.table.inFlightAt("book", { "v1" }) == 1u);
}

// Guards against a version that is forgotten while a hall that is cut off still begins streams at it.
BOOST_AUTO_TEST_CASE(AnUpstreamThatIsGoneWithoutLeavingMayStillBeInUse)
{
    World world;
    auto lapsed = upstream("a", 5);
    lapsed.version = "v1";
    auto leaving = upstream("b", 6);
    leaving.version = "v2";
    leaving.isLeaving = true;
    auto announced = upstream("c", 7);
    announced.version = "v3";
    auto replaced = upstream("d", 8);
    replaced.version = "v4";
    for (auto const& each : { lapsed, leaving, announced, replaced })
        world.put(each);
    world.table.markLeaving(announced.id(), world.now);
    for (auto const* instance : { "a", "b", "c" })
        world.table.apply({ instance, {} }, world.now);
    replaced.incarnation = Incarnation(9);
    replaced.version = "v5";
    world.put(replaced);
    BOOST_TEST((world.table.lapsedVersions(world.now).at("book") == LapsedVersions { { VersionId::fromName("v1"), VersionHistory::lapsedMemory } }));
}

// Guards against a proof of one version although other daemons have used one whose upstream was never listed here.
BOOST_AUTO_TEST_CASE(AVersionThatWasPassedOverIsRemembered)
{
    World world;
    auto listed = upstream("a", 1);
    listed.version = "v1";
    world.put(listed);
    world.now += VersionHistory::memory;
    auto const uniform = [&] { return world.table.versions("book")->uniformVersion(world.now); };
    BOOST_TEST((uniform() == VersionId::fromName("v1")));
    world.table.notePassedOver(listed, false, world.now);
    BOOST_TEST((uniform() == VersionId::fromName("v1")));
    auto other = upstream("b", 2);
    other.version = "v2";
    world.table.notePassedOver(other, false, world.now);
    BOOST_TEST(!uniform().has_value());
    world.now += VersionHistory::memory;
    BOOST_TEST((uniform() == VersionId::fromName("v1")));
    world.table.notePassedOver(other, true, world.now);
    world.now += VersionHistory::memory;
    BOOST_TEST(!uniform().has_value());
    BOOST_TEST((world.table.lapsedVersions(world.now).at("book") == LapsedVersions { { VersionId::fromName("v2"), VersionHistory::lapsedMemory - VersionHistory::memory } }));
}

// Guards against a proof of one version while a route lets streams of an earlier one be taken up for longer than usual.
BOOST_AUTO_TEST_CASE(RoutesTellHowLongVersionsAreRemembered)
{
    World world;
    Route route;
    route.timeout = Seconds(100);
    auto const settingsWith = [&route](uint64_t version) {
        RouteTable::Parts parts;
        parts.version = version;
        parts.routes.emplace_back(route);
        return RouteTable(std::move(parts));
    };
    auto one = upstream("a", 1);
    one.version = "v1";
    world.put(one);
    auto const lifetime = [&](std::string const& service) { return world.table.versions(service)->currentMemory(); };
    // Its requests can't be taken up.
    world.table.applySettings(settingsWith(1), 1, 0);
    BOOST_TEST((lifetime("book") == VersionHistory::memory));
    route.kind = RequestKind::Stream;
    route.isResumable = true;
    world.table.applySettings(settingsWith(2), 1, 0);
    BOOST_TEST((lifetime("book") == Seconds(100) + ServiceTable::streamRecordMargin));
    BOOST_TEST((world.table.versionKnowledge("book", world.now).streamLifetime == lifetime("book")));
    // Streams that have begun keep their deadlines.
    route.timeout = Seconds(10);
    world.table.applySettings(settingsWith(3), 1, 0);
    BOOST_TEST((lifetime("book") == Seconds(100) + ServiceTable::streamRecordMargin));
    auto other = upstream("b", 2);
    other.service = "chat";
    world.put(other);
    BOOST_TEST((lifetime("chat") == lifetime("book")));
    world.table.restartVersionHistory(world.now);
    world.now += Seconds(100);
    BOOST_TEST(!world.table.recentVersions(world.now).has_value());
    world.now += ServiceTable::streamRecordMargin;
    BOOST_TEST(world.table.recentVersions(world.now).has_value());
}

// Guards against streams that wait for a proof of their version in services whose upstreams have a new name at each start.
BOOST_AUTO_TEST_CASE(OnlyAnotherVersionUnderTheSameNameReusesANameOfTheService)
{
    World world;
    auto const put = [&](std::string const& instance, uint64_t incarnation, std::string const& version) {
        auto record = upstream(instance, incarnation);
        record.version = version;
        world.put(record);
    };
    put("a", 5, "v1");
    put("b", 6, "v2");
    put("a", 7, "v1");
    put("b", 6, "");
    put("b", 6, "v2");
    BOOST_TEST(!world.table.hasReusedNames("book"));
    put("a", 7, "v2");
    BOOST_TEST(world.table.hasReusedNames("book"));
}

// Guards against a read that was sent before a suspension or an outage and is taken for a proof of what came and
// went meanwhile.
BOOST_AUTO_TEST_CASE(AReadFromBeforeAGapProvesNoVersions)
{
    World world;
    world.put(upstream("a", 1));
    std::map<std::string, std::set<VersionId>> const versions { { "book", { VersionId::fromName("") } } };
    auto const sentAt = world.now;
    world.now += Seconds(1);
    world.table.restartVersionHistory(world.now);
    world.table.restoreVersionHistory(versions, {}, sentAt, world.now);
    BOOST_TEST(!world.table.recentVersions(world.now).has_value());
    world.table.restoreVersionHistory(versions, {}, world.now, world.now);
    BOOST_TEST(world.table.recentVersions(world.now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

#include <LibProxy/ClientLimits.h>
#include <LibProxy/ClientMemory.h>
#include <LibProxy/Detail/IncomingBody.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

namespace {

constexpr size_t megabyte = 1u << 20;
constexpr size_t limit = 8 * megabyte;
// What ordinary requests and large bodies may fill.
constexpr size_t requestLimit = 7 * megabyte;
constexpr size_t largeBodyLimit = 6 * megabyte;

struct TestClient final : ClientMemory::Client {
    explicit TestClient(std::shared_ptr<ClientMemory> const& memory, void const* server = nullptr)
        : Client(server)
        , charge(memory)
        , memory(memory)
    {
    }
    ~TestClient() override { memory->remove(*this); }

    void giveWay() override
    {
        hasGivenWay = true;
        charge.resize(0);
    }
    void disconnect() override { giveWay(); }

    bool take(size_t bytes, ClientMemory::Use use = ClientMemory::Use::Request) { return charge.tryResize(bytes, use, this); }

    ClientMemory::Charge charge;
    std::shared_ptr<ClientMemory> memory;
    bool hasGivenWay { false };
};

struct Fixture {
    std::shared_ptr<ClientMemory> memory { std::make_shared<ClientMemory>(limit) };
    TestClient first { memory };
    TestClient second { memory };
    TestClient third { memory };
};

}

BOOST_FIXTURE_TEST_SUITE(ClientMemoryTests, Fixture)

BOOST_AUTO_TEST_CASE(LargeBodiesLeaveRoomForOrdinaryRequestsAndTheseForConnections)
{
    BOOST_TEST(!first.take(largeBodyLimit + 1, ClientMemory::Use::LargeBody));
    BOOST_TEST(first.take(largeBodyLimit, ClientMemory::Use::LargeBody));
    BOOST_TEST(!second.take(megabyte + 1));
    BOOST_TEST(second.take(megabyte));
    BOOST_TEST(!third.take(megabyte + 1, ClientMemory::Use::Connection));
    BOOST_TEST(third.take(megabyte, ClientMemory::Use::Connection));
    BOOST_TEST(memory->used() == limit);
}

// Guards against a crowd that keeps ordinary requests out with bodies that it doesn't finish.
BOOST_AUTO_TEST_CASE(AnUnfinishedLargeBodyGivesWayToAnOrdinaryRequest)
{
    BOOST_TEST(first.take(largeBodyLimit, ClientMemory::Use::LargeBody));
    memory->recordProgress(first, true);
    BOOST_TEST(second.take(2 * megabyte));
    BOOST_TEST(first.hasGivenWay);
    BOOST_TEST(memory->used() == 2 * megabyte);
    BOOST_TEST(memory->counts().refusedRequests == 1);
}

BOOST_AUTO_TEST_CASE(TheOneWithoutProgressForTheLongestTimeGivesWayFirst)
{
    for (auto* client : { &first, &second }) {
        BOOST_TEST(client->take(3 * megabyte));
        memory->recordProgress(*client, false);
    }
    memory->recordProgress(first, false);
    BOOST_TEST(third.take(2 * megabyte));
    BOOST_TEST(second.hasGivenWay);
    BOOST_TEST(!first.hasGivenWay);
}

BOOST_AUTO_TEST_CASE(IdleConnectionsGiveWayBeforeOrdinaryRequests)
{
    BOOST_TEST(first.take(3 * megabyte));
    memory->recordProgress(first, false);
    BOOST_TEST(second.take(3 * megabyte));
    memory->setIdle(second);
    BOOST_TEST(third.take(2 * megabyte));
    BOOST_TEST(second.hasGivenWay);
    BOOST_TEST(!first.hasGivenWay);
    BOOST_TEST(memory->counts().closedConnections == 1);
}

BOOST_AUTO_TEST_CASE(CompleteRequestsDontGiveWay)
{
    BOOST_TEST(first.take(requestLimit));
    memory->recordProgress(first, true);
    memory->remove(first);
    BOOST_TEST(!second.take(1));
    BOOST_TEST(!first.hasGivenWay);
}

BOOST_AUTO_TEST_CASE(NobodyGivesWayToItself)
{
    BOOST_TEST(first.take(requestLimit));
    memory->recordProgress(first, false);
    BOOST_TEST(!first.take(requestLimit + 1));
    BOOST_TEST(!first.hasGivenWay);
    BOOST_TEST(first.charge.bytes() == requestLimit);
}

// Large bodies that all arrive would otherwise end one another.
BOOST_AUTO_TEST_CASE(ALargeBodyThatArrivesDoesntGiveWayToAnother)
{
    BOOST_TEST(first.take(largeBodyLimit, ClientMemory::Use::LargeBody));
    memory->recordProgress(first, true);
    BOOST_TEST(!second.take(megabyte, ClientMemory::Use::LargeBody));
    BOOST_TEST(!first.hasGivenWay);
}

BOOST_AUTO_TEST_CASE(OnlyClientsOfTheServerAreDisconnectedForItsConnections)
{
    int const server = 0;
    TestClient other { memory, &server };
    memory->setIdle(first);
    BOOST_TEST(!memory->disconnectOne(&server));
    memory->recordProgress(other, false);
    BOOST_TEST(memory->disconnectOne(&server));
    BOOST_TEST(other.hasGivenWay);
    BOOST_TEST(!first.hasGivenWay);
}

BOOST_AUTO_TEST_CASE(ABodyIsCountedUntilItsLastCopyIsGone)
{
    IncomingBody incoming(memory);
    constexpr size_t size = 100000;
    // The bodies of several requests on a connection.
    for (char const letter : { 'x', 'y' }) {
        while (incoming.size() < size) {
            BOOST_TEST_REQUIRE(incoming.makeRoom(size, first));
            auto const room = incoming.room();
            std::fill(room.begin(), room.end(), letter);
            incoming.commit(room.size());
        }
        HttpBody body = incoming.release();
        HttpBody copy = body;
        body = {};
        BOOST_TEST(copy.bytes() == std::string(size, letter));
        BOOST_TEST(memory->used() == size);
        copy = {};
        BOOST_TEST(memory->used() == 0);
    }
}

// An announced length takes nothing.
BOOST_AUTO_TEST_CASE(ABodyTakesWhatHasArrived)
{
    IncomingBody incoming(memory);
    BOOST_TEST(incoming.makeRoom(limit, first));
    BOOST_TEST(memory->used() <= megabyte / 32);
}

// Guards against a daemon that refuses everything where the system doesn't tell what the machine has.
BOOST_AUTO_TEST_CASE(AnUnknownMachineHasRoomForClients)
{
    auto const limits = ClientLimits::forMachine({});
    BOOST_TEST(limits.memory >= 64 * megabyte);
    BOOST_TEST(limits.connections >= 100);
}

// Guards against detours that keep other daemons from fetching this one's state.
BOOST_AUTO_TEST_CASE(DetoursLeaveConnectionsToOtherDaemons)
{
    for (uint64_t descriptors : { 256, 1024, 4100, 20000 }) {
        auto const limits = ClientLimits::forMachine({ 260 * megabyte, descriptors });
        BOOST_TEST(limits.detouredRequests < limits.peerConnections);
    }
    BOOST_TEST(ClientLimits::forMachine({ 260 * megabyte, 4100 }).detouredRequests >= 256);
}

BOOST_AUTO_TEST_CASE(ClientsNeverTakeAllDescriptors)
{
    for (uint64_t descriptors = 256; descriptors <= 1u << 20; descriptors += descriptors / 7) {
        auto const limits = ClientLimits::forMachine({ 260 * megabyte, descriptors });
        // Each request of a caller or of another daemon may have a connection to an upstream.
        auto const taken = 2 * limits.connections + limits.checkConnections + 2 * limits.peerConnections + limits.idleUpstreamConnections;
        BOOST_TEST(taken + 64 <= descriptors);
        BOOST_TEST(limits.connections >= 32);
    }
}

BOOST_AUTO_TEST_SUITE_END()

#include <LibBase/MessageWriter.h>
#include <LibRouting/StreamOriginExchange.h>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <rapidcheck.h>
#include <set>

using namespace Stagepost;

namespace {

constexpr VersionId first { 11 };
constexpr VersionId second { 12 };
constexpr std::string_view service { "chat" };
constexpr Milliseconds listConfirmationInterval { 400 };

Instant at(double seconds)
{
    return Instant(Microseconds(static_cast<int64_t>(seconds * 1e6)));
}

// Daemons in several halls that have run for long, unless they are restarted.
class Fleet {
public:
    explicit Fleet(uint64_t daemonCount = 9, uint64_t hallCount = 3)
    {
        for (uint64_t number = 1; number <= daemonCount; ++number)
            m_peers.push_back({ VMId(number), HallId(number % hallCount) });
        for (auto const& peer : m_peers)
            start(peer, at(0));
        for (auto& [id, daemon] : daemons)
            daemon.versions.appeared(first, at(0));
        run(60);
    }

    struct Daemon {
        VersionHistory versions { at(0) };
        std::unique_ptr<StreamOriginExchange> exchange {};
        bool isListProven { true };
        // Set if the list of upstreams has not been confirmed since.
        std::optional<Instant> listProvenAt {};
        bool isDown { false };
    };

    void restart(VMId id)
    {
        auto const peer = *std::find_if(m_peers.begin(), m_peers.end(), [id](auto const& each) { return each.id == id; });
        start(peer, now);
        for (auto const version : m_present)
            daemons[id].versions.appeared(version, now);
        for (auto& [other, daemon] : daemons) {
            if (other != id)
                daemon.exchange->peerStarted(id, now);
        }
        deliver();
    }

    // Started again, without records from the others.
    void killAndRestart(VMId id, std::set<VersionId> const& present)
    {
        start(*std::find_if(m_peers.begin(), m_peers.end(), [id](auto const& each) { return each.id == id; }), now);
        for (auto const version : present)
            daemons[id].versions.appeared(version, now);
    }

    // The daemon's list of upstreams is from now, and is not confirmed any more.
    void keepListOf(VMId id)
    {
        daemons[id].listProvenAt = now;
        run(0.5);
    }

    // The daemons are gone for good, and the others' lists no longer have them.
    void remove(std::set<VMId> const& gone)
    {
        for (auto const id : gone)
            daemons[id].isDown = true;
        std::erase_if(m_peers, [&](auto const& peer) { return gone.contains(peer.id); });
        setPeersEverywhere();
    }

    // Started again, and does not know the other daemons yet.
    void killAndRestartWithoutPeers(VMId id)
    {
        auto const peer = *std::find_if(m_peers.begin(), m_peers.end(), [id](auto const& each) { return each.id == id; });
        start(peer, now, false);
        for (auto const version : m_present)
            daemons[id].versions.appeared(version, now);
    }
    void setPeersOf(VMId id) { daemons[id].exchange->setPeers(m_peers, now); }

    // More daemons join. The ones that are named have not read the registry since, so their lists of daemons are older.
    void add(uint64_t count, uint64_t hallCount, std::set<VMId> const& withOldLists)
    {
        for (uint64_t added = 0; added < count; ++added) {
            uint64_t const number = daemons.size() + 1;
            m_peers.push_back({ VMId(number), HallId(number % hallCount) });
            start(m_peers.back(), now);
            for (auto const version : m_present)
                daemons[VMId(number)].versions.appeared(version, now);
        }
        for (auto const& peer : m_peers) {
            if (!withOldLists.contains(peer.id))
                daemons[peer.id].exchange->setPeers(m_peers, now);
        }
    }

    // What a hall and the rest of the fleet do not see of each other.
    void setOthersDown(HallId hall, bool areDown)
    {
        for (auto const id : daemonsOutside(hall))
            daemons[id].isDown = areDown;
    }
    std::set<VMId> daemonsOutside(HallId hall) const
    {
        std::set<VMId> result;
        for (auto const& peer : m_peers) {
            if (peer.hall != hall)
                result.insert(peer.id);
        }
        return result;
    }

    void restartAll()
    {
        for (auto const& peer : m_peers) {
            start(peer, now);
            for (auto const version : m_present)
                daemons[peer.id].versions.appeared(version, now);
        }
    }

    void restoreHistoryEverywhere(std::set<VersionId> const& versions)
    {
        for (auto& [id, daemon] : daemons)
            daemon.versions.restore(versions, {}, now, now);
    }

    void vanishEverywhere(VersionId version)
    {
        m_present.erase(version);
        for (auto& [id, daemon] : daemons)
            daemon.versions.vanished(version, now);
    }

    void appearEverywhere(VersionId version)
    {
        m_present.insert(version);
        for (auto& [id, daemon] : daemons)
            daemon.versions.appeared(version, now);
    }

    void record(VMId at, StreamId stream, VersionId version, Microseconds lifetime = Seconds(12))
    {
        daemons[at].exchange->record(stream, std::string(service), version, lifetime, now);
        deliver();
    }

    StreamOriginExchange::Origin find(VMId at, StreamId stream)
    {
        std::optional<StreamOriginExchange::Origin> result;
        daemons[at].exchange->find(
            stream, std::string(service), [&](auto const& origin) { result = origin; }, now);
        for (auto const end = now + Seconds(1); !result && now < end; now += Milliseconds(5)) {
            deliver();
            daemons[at].exchange->tick(now);
        }
        BOOST_REQUIRE(result.has_value());
        return *result;
    }

    // The daemons that hold a record.
    std::set<VMId> holders() const
    {
        std::set<VMId> result;
        for (auto const& [id, daemon] : daemons) {
            if (daemon.exchange->recordCount())
                result.insert(id);
        }
        return result;
    }

    void run(double seconds)
    {
        now += Microseconds(static_cast<int64_t>(seconds * 1e6));
        for (auto& [id, daemon] : daemons)
            daemon.exchange->tick(now);
    }

    void runInTicks(double seconds)
    {
        for (auto const end = now + Microseconds(static_cast<int64_t>(seconds * 1e6)); now < end;) {
            run(0.05);
            deliver();
        }
    }

    Instant now { at(0) };
    std::map<VMId, Daemon> daemons;
    // What would outlive all daemons.
    std::vector<StreamOriginRecord> persisted;
    bool areMessagesLost { false };
    size_t sentMessages { 0 };

private:
    void setPeersEverywhere()
    {
        for (auto const& peer : m_peers)
            daemons[peer.id].exchange->setPeers(m_peers, now);
    }

    void start(FleetPeer const& peer, Instant since, bool knowsPeers = true)
    {
        auto& daemon = daemons[peer.id];
        daemon.versions = VersionHistory(since);
        StreamOriginExchange::Hooks hooks;
        hooks.send = [this, from = peer.id](VMId to, std::string const& bytes) {
            ++sentMessages;
            m_messages.push_back({ from, to, bytes });
        };
        hooks.versions = [&daemon](std::string const&, Instant time) {
            auto const uniform = daemon.versions.uniformVersion(time);
            auto const lastConfirmation = time - time.time_since_epoch() % listConfirmationInterval;
            return StreamOriginExchange::VersionKnowledge { daemon.isListProven ? uniform : std::nullopt, daemon.listProvenAt.value_or(lastConfirmation), daemon.versions.versionWithoutRecords(time), daemon.versions.restoredUniformAt(), daemon.versions.recentVersions(time).size() > 1, !uniform };
        };
        hooks.persist = [this](StreamOriginRecord const& record) { persisted.push_back(record); };
        daemon.exchange = std::make_unique<StreamOriginExchange>(peer, StreamOriginExchange::Bounds {}, std::move(hooks), since);
        if (knowsPeers)
            daemon.exchange->setPeers(m_peers, now);
    }

    void deliver()
    {
        while (!m_messages.empty()) {
            auto const messages = std::exchange(m_messages, {});
            for (auto const& message : messages) {
                if (!areMessagesLost && !daemons[message.from].isDown && !daemons[message.to].isDown)
                    BOOST_TEST(daemons[message.to].exchange->receive(message.from, message.bytes, now).has_value());
            }
        }
    }

    struct Message {
        VMId from;
        VMId to;
        std::string bytes;
    };

    std::vector<FleetPeer> m_peers;
    std::set<VersionId> m_present { first };
    std::vector<Message> m_messages;
};

}

BOOST_AUTO_TEST_SUITE(StreamOriginExchangeTests)

BOOST_AUTO_TEST_CASE(AnyDaemonFindsTheVersionThatBeganAStream)
{
    Fleet fleet;
    fleet.appearEverywhere(second);
    for (uint64_t stream = 1; stream <= 20; ++stream)
        fleet.record(VMId(1 + stream % 9), StreamId(stream), stream % 2 ? first : second);
    for (uint64_t stream = 1; stream <= 20; ++stream) {
        for (auto& [id, daemon] : fleet.daemons)
            BOOST_TEST((fleet.find(id, StreamId(stream)).version == (stream % 2 ? first : second)));
    }
}

BOOST_AUTO_TEST_CASE(ARecordOutlivesItsStarterAndTwoKeepers)
{
    Fleet fleet;
    fleet.appearEverywhere(second);
    fleet.record(VMId(1), StreamId(7), second);
    auto keepers = fleet.holders();
    keepers.erase(VMId(1));
    BOOST_TEST(keepers.size() >= 2u);
    fleet.daemons[VMId(1)].isDown = true;
    auto const survivor = *keepers.rbegin();
    for (auto const keeper : keepers)
        fleet.daemons[keeper].isDown = keeper != survivor;
    for (auto& [id, daemon] : fleet.daemons) {
        if (!daemon.isDown)
            BOOST_TEST((fleet.find(id, StreamId(7)).version == second));
    }
}

BOOST_AUTO_TEST_CASE(ADaemonThatStartsGetsTheRecordsThatItKeeps)
{
    Fleet fleet;
    fleet.appearEverywhere(second);
    fleet.record(VMId(1), StreamId(7), second);
    auto const holders = fleet.holders();
    // One after the other, all of them are replaced.
    for (auto const holder : holders)
        fleet.restart(holder);
    BOOST_TEST((fleet.find(VMId(9), StreamId(7)).version == second));
}

BOOST_AUTO_TEST_CASE(AStreamThatBeganWhileThereWasOneVersionGoesOn)
{
    Fleet fleet;
    fleet.record(VMId(1), StreamId(7), first);
    BOOST_TEST((fleet.find(VMId(2), StreamId(7)).version == first));
    BOOST_TEST((fleet.find(VMId(2), StreamId(8)).version == first));
    fleet.appearEverywhere(second);
    fleet.runInTicks(2);
    BOOST_TEST((fleet.find(VMId(2), StreamId(7)).version == first));
    // By now, every stream has a record.
    BOOST_TEST(!fleet.find(VMId(2), StreamId(8)).version.has_value());
    fleet.run(40);
    auto const origin = fleet.find(VMId(2), StreamId(7));
    BOOST_TEST(!origin.version.has_value());
    BOOST_TEST(origin.isFinal);
}

// Guards against streams of two versions: after all daemons were killed they agree on what none of them knows.
BOOST_AUTO_TEST_CASE(AVersionThatLeftBeforeAllDaemonsStartedAgainIsNotTakenForTheOther)
{
    Fleet fleet;
    fleet.appearEverywhere(second);
    fleet.record(VMId(1), StreamId(7), first);
    fleet.run(5);
    fleet.vanishEverywhere(first);
    fleet.run(1);
    fleet.restartAll();
    BOOST_TEST(!fleet.find(VMId(2), StreamId(7)).version.has_value());
    fleet.restoreHistoryEverywhere({ first, second });
    BOOST_TEST(!fleet.find(VMId(2), StreamId(7)).version.has_value());
    // No caller takes up a stream of the first version any more.
    fleet.run(31);
    BOOST_TEST((fleet.find(VMId(2), StreamId(8)).version == second));
}

BOOST_AUTO_TEST_CASE(WithOneVersionStreamsGoOnAfterAllDaemonsHaveStartedAgain)
{
    Fleet fleet;
    fleet.restartAll();
    BOOST_TEST(!fleet.find(VMId(2), StreamId(7)).version.has_value());
    fleet.restoreHistoryEverywhere({ first });
    BOOST_TEST((fleet.find(VMId(2), StreamId(7)).version == first));
    fleet.daemons[VMId(3)].isDown = true;
    BOOST_TEST((fleet.find(VMId(2), StreamId(7)).version == first));
    fleet.record(VMId(1), StreamId(7), first);
    // Also while the store is away, and after another version has joined.
    for (auto& [id, daemon] : fleet.daemons)
        daemon.isListProven = false;
    BOOST_TEST((fleet.find(VMId(2), StreamId(7)).version == first));
    fleet.appearEverywhere(second);
    fleet.runInTicks(0.5);
    fleet.record(VMId(1), StreamId(8), second);
    BOOST_TEST((fleet.find(VMId(2), StreamId(7)).version == first));
    BOOST_TEST((fleet.find(VMId(2), StreamId(8)).version == second));
}

BOOST_AUTO_TEST_CASE(ADaemonThatMayHaveMissedAVersionDoesNotGuess)
{
    Fleet fleet;
    // Cut off, with an old list, from a fleet that knows of another version since.
    fleet.daemons[VMId(2)].isListProven = false;
    for (auto& [id, daemon] : fleet.daemons)
        daemon.isDown = id != VMId(2);
    auto const origin = fleet.find(VMId(2), StreamId(7));
    BOOST_TEST(!origin.version.has_value());
    BOOST_TEST(!origin.isFinal);
    // Started again, among daemons that have seen both.
    Fleet other;
    other.appearEverywhere(second);
    other.run(40);
    for (uint64_t id = 1; id <= 9; ++id) {
        if (id != 5)
            other.restart(VMId(id));
    }
    BOOST_TEST(!other.find(VMId(2), StreamId(7)).version.has_value());
}

BOOST_AUTO_TEST_CASE(ADaemonThatLearnsLateOfAVersionFollowsTheRecord)
{
    Fleet fleet;
    fleet.keepListOf(VMId(2));
    fleet.record(VMId(3), StreamId(21), first);
    for (auto& [id, daemon] : fleet.daemons) {
        if (id != VMId(2))
            daemon.versions.appeared(second, fleet.now);
    }
    fleet.runInTicks(0.5);
    for (uint64_t stream = 1; stream <= 20; ++stream)
        fleet.record(VMId(1), StreamId(stream), second);
    for (uint64_t stream = 1; stream <= 20; ++stream)
        BOOST_TEST((fleet.find(VMId(2), StreamId(stream)).version == second));
    // Begun before.
    BOOST_TEST((fleet.find(VMId(2), StreamId(21)).version == first));
    // Nobody can tell it of a version that has joined.
    for (auto& [id, daemon] : fleet.daemons)
        daemon.isDown = id != VMId(2);
    BOOST_TEST(!fleet.find(VMId(2), StreamId(22)).version.has_value());
}

BOOST_AUTO_TEST_CASE(WithOneVersionAStreamGoesOnWithoutItsKeepers)
{
    Fleet fleet;
    fleet.appearEverywhere(second);
    fleet.record(VMId(1), StreamId(7), second);
    auto const keepers = fleet.holders();
    Fleet other;
    for (auto const keeper : keepers)
        other.daemons[keeper].isDown = keeper != VMId(1);
    BOOST_TEST((other.find(VMId(1), StreamId(7)).version == first));
}

BOOST_AUTO_TEST_CASE(RecordsExpire)
{
    Fleet fleet;
    fleet.appearEverywhere(second);
    fleet.record(VMId(1), StreamId(7), second, Seconds(3));
    BOOST_TEST(!fleet.holders().empty());
    fleet.run(4);
    BOOST_TEST(fleet.holders().empty());
}

// Guards against a list from before a version has joined, which tells the version of streams whose records are lost.
BOOST_AUTO_TEST_CASE(AListFromBeforeTheKeepersStartIsNoProof)
{
    size_t unrecorded = 0;
    for (uint64_t stream = 1; stream <= 40; ++stream) {
        Fleet fleet;
        fleet.keepListOf(VMId(9));
        for (auto& [id, daemon] : fleet.daemons) {
            if (id != VMId(9))
                daemon.versions.appeared(second, fleet.now);
        }
        fleet.record(VMId(1), StreamId(stream), second);
        if (fleet.holders().contains(VMId(9)))
            continue;
        ++unrecorded;
        for (uint64_t number = 1; number <= 8; ++number)
            fleet.killAndRestart(VMId(number), { first, second });
        BOOST_TEST(!fleet.find(VMId(9), StreamId(stream)).version.has_value());
    }
    BOOST_TEST(unrecorded > 0u);
}

// Guards against daemons that are keepers now and say that there is no record, which others had that have left.
BOOST_AUTO_TEST_CASE(KeepersThatHaveLeftMayHaveHadTheRecord)
{
    for (uint64_t const daemonCount : { 9, 200 }) {
        for (double const age : { 3.0, 10.0, 25.0, 40.0 }) {
            size_t joined = 0;
            for (uint64_t stream = 1; stream <= (daemonCount > 9 ? 5 : 40); ++stream) {
                Fleet fleet(daemonCount, daemonCount > 9 ? 6 : 3);
                fleet.appearEverywhere(second);
                fleet.run(age);
                fleet.record(VMId(1), StreamId(stream), second);
                auto const holders = fleet.holders();
                fleet.remove(holders);
                fleet.run(5);
                for (uint64_t id = 2; id <= 9; ++id)
                    joined += !holders.contains(VMId(id)) && fleet.find(VMId(id), StreamId(stream)).version == first;
            }
            BOOST_TEST(joined == 0u, daemonCount << " daemons, the version joined " << age << " s before: " << joined);
        }
    }
}

// Guards against streams of a version that only a hall still used that was cut off: elsewhere, its upstreams' records have lapsed.
BOOST_AUTO_TEST_CASE(AHallThatWasCutOffMayHaveBegunStreamsAtAVersionThatElsewhereIsGone)
{
    HallId const cutOff(1);
    auto const play = [&](double cutFor, bool areKilled, bool isBack) {
        size_t joined = 0;
        for (uint64_t stream = 1; stream <= 60; ++stream) {
            Fleet fleet;
            fleet.appearEverywhere(second);
            fleet.run(60);
            fleet.setOthersDown(cutOff, true);
            for (auto const id : fleet.daemonsOutside(cutOff)) {
                fleet.daemons[id].versions.lapsed(second, fleet.now);
                fleet.daemons[id].versions.vanished(second, fleet.now);
            }
            fleet.run(cutFor);
            fleet.record(VMId(1), StreamId(stream), second);
            fleet.run(1);
            for (uint64_t const id : { 1, 4, 7 }) {
                if (areKilled)
                    fleet.killAndRestart(VMId(id), isBack ? std::set { first, second } : std::set { first });
            }
            fleet.setOthersDown(cutOff, false);
            for (auto const id : fleet.daemonsOutside(cutOff)) {
                if (isBack)
                    fleet.daemons[id].versions.appeared(second, fleet.now);
            }
            for (uint64_t const id : { 2, 3 })
                joined += fleet.find(VMId(id), StreamId(stream)).version == first;
        }
        return joined;
    };
    for (double const cutFor : { 20.0, 35.0, 300.0 }) {
        for (bool const areKilled : { false, true }) {
            for (bool const isBack : { false, true })
                BOOST_TEST(play(cutFor, areKilled, isBack) == 0u, "cut off for " << cutFor << " s, killed " << areKilled << ", known again " << isBack);
        }
    }
}

// Guards against streams that are refused because they began just before a second version appeared.
BOOST_AUTO_TEST_CASE(StreamsUnderWayGetARecordWhenASecondVersionAppears)
{
    Fleet fleet;
    for (uint64_t stream = 1; stream <= 30; ++stream)
        fleet.record(VMId(1), StreamId(stream), first);
    fleet.runInTicks(1);
    BOOST_TEST((fleet.holders() == std::set { VMId(1) }));
    BOOST_TEST(fleet.persisted.empty());
    fleet.appearEverywhere(second);
    fleet.runInTicks(0.5);
    BOOST_TEST(fleet.persisted.size() == 30u);
    for (auto const& record : fleet.persisted)
        BOOST_TEST((record.version == first && record.lifetime > Seconds(10) && record.lifetime <= Seconds(11)));
    fleet.killAndRestart(VMId(1), { first, second });
    for (uint64_t stream = 1; stream <= 30; ++stream)
        BOOST_TEST((fleet.find(VMId(2), StreamId(stream)).version == first));
    fleet.run(12);
    BOOST_TEST(fleet.holders().empty());
}

BOOST_AUTO_TEST_CASE(LateRecordsAreSpreadOverTime)
{
    Fleet fleet;
    for (uint64_t stream = 1; stream <= 300; ++stream)
        fleet.record(VMId(1), StreamId(stream), first);
    fleet.runInTicks(1);
    fleet.appearEverywhere(second);
    fleet.runInTicks(1);
    BOOST_TEST(fleet.persisted.size() >= 95u);
    BOOST_TEST(fleet.persisted.size() <= 115u);
    // The latest ones last longest.
    BOOST_TEST((fleet.persisted.front().stream == StreamId(300)));
}

// Guards against streams that are refused after a kill of all daemons although records of them are kept elsewhere.
BOOST_AUTO_TEST_CASE(RecordsThatOutlivedAllDaemonsTellTheVersion)
{
    Fleet fleet;
    fleet.appearEverywhere(second);
    fleet.record(VMId(1), StreamId(7), first);
    fleet.record(VMId(1), StreamId(8), second);
    fleet.restartAll();
    BOOST_TEST(!fleet.find(VMId(2), StreamId(7)).version.has_value());
    for (auto& [id, daemon] : fleet.daemons)
        daemon.exchange->restore(fleet.persisted, fleet.now);
    BOOST_TEST((fleet.find(VMId(2), StreamId(7)).version == first));
    BOOST_TEST((fleet.find(VMId(3), StreamId(8)).version == second));
    BOOST_TEST(!fleet.find(VMId(2), StreamId(9)).version.has_value());
}

// Guards against a fleet that starts as a whole and in which every daemon sends each other one what all have read.
BOOST_AUTO_TEST_CASE(RecordsThatOutlivedAllDaemonsAreNotSentToThoseThatStart)
{
    Fleet fleet;
    fleet.appearEverywhere(second);
    for (uint64_t stream = 100; stream < 200; ++stream)
        fleet.record(VMId(1), StreamId(stream), first);
    fleet.restartAll();
    for (auto& [id, daemon] : fleet.daemons)
        daemon.exchange->restore(fleet.persisted, fleet.now);
    fleet.sentMessages = 0;
    for (auto& [started, peer] : fleet.daemons) {
        for (auto& [id, daemon] : fleet.daemons)
            daemon.exchange->peerStarted(started, fleet.now);
    }
    BOOST_TEST(fleet.sentMessages == 0u);
    BOOST_TEST((fleet.find(VMId(2), StreamId(150)).version == first));
}

BOOST_AUTO_TEST_CASE(AStreamWaitsUntilItsListIsConfirmed)
{
    Fleet fleet;
    fleet.run(0.1);
    fleet.record(VMId(1), StreamId(7), first);
    for (uint64_t number = 1; number <= 8; ++number)
        fleet.killAndRestart(VMId(number), { first });
    auto const begin = fleet.now;
    auto const origin = fleet.find(VMId(9), StreamId(7));
    BOOST_TEST((origin.version == first));
    BOOST_TEST((origin.source == StreamOriginExchange::Source::OneVersion));
    BOOST_TEST((fleet.now - begin <= listConfirmationInterval));
    // If it is not, the stream is refused, and its caller may come back.
    fleet.keepListOf(VMId(9));
    for (uint64_t number = 1; number <= 8; ++number)
        fleet.killAndRestart(VMId(number), { first });
    auto const other = fleet.find(VMId(9), StreamId(8));
    BOOST_TEST(!other.version.has_value());
    BOOST_TEST(!other.isFinal);
}

// Guards against a table that has dropped records and still says that it has all.
BOOST_AUTO_TEST_CASE(ADaemonThatDroppedRecordsProvesNoAbsence)
{
    Fleet fleet;
    // The store is away.
    for (auto& [id, daemon] : fleet.daemons)
        daemon.isListProven = false;
    std::vector<StreamOriginRecord> records;
    for (uint64_t stream = 100; stream <= 100 + StreamOriginExchange::Bounds {}.maxRecords; ++stream)
        records.push_back({ StreamId(stream), second, Seconds(12) });
    BOOST_TEST((fleet.find(VMId(2), StreamId(7)).version == first));
    for (auto& [id, daemon] : fleet.daemons)
        daemon.exchange->restore(records, fleet.now);
    BOOST_TEST(!fleet.find(VMId(2), StreamId(7)).version.has_value());
}

// Guards against streams that a daemon began before it knew any other one, and of which no keeper is ever told.
BOOST_AUTO_TEST_CASE(AStreamThatBeganBeforeTheOtherDaemonsWereKnownGetsARecord)
{
    size_t joined = 0;
    for (uint64_t stream = 1; stream <= 40; ++stream) {
        Fleet fleet;
        fleet.appearEverywhere(second);
        fleet.run(5);
        fleet.killAndRestartWithoutPeers(VMId(1));
        fleet.record(VMId(1), StreamId(stream), second);
        fleet.run(0.1);
        fleet.setPeersOf(VMId(1));
        fleet.runInTicks(0.5);
        fleet.daemons[VMId(1)].isDown = true;
        for (uint64_t id = 2; id <= 9; ++id)
            joined += fleet.find(VMId(id), StreamId(stream)).version == first;
    }
    BOOST_TEST(joined == 0u, joined);
}

// Guards against a table that has dropped records and still says that it has all, because the store has shown one version
// at the daemon's start.
BOOST_AUTO_TEST_CASE(ADaemonThatDroppedRecordsProvesNoAbsenceAfterARestoredHistoryEither)
{
    Fleet fleet;
    fleet.restartAll();
    fleet.restoreHistoryEverywhere({ first });
    fleet.run(60);
    for (auto& [id, daemon] : fleet.daemons)
        daemon.isListProven = false;
    BOOST_TEST((fleet.find(VMId(2), StreamId(7)).version == first));
    std::vector<StreamOriginRecord> records;
    for (uint64_t stream = 100; stream <= 100 + StreamOriginExchange::Bounds {}.maxRecords; ++stream)
        records.push_back({ StreamId(stream), second, Seconds(12) });
    for (auto& [id, daemon] : fleet.daemons)
        daemon.exchange->restore(records, fleet.now);
    BOOST_TEST(!fleet.find(VMId(2), StreamId(7)).version.has_value());
}

// Guards against streams that began while their starter was cut off from all their keepers, which have run on and say that
// there is no record.
BOOST_AUTO_TEST_CASE(KeepersThatWereCutOffFromTheStarterProveNoAbsence)
{
    HallId const cutOff(1);
    struct Shape {
        uint64_t daemons;
        uint64_t halls;
    };
    for (auto const& shape : { Shape { 9, 3 }, Shape { 8, 4 }, Shape { 20, 5 }, Shape { 150, 3 } }) {
        for (bool const isStarterKilled : { false, true }) {
            size_t joined = 0;
            for (uint64_t stream = 1; stream <= (shape.daemons > 20 ? 10 : 40); ++stream) {
                Fleet fleet(shape.daemons, shape.halls);
                fleet.appearEverywhere(second);
                fleet.run(5);
                fleet.setOthersDown(cutOff, true);
                fleet.record(VMId(1), StreamId(stream), second);
                fleet.run(1);
                fleet.setOthersDown(cutOff, false);
                if (isStarterKilled)
                    fleet.killAndRestart(VMId(1), { first, second });
                fleet.run(1);
                joined += fleet.find(VMId(2), StreamId(stream)).version == first;
            }
            BOOST_TEST(joined == 0u, shape.daemons << " daemons in " << shape.halls << " halls, starter killed " << isStarterKilled << ": " << joined);
        }
    }
}

// Guards against streams of a daemon that has not read the registry for a while, whose keepers are others than those by the
// lists of the rest.
BOOST_AUTO_TEST_CASE(KeepersByAListOfDaemonsThatIsOlderThanOthersRememberAreNotOverlooked)
{
    size_t joined = 0;
    for (uint64_t stream = 1; stream <= 40; ++stream) {
        Fleet fleet;
        fleet.add(50, 3, { VMId(1) });
        fleet.run(40);
        fleet.add(1, 3, { VMId(1) });
        fleet.run(1);
        fleet.appearEverywhere(second);
        fleet.run(1);
        fleet.record(VMId(1), StreamId(stream), second);
        joined += fleet.find(VMId(2), StreamId(stream)).version == first;
    }
    BOOST_TEST(joined == 0u, joined);
}

// Guards against streams that callers may take up for longer than versions are remembered.
BOOST_AUTO_TEST_CASE(AStreamWithALongDeadlineIsNotTakenForTheOtherVersion)
{
    Fleet fleet;
    fleet.appearEverywhere(second);
    fleet.record(VMId(1), StreamId(7), first, Seconds(120));
    fleet.run(2);
    fleet.vanishEverywhere(first);
    fleet.run(40);
    BOOST_TEST((fleet.find(VMId(2), StreamId(7)).version != second));
}

// Guards against a version that is remembered without end because each daemon that starts takes it as just lapsed.
BOOST_AUTO_TEST_CASE(ALapsedVersionIsForgottenAlsoIfDaemonsStartAgain)
{
    LapsedVersions lapsed { { first, VersionHistory::lapsedMemory } };
    for (double hour = 0; hour < 5; ++hour) {
        double const started = 3000 * (hour + 1);
        VersionHistory history(at(started));
        history.appeared(second, at(started));
        std::set<VersionId> known { second };
        for (auto const& [version, left] : lapsed)
            known.insert(version);
        history.restore(known, lapsed, at(started), at(started));
        lapsed = history.lapsedVersions(at(started + 2900));
        BOOST_TEST(lapsed.contains(first) == (hour == 0));
    }
    BOOST_TEST(lapsed.empty());
}

// Guards against daemons of an earlier version, which don't say how old their list is.
BOOST_AUTO_TEST_CASE(AReplyWithoutAgesProvesNoVersion)
{
    constexpr uint64_t replyKind = 2;
    constexpr uint64_t completeAndUniform = 3;
    MessageWriter writer;
    writer.number(replyKind);
    writer.number(5);
    writer.id(VersionId());
    writer.number(completeAndUniform);
    writer.id(first);
    writer.id(first);
    auto const decoded = decodeStreamOriginMessage(writer.release());
    BOOST_REQUIRE(decoded.has_value());
    auto const& reply = std::get<StreamOriginReply>(*decoded);
    BOOST_TEST(!reply.uniform.has_value());
    BOOST_TEST((reply.withoutRecords == first));
    BOOST_TEST((reply.keptFor == VersionHistory::memory));
}

// Guards against callers that take up unknown streams faster than they can be refused.
BOOST_AUTO_TEST_CASE(ABoundedNumberOfStreamsWaits)
{
    Fleet fleet;
    fleet.appearEverywhere(second);
    auto& exchange = *fleet.daemons[VMId(2)].exchange;
    size_t refused = 0;
    auto const count = StreamOriginExchange::Bounds {}.maxPending + 10;
    for (uint64_t stream = 1; stream <= count; ++stream)
        exchange.find(
            StreamId(stream), std::string(service), [&](auto const& origin) { refused += !origin.version; }, fleet.now);
    BOOST_TEST(refused == 10u);
    fleet.runInTicks(0.2);
    BOOST_TEST(refused == count);
}

BOOST_AUTO_TEST_CASE(DamagedStreamOriginMessagesAreRefused)
{
    StreamOriginReply reply { 5, first, Seconds(40), {}, Microseconds(0), second, true };
    auto const bytes = encodeStreamOriginMessage(reply);
    auto const decoded = decodeStreamOriginMessage(bytes);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((std::get<StreamOriginReply>(*decoded).recorded == first));
    BOOST_TEST((std::get<StreamOriginReply>(*decoded).withoutRecords == second));
    BOOST_TEST(!std::get<StreamOriginReply>(*decoded).uniform.has_value());
    BOOST_TEST((std::get<StreamOriginReply>(*decoded).keptFor == Seconds(40)));
    BOOST_TEST(std::get<StreamOriginReply>(*decoded).hasSeveral);
    for (size_t length = 0; length < bytes.size(); ++length)
        BOOST_TEST(!decodeStreamOriginMessage(std::string_view(bytes).substr(0, length)).has_value());
    BOOST_TEST(rc::check("any bytes", [](std::string const& any) { (void)decodeStreamOriginMessage(any); }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(StreamOriginTableTests)

// Guards against a full table that drops the streams whose callers may come back for the longest.
BOOST_AUTO_TEST_CASE(AFullTableDropsTheRecordThatExpiresFirst)
{
    StreamOriginTable table(10);
    for (uint64_t stream = 1; stream <= 10; ++stream)
        table.record(StreamId(stream), first, at(20));
    table.record(StreamId(1), first, at(30));
    table.record(StreamId(11), second, at(25));
    BOOST_TEST((table.find(StreamId(1), at(21)) == first));
    BOOST_TEST((table.find(StreamId(11), at(21)) == second));
    table.record(StreamId(12), second, at(5));
    BOOST_TEST(!table.find(StreamId(12), at(1)).has_value());
    BOOST_TEST((table.find(StreamId(1), at(21)) == first));
    BOOST_TEST(table.records().size() == 10u);
    table.expire(at(26));
    BOOST_TEST(table.records().size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(VersionHistoryTests)

BOOST_AUTO_TEST_CASE(AVersionThatLeftIsRememberedAsLongAsItsStreams)
{
    VersionHistory history(at(0));
    history.appeared(first, at(0));
    BOOST_TEST(!history.uniformVersion(at(29)).has_value());
    BOOST_TEST((history.uniformVersion(at(30)) == first));
    history.appeared(second, at(40));
    history.vanished(first, at(50));
    BOOST_TEST(!history.uniformVersion(at(79)).has_value());
    BOOST_TEST((history.recentVersions(at(79)) == std::set { first, second }));
    BOOST_TEST((history.uniformVersion(at(80)) == second));
    history.restart(at(90));
    BOOST_TEST(!history.uniformVersion(at(100)).has_value());
    BOOST_TEST((history.recentVersions(at(100)) == std::set { second }));
}

// Guards against streams of a route with a long deadline that go on at the other version once theirs is forgotten.
BOOST_AUTO_TEST_CASE(AVersionIsRememberedForAsLongAsRoutesLetStreamsBeTakenUp)
{
    VersionHistory history(at(0));
    history.appeared(first, at(0));
    history.appeared(second, at(10));
    history.extendMemory(Seconds(120));
    history.extendMemory(Seconds(40));
    history.vanished(first, at(20));
    BOOST_TEST((history.recentVersions(at(139)) == std::set { first, second }));
    BOOST_TEST(!history.uniformVersion(at(139)).has_value());
    BOOST_TEST(!history.versionWithoutRecords(at(139)).has_value());
    BOOST_TEST((history.uniformVersion(at(140)) == second));
    // One that this daemon did not see leave may have left just before it was listed here for the first time.
    VersionHistory other(at(200), Seconds(120));
    other.appeared(second, at(200));
    BOOST_TEST(!other.uniformVersion(at(319)).has_value());
    BOOST_TEST((other.uniformVersion(at(320)) == second));
}

// Guards against a version that is forgotten because of a gap just after it has left: a record of the store that was
// written before it joined would then prove that there was another one only.
BOOST_AUTO_TEST_CASE(AGapForgetsNoVersionThatHasJustLeft)
{
    VersionHistory history(at(0));
    history.appeared(first, at(0));
    history.appeared(second, at(40));
    history.vanished(first, at(50));
    history.restart(at(60));
    history.restore({ second }, {}, at(61), at(61));
    BOOST_TEST(!history.uniformVersion(at(61)).has_value());
    BOOST_TEST((history.recentVersions(at(61)) == std::set { first, second }));
    BOOST_TEST((history.uniformVersion(at(80)) == second));
}

BOOST_AUTO_TEST_CASE(AnOutdatedListProvesNothingUntilTheHistoryIsRestored)
{
    VersionHistory history(at(0));
    history.appeared(first, at(0));
    history.requireProof(at(40));
    BOOST_TEST(!history.uniformVersion(at(41)).has_value());
    BOOST_TEST((history.versionWithoutRecords(at(41)) == first));
    history.restore({ first }, {}, at(42), at(42));
    BOOST_TEST((history.uniformVersion(at(42)) == first));
    history.requireProof(at(50));
    history.restore({ first, second }, {}, at(51), at(51));
    BOOST_TEST(!history.uniformVersion(at(80)).has_value());
    BOOST_TEST((history.uniformVersion(at(81)) == first));
}

// Guards against a version that is forgotten while a hall that is cut off still begins streams at it.
BOOST_AUTO_TEST_CASE(AVersionWhoseUpstreamsLapsedIsRememberedForAsLongAsHallsAreCutOff)
{
    VersionHistory history(at(0));
    history.appeared(first, at(0));
    history.appeared(second, at(10));
    history.lapsed(first, at(40));
    history.vanished(first, at(50));
    BOOST_TEST(!history.uniformVersion(at(3600)).has_value());
    BOOST_TEST(!history.versionWithoutRecords(at(3600)).has_value());
    BOOST_TEST((history.lapsedVersions(at(3600)) == LapsedVersions { { first, Seconds(40) } }));
    BOOST_TEST((history.uniformVersion(at(3641)) == second));
    history.restart(at(3000));
    BOOST_TEST((history.recentVersions(at(3001)) == std::set { first, second }));
    // A daemon that has just started learns of it from the store.
    VersionHistory other(at(3000));
    other.appeared(second, at(3000));
    other.restore({ first, second }, { { first, Seconds(640) } }, at(3000), at(3001));
    BOOST_TEST(!other.uniformVersion(at(3100)).has_value());
    BOOST_TEST(!other.uniformVersion(at(3640)).has_value());
    BOOST_TEST((other.uniformVersion(at(3642)) == second));
    // What it has seen by itself counts if that lasts longer.
    other.lapsed(first, at(3650));
    other.restore({ first, second }, { { first, Seconds(100) } }, at(3650), at(3651));
    BOOST_TEST((other.lapsedVersions(at(3651)) == LapsedVersions { { first, Seconds(3599) } }));
    // One whose upstreams have announced that they leave is forgotten as before.
    VersionHistory third(at(3000));
    third.appeared(second, at(3000));
    third.restore({ first, second }, {}, at(3000), at(3001));
    BOOST_TEST((third.uniformVersion(at(3032)) == second));
}

// A stream of a version that has joined goes on once this daemon knows of it; one of a version that has left does not.
BOOST_AUTO_TEST_CASE(AVersionThatLeftIsNotTakenForOneThatHasJoined)
{
    VersionHistory history(at(0));
    history.appeared(first, at(0));
    BOOST_TEST(!history.isYetUnseen(second, at(29)));
    BOOST_TEST(history.isYetUnseen(second, at(30)));
    history.appeared(second, at(40));
    history.vanished(second, at(50));
    BOOST_TEST(!history.isYetUnseen(second, at(79)));
    BOOST_TEST(!history.isYetUnseen(first, at(79)));
}

BOOST_AUTO_TEST_SUITE_END()

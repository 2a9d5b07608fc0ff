#include <LibRouting/StreamOriginLogRelay.h>
#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>

using namespace Stagepost;

namespace {

StreamOriginRecord record(uint64_t stream)
{
    return { StreamId(stream), VersionId(stream % 2 + 1), Microseconds(9000000) };
}

// Daemons whose messages arrive at once, unless the receiver is down.
struct Hall {
    explicit Hall(std::map<uint64_t, std::optional<VMId>> paths)
        : appenders(std::move(paths))
    {
        for (auto const& [id, appender] : appenders) {
            relays.emplace(id, StreamOriginLogRelay({}, { [this, id = id] { return appenders[id]; }, [this](VMId to, std::string const& bytes) {
                ++messages;
                largest = std::max(largest, bytes.size());
                if (!down.contains(to.value()))
                    BOOST_TEST(relays.at(to.value()).receive(bytes).has_value()); }, [this, id = id](StreamOriginRecord const& each) { appended[id].push_back(each.stream.value()); } }));
        }
    }

    void run(Microseconds duration)
    {
        for (auto const end = now + duration; now < end; now += Milliseconds(50)) {
            for (auto& [id, relay] : relays) {
                if (!down.contains(id))
                    relay.tick(now);
            }
        }
    }

    Instant now { Seconds(100) };
    std::map<uint64_t, std::optional<VMId>> appenders;
    std::map<uint64_t, StreamOriginLogRelay> relays;
    std::set<uint64_t> down;
    std::map<uint64_t, std::vector<uint64_t>> appended;
    size_t messages { 0 };
    size_t largest { 0 };
};

}

BOOST_AUTO_TEST_SUITE(StreamOriginLogRelayTests)

BOOST_AUTO_TEST_CASE(BatchesRoundTrip)
{
    std::vector<StreamOriginRecord> records;
    for (uint64_t stream = 1; stream <= StreamOriginBatch::maxRecords + 5; ++stream)
        records.push_back({ StreamId(~uint64_t { 0 } - stream), VersionId(~uint64_t { 0 }), Microseconds(30000000) });
    auto const bytes = StreamOriginBatch::encode(records);
    BOOST_TEST(bytes.size() < 64000u);
    auto const decoded = StreamOriginBatch::decode(bytes);
    BOOST_REQUIRE((decoded && decoded->size() == StreamOriginBatch::maxRecords));
    BOOST_TEST((decoded->back().stream == records[StreamOriginBatch::maxRecords - 1].stream));
    BOOST_TEST((decoded->back().version == records.front().version && decoded->back().lifetime == records.front().lifetime));
}

BOOST_AUTO_TEST_CASE(DamagedBatchesAreRefused)
{
    auto const bytes = StreamOriginBatch::encode({ record(1), record(2) });
    for (size_t length = 0; length < bytes.size(); ++length)
        BOOST_TEST(!StreamOriginBatch::decode(bytes.substr(0, length)).has_value());
    BOOST_TEST(!StreamOriginBatch::decode('\2' + bytes.substr(1)).has_value());
    BOOST_TEST(rc::check("any bytes", [](std::string const& junk) {
        auto const decoded = StreamOriginBatch::decode('\1' + junk);
        bool const isBounded = !decoded || decoded->size() <= junk.size();
        RC_ASSERT(isBounded);
    }));
}

// Guards against a call to the store from each daemon of a hall.
BOOST_AUTO_TEST_CASE(OneDaemonAppendsForItsHall)
{
    Hall hall({ { 1, std::nullopt }, { 2, VMId(1) }, { 3, VMId(2) } });
    for (uint64_t id = 1; id <= 3; ++id) {
        for (uint64_t stream = 0; stream < 100; ++stream)
            hall.relays.at(id).add(record(1000 * id + stream));
    }
    hall.run(Milliseconds(300));
    BOOST_TEST(hall.appended[1].size() == 300u);
    BOOST_TEST((hall.appended[2].empty() && hall.appended[3].empty()));
    // 100 records from one daemon, and 200 from the one between.
    BOOST_TEST(hall.messages <= 9u);
    BOOST_TEST(hall.largest < 1300u);
}

// Guards against records that are lost with the daemon that was to append them.
BOOST_AUTO_TEST_CASE(RecordsOfASilentDaemonGoToTheNextOne)
{
    Hall hall({ { 1, std::nullopt }, { 2, VMId(1) } });
    hall.down.insert(1);
    hall.relays.at(2).add(record(5));
    hall.run(Milliseconds(500));
    hall.relays.at(2).add(record(6));
    hall.run(Milliseconds(900));
    BOOST_TEST(hall.appended.empty());
    hall.appenders[2] = std::nullopt;
    hall.run(Milliseconds(50));
    BOOST_TEST((hall.appended[2] == std::vector<uint64_t> { 5, 6 }));
}

BOOST_AUTO_TEST_CASE(RecordsArePassedOnAgainToADaemonThatHasStarted)
{
    Hall hall({ { 1, std::nullopt }, { 2, VMId(1) } });
    hall.down.insert(1);
    hall.relays.at(2).add(record(5));
    hall.run(Milliseconds(500));
    hall.down.clear();
    hall.relays.at(2).peerStarted(VMId(1));
    hall.run(Milliseconds(200));
    BOOST_TEST((hall.appended[1] == std::vector<uint64_t> { 5 }));
    // What was passed on long ago has been appended.
    hall.run(Seconds(4));
    hall.relays.at(2).peerStarted(VMId(1));
    hall.run(Milliseconds(200));
    BOOST_TEST(hall.appended[1].size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

#include <LibProxy/EventLoop.h>
#include <boost/test/unit_test.hpp>
#include <charconv>
#include <platform/StreamOriginLogReader.h>
#include <platform/StreamOriginLogWriter.h>
#include <platform/WireNames.h>

using namespace Stagepost;

namespace {

std::string bigEndian(uint64_t number, int bytes)
{
    std::string result;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        result += static_cast<char>(number >> shift & 0xFFU);
    return result;
}

uint64_t parameter(std::string const& target, std::string const& name)
{
    uint64_t number = 0;
    auto const at = target.find(name + '=') + name.size() + 1;
    std::from_chars(target.data() + at, target.data() + target.size(), number);
    return number;
}

StreamOriginRecord record(uint64_t stream, Microseconds lifetime = Seconds(10))
{
    return { StreamId(stream), VersionId(2), lifetime };
}

// A store with one topic. Each read returns a few records only.
struct FakeStore {
    StoreClient client { {}, [this](Endpoint const&, HttpRequest const& call, Milliseconds, auto const& callback) {
                            if (call.target.starts_with(Wire::appendPath)) {
                                ++appends;
                                append(call.body);
                                if (holdsAppends)
                                    heldReplies.push_back(callback);
                                else
                                    callback(appendReply());
                                return;
                            }
                            ++reads;
                            if (isDown)
                                callback(Error(ErrorCode::Timeout, "no answer"));
                            else
                                callback(read(call.target));
                        } };

    void add(std::vector<StreamOriginRecord> const& batch) { records.push_back(StreamOriginBatch::encode(batch)); }
    Result<HttpResponse> appendReply() const
    {
        if (isDown)
            return Error(ErrorCode::Timeout, "no answer");
        return HttpResponse { 200, headers, R"({"offset":0,"end":1})" };
    }

    // Of all batches in the order in which they were appended.
    std::vector<std::vector<StreamOriginRecord>> batches() const
    {
        std::vector<std::vector<StreamOriginRecord>> result;
        result.reserve(records.size());
        for (auto const& bytes : records)
            result.push_back(StreamOriginBatch::decode(bytes).value());
        return result;
    }

    std::vector<std::string> records;
    // The records before this offset are gone.
    size_t first { 0 };
    HttpFields headers;
    bool wasWritten { true };
    bool isDown { false };
    // An append whose response is lost may have been done or not.
    bool doesAppends { true };
    bool holdsAppends { false };
    std::vector<std::function<void(Result<HttpResponse>)>> heldReplies;
    size_t appends { 0 };
    size_t reads { 0 };

private:
    static constexpr size_t recordsPerRead { 2 };

    void append(std::string_view body)
    {
        if (doesAppends)
            records.emplace_back(body.substr(4));
    }

    HttpResponse read(std::string const& target) const
    {
        if (!wasWritten)
            return { 404, {}, {} };
        auto const from = parameter(target, "from");
        if (from < first)
            return { 410, headers, R"({"first":)" + std::to_string(first) + "}" };
        auto body = bigEndian(records.size(), 8) + bigEndian(first, 8);
        for (size_t offset = from; offset < std::min(records.size(), from + recordsPerRead); ++offset)
            body += bigEndian(records[offset].size(), 4) + records[offset];
        return { 200, headers, body };
    }
};

// A daemon that reads the log of a store. Its times are a tenth of the real ones.
struct Daemon {
    explicit Daemon(FakeStore const& store, uint64_t maxBatches = 8192)
        : reader(loop, store.client, metrics, { {}, Milliseconds(25), Milliseconds(200), Milliseconds(600), 256, maxBatches },
            { [this](auto const& records) {
                 for (auto const& each : records)
                     streams.push_back(each.stream.value());
             },
                [] { return 1u; }, [] { return 0u; } })
    {
        reader.start();
    }

    EventLoop loop;
    Metrics metrics;
    std::vector<uint64_t> streams;
    StreamOriginLogReader reader;
};

struct Writer {
    explicit Writer(FakeStore const& store, size_t maxRecords = 100)
        : writer(loop, store.client, metrics, { Milliseconds(40), maxRecords }, { [] { return Milliseconds(10); }, [] { return 0u; } })
    {
    }

    uint64_t count(std::string const& outcome) const { return metrics.counter("stagepost_stream_origins_logged_total", "outcome=\"" + outcome + '"'); }

    EventLoop loop;
    Metrics metrics;
    StreamOriginLogWriter writer;
};

}

BOOST_AUTO_TEST_SUITE(StreamOriginLogTests)

BOOST_AUTO_TEST_CASE(AllPagesAreRead)
{
    FakeStore store;
    for (uint64_t stream = 1; stream <= 5; ++stream)
        store.add({ record(stream), record(10 + stream) });
    Daemon daemon(store);
    BOOST_TEST((daemon.streams == std::vector<uint64_t> { 1, 11, 2, 12, 3, 13, 4, 14, 5, 15 }));
    BOOST_TEST(daemon.metrics.counter("stagepost_stream_origins_restored_total") == 10u);
}

// Guards against daemons that lack the streams that began just before all daemons were killed.
BOOST_AUTO_TEST_CASE(BatchesThatArriveAfterTheStartAreRead)
{
    FakeStore store;
    store.add({ record(1) });
    Daemon daemon(store);
    daemon.loop.runFor(Milliseconds(100));
    store.add({ record(2) });
    daemon.loop.runFor(Milliseconds(300));
    BOOST_TEST((daemon.streams == std::vector<uint64_t> { 1, 2 }));
    // Each call to the store has a price.
    auto const reads = store.reads;
    store.add({ record(3) });
    daemon.loop.runFor(Milliseconds(300));
    BOOST_TEST(store.reads == reads);
    // After a suspension, the log is read again.
    daemon.reader.start();
    BOOST_TEST(daemon.streams.back() == 3u);
}

BOOST_AUTO_TEST_CASE(ATopicThatWasNeverWrittenIsEmpty)
{
    FakeStore store;
    store.wasWritten = false;
    Daemon daemon(store);
    daemon.loop.runFor(Milliseconds(50));
    BOOST_TEST(daemon.streams.empty());
    store.wasWritten = true;
    store.add({ record(1) });
    daemon.loop.runFor(Milliseconds(100));
    BOOST_TEST((daemon.streams == std::vector<uint64_t> { 1 }));
}

BOOST_AUTO_TEST_CASE(RecordsThatAreGoneAreSkipped)
{
    FakeStore store;
    for (uint64_t stream = 0; stream < 6; ++stream)
        store.add({ record(stream) });
    store.first = 3;
    Daemon daemon(store);
    BOOST_TEST((daemon.streams == std::vector<uint64_t> { 3, 4, 5 }));
    // More of them leave than have been read.
    store.first = 8;
    for (uint64_t stream = 6; stream < 10; ++stream)
        store.add({ record(stream) });
    daemon.loop.runFor(Milliseconds(50));
    BOOST_TEST((daemon.streams == std::vector<uint64_t> { 3, 4, 5, 8, 9 }));
}

// Guards against daemons that read hours of records where the store keeps them for long.
BOOST_AUTO_TEST_CASE(OnlyTheEndOfALongLogIsRead)
{
    FakeStore store;
    for (uint64_t stream = 0; stream < 100; ++stream)
        store.add({ record(stream) });
    Daemon daemon(store, 3);
    BOOST_TEST((daemon.streams == std::vector<uint64_t> { 97, 98, 99 }));
    BOOST_TEST(store.reads <= 4u);
}

BOOST_AUTO_TEST_CASE(MalformedBatchesAreSkipped)
{
    FakeStore store;
    store.add({ record(1) });
    for (std::string const& junk : { std::string("\x01junk"), std::string(), std::string("\x07") })
        store.records.push_back(junk);
    store.add({ record(2) });
    Daemon daemon(store);
    BOOST_TEST((daemon.streams == std::vector<uint64_t> { 1, 2 }));
    BOOST_TEST(daemon.metrics.counter("stagepost_stream_origin_batches_total", "outcome=\"malformed\"") == 3u);
}

BOOST_AUTO_TEST_CASE(FailedReadsAreRepeatedForAWhile)
{
    FakeStore store;
    store.add({ record(1) });
    store.isDown = true;
    Daemon daemon(store);
    daemon.loop.runFor(Milliseconds(300));
    BOOST_TEST(store.reads > 2u);
    store.isDown = false;
    daemon.loop.runFor(Milliseconds(100));
    BOOST_TEST((daemon.streams == std::vector<uint64_t> { 1 }));
    store.isDown = true;
    daemon.reader.start();
    daemon.loop.runFor(Milliseconds(800));
    auto const reads = store.reads;
    daemon.loop.runFor(Milliseconds(300));
    BOOST_TEST(store.reads == reads);
}

// Guards against a position of before the restore, at which there are no or other records.
BOOST_AUTO_TEST_CASE(ARestoredLogIsReadFromItsBeginning)
{
    FakeStore store;
    store.headers = { { "Store-Era", "1" } };
    for (uint64_t stream = 0; stream < 3; ++stream)
        store.add({ record(stream) });
    Daemon daemon(store);
    store.headers = { { "Store-Era", "2" } };
    store.records.pop_back();
    store.records.pop_back();
    store.add({ record(7) });
    store.add({ record(8) });
    daemon.loop.runFor(Milliseconds(100));
    BOOST_TEST((daemon.streams == std::vector<uint64_t> { 0, 1, 2, 0, 7, 8 }));
}

BOOST_AUTO_TEST_CASE(RecordsAreWrittenInBatches)
{
    FakeStore store;
    Writer daemon(store);
    daemon.loop.runFor(Milliseconds(30));
    BOOST_TEST(store.appends == 0u);
    daemon.writer.add(record(1));
    daemon.writer.add(record(2));
    BOOST_TEST(store.appends == 0u);
    daemon.loop.runFor(Milliseconds(40));
    BOOST_TEST(store.appends == 1u);
    BOOST_REQUIRE(store.batches().front().size() == 2u);
    auto const written = store.batches().front().back();
    BOOST_TEST((written.stream == StreamId(2) && written.version == VersionId(2)));
    BOOST_TEST((written.lifetime <= Seconds(10) && written.lifetime > Seconds(9)));
    BOOST_TEST(daemon.count("written") == 2u);
}

// Guards against a store that is slow and gets more and more calls for that.
BOOST_AUTO_TEST_CASE(OneAppendIsInFlight)
{
    FakeStore store;
    store.holdsAppends = true;
    Writer daemon(store);
    for (uint64_t stream = 1; stream <= 5; ++stream) {
        daemon.writer.add(record(stream));
        daemon.loop.runFor(Milliseconds(20));
    }
    BOOST_TEST(store.appends == 1u);
    store.heldReplies.front()(store.appendReply());
    daemon.loop.runFor(Milliseconds(20));
    BOOST_TEST(store.appends == 2u);
    BOOST_TEST(store.batches().back().size() == 4u);
}

BOOST_AUTO_TEST_CASE(FailedRecordsAreWrittenAgainWhileTheyLast)
{
    FakeStore store;
    store.isDown = true;
    store.doesAppends = false;
    Writer daemon(store);
    daemon.writer.add(record(1));
    daemon.writer.add(record(2, Milliseconds(50)));
    daemon.loop.runFor(Milliseconds(300));
    // The interval grows to 40 to 80 ms.
    BOOST_TEST((store.appends >= 4u && store.appends <= 10u));
    store.isDown = false;
    store.doesAppends = true;
    daemon.writer.add(record(3));
    daemon.loop.runFor(Milliseconds(100));
    BOOST_REQUIRE(store.records.size() == 1u);
    auto const batch = store.batches().front();
    BOOST_REQUIRE(batch.size() == 2u);
    BOOST_TEST((batch[0].stream == StreamId(1) && batch[1].stream == StreamId(3)));
    BOOST_TEST((batch[0].lifetime < batch[1].lifetime));
    BOOST_TEST((daemon.count("written") == 2u && daemon.count("lost") == 1u));
}

BOOST_AUTO_TEST_CASE(TooManyWaitingRecordsAreLostAndCounted)
{
    FakeStore store;
    store.isDown = true;
    store.doesAppends = false;
    Writer daemon(store);
    for (uint64_t stream = 0; stream < 80; ++stream)
        daemon.writer.add(record(stream));
    daemon.loop.runFor(Milliseconds(30));
    for (uint64_t stream = 80; stream < 150; ++stream)
        daemon.writer.add(record(stream));
    daemon.loop.runFor(Milliseconds(200));
    store.isDown = false;
    store.doesAppends = true;
    daemon.loop.runFor(Milliseconds(100));
    BOOST_TEST((daemon.count("lost") == 50u && daemon.count("written") == 100u));
    // The latest ones are kept, since they last longest.
    BOOST_TEST((store.batches().back().back().stream == StreamId(149)));
}

BOOST_AUTO_TEST_SUITE_END()

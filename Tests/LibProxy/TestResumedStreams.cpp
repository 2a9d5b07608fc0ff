#include <LibProxy/Sockets.h>
#include <array>
#include <boost/test/unit_test.hpp>
#include <deque>

using namespace Stagepost;

namespace {

constexpr EventFormat counted { EventNumbering::Consecutive, {} };

std::string makeEvents(uint64_t first, uint64_t last)
{
    std::string events;
    for (auto id = first; id <= last; ++id)
        events += "id: " + std::to_string(id) + "\ndata: word" + std::to_string(id) + "\n\n";
    return events;
}

std::string makeChunk(std::string const& body)
{
    std::array<char, 32> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
    return size.data() + body + "\r\n";
}

std::string const lastChunk = "0\r\n\r\n";
std::string const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
std::string const unframedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";

// Forwards a request to one upstream after the other while it fails, as the gateway does for a stream that may be resumed.
struct Resumed {
    explicit Resumed(std::vector<std::string> const& answers, EventFormat eventFormat = counted, std::optional<uint64_t> last = {}, std::string const& method = "GET")
        : format(eventFormat)
    {
        progress->lastForwardedId = progress->lastIdOfClient = last;
        server.emplace(
            loop, HttpServerOptions {}, [this, count = answers.size()](std::shared_ptr<Exchange> const& exchange) { forward(exchange, count); },
            [](Refusal const&) { return makeTextResponse(400, ""); });
        for (size_t number = 0; number < answers.size(); ++number)
            upstreams.emplace_back();
        client.emplace(*server->listen({ "127.0.0.1", 0 }));
        client->send(method + " /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        for (size_t number = 0; number < answers.size(); ++number) {
            run();
            if (sends <= number)
                break;
            upstreams[number].accept();
            upstreams[number].readRequest();
            upstreams[number].send(answers[number]);
            upstreams[number].close();
        }
        run();
        client->receiveAll(received);
    }

    void forward(std::shared_ptr<Exchange> const& exchange, size_t count)
    {
        ForwardPlan plan;
        plan.upstream = upstreams[sends++].endpoint();
        plan.request = exchange->request();
        plan.progress = progress;
        plan.eventFormat = format;
        plan.sendErrorEvent = false;
        plan.maxBufferedBytes = 64u << 10;
        exchange->forward(std::move(plan), [this, exchange, count](ForwardResult const& ended) {
            result = ended;
            if (ended.failure && ended.canBeContinued && sends < count)
                forward(exchange, count);
            else if (ended.failure && ended.responseStarted)
                exchange->abort();
            else if (ended.failure)
                exchange->respond(makeTextResponse(502, ""));
        });
    }

    void run() { loop.runFor(Milliseconds(50)); }
    bool looksWhole() const { return received.ends_with(lastChunk); }
    size_t count(std::string const& text) const
    {
        size_t found = 0;
        for (auto at = received.find(text); at != std::string::npos; at = received.find(text, at + 1))
            ++found;
        return found;
    }

    EventFormat format;
    EventLoop loop;
    std::shared_ptr<EventProgress> progress = std::make_shared<EventProgress>();
    std::deque<ScriptedUpstream> upstreams;
    size_t sends { 0 };
    ForwardResult result;
    std::optional<HttpServer> server;
    std::optional<Client> client;
    std::string received;
};

}

BOOST_AUTO_TEST_SUITE(ResumedStreamTests)

BOOST_AUTO_TEST_CASE(AStreamGoesOnAfterTheLastSoundEvent)
{
    Resumed resumed({ streamHead + makeChunk(makeEvents(1, 2) + "data: foreign\n\n" + makeEvents(3, 5)) + lastChunk, streamHead + makeChunk(makeEvents(3, 5)) + lastChunk });
    BOOST_TEST(resumed.looksWhole());
    for (auto const* word : { "word1\n", "word2\n", "word3\n", "word4\n", "word5\n" })
        BOOST_TEST(resumed.count(word) == 1u);
    BOOST_TEST(resumed.count("foreign") == 0u);
}

BOOST_AUTO_TEST_CASE(AStreamThatEndsBeforeTheClientsLastEventIsNotWhole)
{
    Resumed resumed({ streamHead + makeChunk(makeEvents(1, 5) + "id: 6\nda"), streamHead + makeChunk(makeEvents(1, 3)) + lastChunk });
    BOOST_TEST(!resumed.looksWhole(), resumed.received);
}

BOOST_AUTO_TEST_CASE(ARepeatedStreamWithoutFramingIsWhole)
{
    Resumed const resumed({ streamHead + makeChunk(makeEvents(1, 5)), unframedHead + makeEvents(1, 5) });
    BOOST_TEST(resumed.looksWhole(), resumed.result.detail);
}

BOOST_AUTO_TEST_CASE(ARepeatedStreamThatAClientTookUpIsWhole)
{
    Resumed const resumed({ unframedHead + makeEvents(1, 5) }, counted, 5);
    BOOST_TEST(resumed.received.starts_with("HTTP/1.1 200"), resumed.result.detail);
}

// A client's answer has the head of the error, and the events would count as the rest of its body.
BOOST_AUTO_TEST_CASE(AnErrorAnswerAndAStreamAreNotJoined)
{
    std::string const body(70000, 'x');
    Resumed const resumed({ "HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\nContent-Length: 70100\r\n\r\n" + body, streamHead + makeChunk(makeEvents(1, 5)) + lastChunk });
    BOOST_TEST(resumed.received.starts_with("HTTP/1.1 404"));
    BOOST_TEST(resumed.count("word1") == 0u);
    BOOST_TEST(resumed.received.size() - resumed.received.find("\r\n\r\n") - 4 == body.size());
}

BOOST_AUTO_TEST_CASE(AnErrorStreamAndAStreamAreNotJoined)
{
    Resumed const resumed({ "HTTP/1.1 404 Not Found\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + makeChunk(makeEvents(1, 1)), streamHead + makeChunk(makeEvents(1, 5)) + lastChunk });
    BOOST_TEST((resumed.count("404") == 0 || !resumed.looksWhole()), resumed.received);
}

BOOST_AUTO_TEST_CASE(EventsWithoutNumbersDoNotComeTwice)
{
    std::string const first = "data: a\n\ndata: b\n\n";
    Resumed resumed({ streamHead + makeChunk(first), streamHead + makeChunk(first + "data: c\n\n") + lastChunk }, {});
    BOOST_TEST(resumed.count("data: a") == 1u, resumed.received);
    BOOST_TEST(!resumed.looksWhole());
}

BOOST_AUTO_TEST_CASE(AnswersWithoutABodyAreSound)
{
    Resumed const noContent({ "HTTP/1.1 204 No Content\r\n\r\n" });
    BOOST_TEST(noContent.received.starts_with("HTTP/1.1 204"), noContent.result.detail);
    Resumed const head({ unframedHead }, counted, {}, "HEAD");
    BOOST_TEST(head.received.starts_with("HTTP/1.1 200"), head.result.detail);
}

BOOST_AUTO_TEST_CASE(AnAnswerBehindAWholeStreamIsNotPassedOn)
{
    Resumed resumed({ streamHead + makeChunk(makeEvents(1, 3)) + lastChunk + streamHead + makeChunk(makeEvents(4, 5)) + lastChunk });
    BOOST_TEST(resumed.looksWhole());
    BOOST_TEST(resumed.count("word4") == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

#include <LibProxy/Sockets.h>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <optional>

using namespace Stagepost;

namespace {

constexpr std::string_view event = "id: 1\ndata: x\n\n";

class Upstream : public ScriptedUpstream {
public:
    void beginStream() const { send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + std::string(event) + "\r\n"); }
    void endStream() const { send("0\r\n\r\n"); }
};

// A server that forwards each request to the upstream, and a client that has received the first event.
struct BegunStream {
    explicit BegunStream(std::string const& httpVersion, std::shared_ptr<EventProgress> const& progress = {})
    {
        server.emplace(
            loop, HttpServerOptions {}, [this, progress](std::shared_ptr<Exchange> const& exchange) {
                ForwardPlan plan;
                plan.upstream = upstream.endpoint();
                plan.request = exchange->request();
                plan.progress = progress;
                plan.sendErrorEvent = false;
                exchange->forward(std::move(plan), [exchange, progress](ForwardResult const& result) {
                    if (result.failure && progress)
                        exchange->abort();
                }); },
            [](Refusal const&) { return makeTextResponse(400, ""); });
        auto const endpoint = server->listen({ "127.0.0.1", 0 });
        client.emplace(*endpoint);
        client->send("GET /x HTTP/" + httpVersion + "\r\nHost: a\r\n\r\n");
        run();
        upstream.accept();
        upstream.beginStream();
        run();
        BOOST_REQUIRE((client->receiveAll(received) == Client::End::None));
        BOOST_REQUIRE(received.find(event) != std::string::npos);
    }

    void run() { loop.runFor(Milliseconds(20)); }
    Client::End end()
    {
        run();
        return client->receiveAll(received);
    }

    EventLoop loop;
    Upstream upstream;
    std::optional<HttpServer> server;
    std::optional<Client> client;
    std::string received;
};

}

// Guards against cut streams that look whole: the end of the connection is the end of the answer for a client
// without chunked encoding.
BOOST_AUTO_TEST_SUITE(ResponseEndsTests)

BOOST_AUTO_TEST_CASE(WholeStreamEndsNormally)
{
    BegunStream stream("1.0");
    stream.upstream.endStream();
    BOOST_TEST((stream.end() == Client::End::Normal));
}

BOOST_AUTO_TEST_CASE(StreamThatTheUpstreamCutsEndsWithAReset)
{
    BegunStream stream("1.0");
    stream.upstream.close();
    BOOST_TEST((stream.end() == Client::End::Reset));
}

BOOST_AUTO_TEST_CASE(AbortedStreamEndsWithAReset)
{
    BegunStream stream("1.0", std::make_shared<EventProgress>());
    stream.upstream.close();
    BOOST_TEST((stream.end() == Client::End::Reset));
}

BOOST_AUTO_TEST_CASE(StreamOfAServerThatStopsEndsWithAReset)
{
    BegunStream stream("1.0");
    stream.server.reset();
    BOOST_TEST((stream.end() == Client::End::Reset));
}

// The missing last chunk tells the client, and a reset could discard events that it has yet to read.
BOOST_AUTO_TEST_CASE(CutStreamInChunksEndsNormally)
{
    BegunStream stream("1.1");
    stream.upstream.close();
    BOOST_TEST((stream.end() == Client::End::Normal));
    BOOST_TEST(!stream.received.ends_with("0\r\n\r\n"));
}

// Guards against an answer that is given up for another upstream which can't go on with it: no other one has the rest of its bytes.
BOOST_AUTO_TEST_CASE(AnAnswerThatHasBegunIsNotGivenUpDuringASilence)
{
    for (bool const hasProgress : { false, true }) {
        EventLoop loop;
        Upstream upstream;
        size_t silences = 0;
        HttpServer server(
            loop, HttpServerOptions {}, [&](std::shared_ptr<Exchange> const& exchange) {
                ForwardPlan plan;
                plan.upstream = upstream.endpoint();
                plan.request = exchange->request();
                plan.progress = hasProgress ? std::make_shared<EventProgress>() : nullptr;
                plan.maxBufferedBytes = 10;
                plan.idleTimeout = Milliseconds(10);
                plan.onSilence = [&silences, exchange] {
                    ++silences;
                    exchange->stopForward();
                };
                exchange->forward(std::move(plan), [](ForwardResult const&) {}); },
            [](Refusal const&) { return makeTextResponse(400, ""); });
        Client const client(*server.listen({ "127.0.0.1", 0 }));
        client.send("GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        loop.runFor(Milliseconds(30));
        upstream.accept();
        upstream.send("HTTP/1.1 404 Not Found\r\nContent-Length: 30\r\n\r\n" + std::string(20, 'a'));
        loop.runFor(Milliseconds(100));
        upstream.send(std::string(10, 'b'));
        loop.runFor(Milliseconds(30));
        std::string received;
        client.receiveAll(received);
        BOOST_TEST(silences == 0u);
        BOOST_TEST(received.ends_with(std::string(20, 'a') + std::string(10, 'b')), received);
    }
}

BOOST_AUTO_TEST_SUITE_END()

#include <LibProxy/Sockets.h>
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace Stagepost;

namespace {

constexpr std::string_view event = "id: 1\ndata: x\n\n";

// A server that forwards one request to an upstream, which has sent the first event of its answer.
struct GatedStream {
    GatedStream()
        : server(
            loop, HttpServerOptions {}, [this](std::shared_ptr<Exchange> const& exchange) { forward(exchange); },
            [](Refusal const&) { return makeTextResponse(400, ""); })
    {
        client.emplace(*server.listen({ "127.0.0.1", 0 }));
        client->send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
        run();
        connection = upstream.accept();
        auto const answer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + std::string(event) + "\r\n0\r\n\r\n";
        BOOST_REQUIRE(::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(answer.size()));
        run();
    }
    ~GatedStream() { ::close(connection); }
    GatedStream(GatedStream const&) = delete;
    GatedStream& operator=(GatedStream const&) = delete;

    void forward(std::shared_ptr<Exchange> const& exchange)
    {
        ForwardPlan plan;
        plan.upstream = upstream.endpoint;
        plan.request = exchange->request();
        plan.progress = std::make_shared<EventProgress>();
        // Shorter than the time for which the gate holds the answer back.
        plan.idleTimeout = Milliseconds(100);
        plan.relayGate = [this](Instant) { return decision; };
        exchange->forward(std::move(plan), [this, exchange](ForwardResult const& ended) {
            result = ended;
            if (ended.failure)
                exchange->abort();
        });
    }
    void run() { loop.runFor(Milliseconds(40)); }
    bool hasEvent()
    {
        client->receiveAll(received);
        return received.find(event) != std::string::npos;
    }

    RelayDecision decision { RelayDecision::Wait };
    std::optional<ForwardResult> result;
    EventLoop loop;
    ListeningPort upstream;
    int connection { -1 };
    HttpServer server;
    std::optional<Client> client;
    std::string received;
};

}

// Guards against streams whose first event is passed on before it is known which version has sent it.
BOOST_AUTO_TEST_SUITE(RelayGateTests)

BOOST_AUTO_TEST_CASE(AnswerIsHeldBackUntilTheGateOpens)
{
    GatedStream stream;
    for (int step = 0; step < 5; ++step)
        stream.run();
    BOOST_TEST(!stream.hasEvent());
    // The upstream has sent its answer in time, so it isn't slow.
    BOOST_TEST(!stream.result.has_value());
    stream.decision = RelayDecision::Relay;
    stream.run();
    BOOST_TEST(stream.hasEvent());
    BOOST_REQUIRE(stream.result.has_value());
    BOOST_TEST(!stream.result->failure.has_value());
}

BOOST_AUTO_TEST_CASE(RejectedAnswerIsNotPassedOn)
{
    GatedStream stream;
    stream.decision = RelayDecision::Reject;
    stream.run();
    BOOST_TEST(!stream.hasEvent());
    BOOST_REQUIRE(stream.result.has_value());
    BOOST_TEST((stream.result->failure == RefusalReason::UpstreamMixedAnswer));
    BOOST_TEST((stream.result->verdict == Verdict::mayHaveRun));
    BOOST_TEST(!stream.result->responseStarted);
}

BOOST_AUTO_TEST_CASE(HeldAnswerEndsWithItsCaller)
{
    GatedStream stream;
    stream.client.reset();
    stream.run();
    BOOST_REQUIRE(stream.result.has_value());
    BOOST_TEST(stream.result->isCallerLost());
}

BOOST_AUTO_TEST_SUITE_END()

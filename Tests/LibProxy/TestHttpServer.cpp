#include <LibProxy/Sockets.h>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace Stagepost;

BOOST_AUTO_TEST_SUITE(HttpServerTests)

// Guards against a race between a request's arrival and stopListening(). The request must either get
// a response or never reach the handler, which may have forwarded it to an upstream.
BOOST_AUTO_TEST_CASE(RequestDuringStopGetsAResponseOrIsNotHandled)
{
    constexpr Milliseconds runTime { 20 };
    for (int round = 0; round < 30; ++round) {
        EventLoop loop;
        size_t handled = 0;
        HttpServer server(
            loop, {}, [&handled](std::shared_ptr<Exchange> const& exchange) {
                ++handled;
                exchange->respond(makeTextResponse(200, "answer")); }, [](Refusal const&) { return makeTextResponse(400, ""); });
        auto const endpoint = server.listen({ "127.0.0.1", 0 });
        Client const client(*endpoint);
        loop.runFor(runTime);
        Timer close(loop);
        close.once(Milliseconds(1), [&server] { server.stopListening(); });
        client.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody");
        // The timer and the request are both due when the loop continues.
        std::this_thread::sleep_for(Milliseconds(2));
        loop.runFor(runTime);
        BOOST_TEST(handled == (client.receive().ends_with("answer") ? 1u : 0u));
    }
}

BOOST_AUTO_TEST_CASE(AnnouncesThatItClosesAfterTheResponse)
{
    EventLoop loop;
    HttpServer server(
        loop, {}, [](std::shared_ptr<Exchange> const& exchange) { exchange->respond(makeTextResponse(200, "answer")); }, [](Refusal const&) { return makeTextResponse(400, ""); });
    auto const endpoint = server.listen({ "127.0.0.1", 0 });
    server.setCloseAfterResponse(true);
    Client const client(*endpoint);
    client.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    loop.runFor(Milliseconds(50));
    auto const response = client.receive();
    BOOST_TEST(response.find("Connection: close") != std::string::npos);
    server.setCloseAfterResponse(false);
    Client const next(*endpoint);
    next.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    loop.runFor(Milliseconds(50));
    BOOST_TEST(next.receive().find("Connection: close") == std::string::npos);
}

// Guards against clients that come back to a server which is about to stop, after an answer that was under way.
BOOST_AUTO_TEST_CASE(AnswersUnderWayAnnounceThatTheConnectionCloses)
{
    EventLoop loop;
    ScriptedUpstream upstream;
    std::shared_ptr<Exchange> waiting;
    HttpServer server(
        loop, {}, [&](std::shared_ptr<Exchange> const& exchange) {
            waiting = exchange;
            if (exchange->request().target != "/forwarded")
                return;
            ForwardPlan plan;
            plan.upstream = upstream.endpoint();
            plan.request = exchange->request();
            exchange->forward(std::move(plan), [](ForwardResult const&) {}); },
        [](Refusal const&) { return makeTextResponse(400, ""); });
    auto const endpoint = server.listen({ "127.0.0.1", 0 });
    Client const forwarded(*endpoint);
    forwarded.send("GET /forwarded HTTP/1.1\r\nHost: a\r\n\r\n");
    loop.runFor(Milliseconds(20));
    upstream.accept();
    upstream.readRequest();
    Client const answered(*endpoint);
    answered.send("GET /answered HTTP/1.1\r\nHost: a\r\n\r\n");
    loop.runFor(Milliseconds(20));
    server.setCloseAfterResponse(true);
    waiting->respond(makeTextResponse(200, "answer"));
    upstream.send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer");
    loop.runFor(Milliseconds(20));
    BOOST_TEST(answered.receive().find("Connection: close") != std::string::npos);
    auto const response = forwarded.receive();
    BOOST_TEST(response.ends_with("answer"));
    BOOST_TEST(response.find("Connection: close") != std::string::npos);
}

// Guards against requests that cross the close of a connection which, as the head of the answer before has said, stays open.
void checkRequestAfterStream(std::shared_ptr<EventProgress> const& progress)
{
    EventLoop loop;
    ScriptedUpstream upstream;
    HttpServer server(
        loop, {}, [&](std::shared_ptr<Exchange> const& exchange) {
            if (exchange->request().target != "/stream")
                return exchange->respond(makeTextResponse(503, "draining"));
            ForwardPlan plan;
            plan.upstream = upstream.endpoint();
            plan.request = exchange->request();
            plan.progress = progress;
            exchange->forward(std::move(plan), [](ForwardResult const&) {}); },
        [](Refusal const&) { return makeTextResponse(400, ""); });
    auto const endpoint = server.listen({ "127.0.0.1", 0 });
    Client const client(*endpoint);
    client.send("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
    loop.runFor(Milliseconds(20));
    upstream.accept();
    upstream.readRequest();
    upstream.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n");
    loop.runFor(Milliseconds(20));
    server.stopListening();
    upstream.send("0\r\n\r\n");
    loop.runFor(Milliseconds(20));
    BOOST_TEST(client.receive().ends_with("0\r\n\r\n"));
    client.send("GET /next HTTP/1.1\r\nHost: a\r\n\r\n");
    loop.runFor(Milliseconds(20));
    std::string received;
    auto const end = client.receiveAll(received);
    BOOST_TEST(received.find("HTTP/1.1 503") == 0);
    BOOST_TEST(received.find("Connection: close") != std::string::npos);
    BOOST_TEST((end == Client::End::Normal));
}

BOOST_AUTO_TEST_CASE(ARequestAfterAnAnswerFromBeforeTheStopIsAnswered)
{
    checkRequestAfterStream(nullptr);
    checkRequestAfterStream(std::make_shared<EventProgress>());
}

// Guards against answers that are cut by a reset: the server closes the connection after its answer, while bytes
// of the client are unread and the client has yet to read most of the answer.
BOOST_AUTO_TEST_CASE(SlowClientThatSendsMoreGetsTheWholeAnswer)
{
    constexpr size_t answerSize = 2u << 20;
    constexpr int receiveBufferSize = 4096;
    EventLoop loop;
    HttpServer server(
        loop, {}, [](std::shared_ptr<Exchange> const& exchange) { exchange->respond(makeTextResponse(200, std::string(answerSize, 'x'))); }, [](Refusal const&) { return makeTextResponse(400, ""); });
    auto const endpoint = server.listen({ "127.0.0.1", 0 });
    server.setCloseAfterResponse(true);
    Client const client(*endpoint, receiveBufferSize);
    client.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    loop.runFor(Milliseconds(20));
    client.send("GET /y HTTP/1.1\r\nHost: a\r\n\r\n");
    std::string received;
    auto end = Client::End::None;
    for (int round = 0; round < 2000 && end == Client::End::None; ++round) {
        loop.runFor(Milliseconds(1));
        end = client.receiveAll(received);
    }
    BOOST_TEST((end == Client::End::Normal));
    BOOST_TEST(received.size() > answerSize);
}

BOOST_AUTO_TEST_SUITE_END()

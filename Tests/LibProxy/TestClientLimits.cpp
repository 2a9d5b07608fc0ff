#include <LibProxy/Sockets.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

namespace {

constexpr Milliseconds runTime { 50 };
constexpr size_t kilobyte = 1u << 10;
std::string const largeHead = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n";

// A server whose handler keeps the requests, unless it is told to answer them.
struct LimitedServer {
    explicit LimitedServer(HttpServerOptions const& options, size_t memoryLimit = size_t { 1024 } * kilobyte)
        : memory(std::make_shared<ClientMemory>(memoryLimit))
        , server(
              loop, options, [this](std::shared_ptr<Exchange> const& exchange) { handle(exchange); },
              [](Refusal const& refusal) { return makeTextResponse(httpStatusOf(refusal.reason), std::string(nameOf(refusal.reason))); }, memory,
              [this](HttpRequest const& head) { return checkHead(head); })
        , endpoint(*server.listen({ "127.0.0.1", 0 }))
    {
    }

    void handle(std::shared_ptr<Exchange> const& exchange)
    {
        requests.push_back(exchange);
        if (answers)
            exchange->respond(makeTextResponse(200, "answer"));
    }

    std::optional<HttpResponse> checkHead(HttpRequest const& head)
    {
        checkedHeads.push_back(head);
        return refusesHeads ? std::optional(makeTextResponse(401, "refused")) : std::nullopt;
    }

    EventLoop loop;
    std::shared_ptr<ClientMemory> memory;
    std::vector<std::shared_ptr<Exchange>> requests;
    std::vector<HttpRequest> checkedHeads;
    HttpServer server;
    Endpoint endpoint;
    bool answers { true };
    bool refusesHeads { false };
};

HttpServerOptions withConnections(size_t count)
{
    HttpServerOptions options;
    options.maxConnections = count;
    return options;
}

}

BOOST_AUTO_TEST_SUITE(ClientLimitsTests)

BOOST_AUTO_TEST_CASE(ALargeBodyIsRefusedByItsHead)
{
    LimitedServer server({});
    server.refusesHeads = true;
    Client const client(server.endpoint);
    client.send(largeHead + "\r\n");
    server.loop.runFor(runTime);
    BOOST_TEST(client.receive().find(" 401 ") != std::string::npos);
    BOOST_TEST(server.requests.empty());
}

// The client reads its answer only once it has sent everything.
BOOST_AUTO_TEST_CASE(AClientThatSendsAllOfARefusedBodySeesTheAnswer)
{
    LimitedServer server({});
    server.refusesHeads = true;
    Client const client(server.endpoint);
    client.send(largeHead + "\r\n");
    std::string const piece(50000, 'x');
    for (int count = 0; count < 20; ++count) {
        client.send(piece);
        server.loop.runFor(Milliseconds(5));
    }
    std::string answer;
    BOOST_TEST((client.receiveAll(answer) == Client::End::Normal));
    BOOST_TEST(answer.find(" 401 ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(AClientThatAsksWhetherToSendItsBodyGetsTheRefusal)
{
    LimitedServer server({});
    server.refusesHeads = true;
    Client const client(server.endpoint);
    client.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
    server.loop.runFor(runTime);
    BOOST_TEST(client.receive().starts_with("HTTP/1.1 401 "));
}

BOOST_AUTO_TEST_CASE(TheHeadOfAnOrdinaryRequestIsNotCheckedByItself)
{
    LimitedServer server({});
    Client const client(server.endpoint);
    client.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody");
    server.loop.runFor(runTime);
    BOOST_TEST(client.receive().ends_with("answer"));
    BOOST_TEST(server.checkedHeads.empty());
}

// A chunked body has no announced length.
BOOST_AUTO_TEST_CASE(AChunkedBodyIsCheckedOnceItIsLarge)
{
    LimitedServer server({});
    server.refusesHeads = true;
    Client const client(server.endpoint);
    client.send("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::string const chunk = "8000\r\n" + std::string(32 * kilobyte, 'x') + "\r\n";
    for (int count = 0; count < 3; ++count) {
        client.send(chunk);
        server.loop.runFor(Milliseconds(5));
    }
    BOOST_TEST(server.checkedHeads.empty());
    for (int count = 0; count < 3; ++count) {
        client.send(chunk);
        server.loop.runFor(Milliseconds(5));
    }
    BOOST_TEST(server.checkedHeads.size() == 1);
    BOOST_TEST(client.receive().find(" 401 ") != std::string::npos);
}

// Guards against a session that asks for bytes for which it has no room, again and again.
BOOST_AUTO_TEST_CASE(ALowerLimitAppliesToTheNextRequestOfAnIdleConnection)
{
    HttpServerOptions options;
    LimitedServer server(options);
    Client const client(server.endpoint);
    server.loop.runFor(runTime);
    options.maxBodySize = kilobyte;
    server.server.setOptions(options);
    std::string const chunk = "4000\r\n" + std::string(16 * kilobyte, 'x') + "\r\n";
    client.send("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n");
    server.loop.runFor(runTime);
    BOOST_TEST(client.receive().find(" 413 ") != std::string::npos);
    BOOST_TEST(server.requests.empty());
}

BOOST_AUTO_TEST_CASE(AChunkedBodyOfTheLargestSizeIsTaken)
{
    HttpServerOptions options;
    options.maxBodySize = 32 * kilobyte;
    LimitedServer server(options);
    Client const client(server.endpoint);
    std::string const chunk = "4000\r\n" + std::string(16 * kilobyte, 'x') + "\r\n";
    client.send("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk);
    server.loop.runFor(runTime);
    client.send("0\r\n\r\n");
    server.loop.runFor(runTime);
    BOOST_TEST_REQUIRE(server.requests.size() == 1);
    BOOST_TEST(server.requests.back()->request().body.size() == options.maxBodySize);
}

BOOST_AUTO_TEST_CASE(EachRequestOfAConnectionHasItsOwnBody)
{
    LimitedServer server({});
    Client const client(server.endpoint);
    for (std::string const body : { "first", "a longer second one", "3" }) {
        client.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        server.loop.runFor(runTime);
        BOOST_TEST_REQUIRE(!server.requests.empty());
        BOOST_TEST(server.requests.back()->request().body.bytes() == body);
        BOOST_TEST(client.receive().ends_with("answer"));
    }
    BOOST_TEST(server.requests.size() == 3);
}

BOOST_AUTO_TEST_CASE(RequestsWithoutMemoryAreRefusedAsNotRun)
{
    LimitedServer server({}, 128 * kilobyte);
    server.answers = false;
    std::string const request = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n" + std::string(60000, 'x');
    Client const first(server.endpoint);
    Client const second(server.endpoint);
    first.send(request);
    server.loop.runFor(runTime);
    second.send(request);
    server.loop.runFor(runTime);
    BOOST_TEST(server.requests.size() == 1);
    auto const answer = second.receive();
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(answer.ends_with("client-memory-full"));
    BOOST_TEST(first.receive().empty());
}

// Guards against requests that wait for an upstream and take more than all memory once they are sent.
BOOST_AUTO_TEST_CASE(ARequestIsTakenOnlyWithTheMemoryToForwardIt)
{
    HttpServerOptions options;
    options.socketBufferSize = 16 * kilobyte;
    LimitedServer server(options, 512 * kilobyte);
    server.answers = false;
    std::vector<std::unique_ptr<Client>> clients;
    for (int count = 0; count < 12; ++count) {
        clients.push_back(std::make_unique<Client>(server.endpoint));
        clients.back()->send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
        server.loop.runFor(Milliseconds(10));
    }
    BOOST_TEST(!server.requests.empty());
    BOOST_TEST(server.requests.size() < clients.size());
    BOOST_TEST(clients.back()->receive().ends_with("client-memory-full"));
    ListeningPort const silent(64);
    for (auto const& request : server.requests) {
        ForwardPlan plan;
        plan.upstream = silent.endpoint;
        request->forward(plan, [](ForwardResult const&) {});
    }
    server.loop.runFor(runTime);
    BOOST_TEST(server.memory->used() <= server.memory->limit());
}

BOOST_AUTO_TEST_CASE(AnUnfinishedBodyIsRefusedForAnOrdinaryRequest)
{
    LimitedServer server({}, 512 * kilobyte);
    Client const unfinished(server.endpoint);
    unfinished.send(largeHead + "\r\n" + std::string(200000, 'x'));
    server.loop.runFor(runTime);
    std::vector<std::unique_ptr<Client>> others;
    server.answers = false;
    for (int count = 0; count < 4; ++count) {
        others.push_back(std::make_unique<Client>(server.endpoint));
        others.back()->send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n" + std::string(60000, 'x'));
        server.loop.runFor(runTime);
    }
    BOOST_TEST(server.requests.size() == others.size());
    BOOST_TEST(unfinished.receive().ends_with("client-memory-full"));
}

BOOST_AUTO_TEST_CASE(NothingIsCountedOnceAllClientsHaveLeft)
{
    LimitedServer server({});
    {
        Client const client(server.endpoint);
        client.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n" + std::string(60000, 'x'));
        Client const unfinished(server.endpoint);
        unfinished.send(largeHead);
        server.loop.runFor(runTime);
        BOOST_TEST(server.memory->used() > 60000);
    }
    server.requests.clear();
    server.loop.runFor(runTime);
    BOOST_TEST(server.memory->used() == 0);
}

// Guards against a balancer that takes a busy daemon for one that has ended: requests under way fill the memory.
BOOST_AUTO_TEST_CASE(ChecksAreAnsweredWhileRequestsTakeAllMemory)
{
    HttpServerOptions options;
    options.requestUse = ClientMemory::Use::Check;
    LimitedServer server(options);
    ClientMemory::Charge others(server.memory);
    others.resize(2 * server.memory->limit());
    Client const client(server.endpoint);
    client.send("GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n");
    server.loop.runFor(runTime);
    BOOST_TEST(client.receive().ends_with("answer"));
}

// Guards against idle clients that keep all others out.
BOOST_AUTO_TEST_CASE(AnIdleConnectionGivesItsPlaceToANewOne)
{
    LimitedServer server(withConnections(2));
    Client const idle(server.endpoint);
    server.loop.runFor(runTime);
    Client const recent(server.endpoint);
    server.loop.runFor(runTime);
    Client const next(server.endpoint);
    next.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    server.loop.runFor(runTime);
    BOOST_TEST(next.receive().ends_with("answer"));
    std::string none;
    BOOST_TEST((idle.receiveAll(none) == Client::End::Normal));
    BOOST_TEST((recent.receiveAll(none) == Client::End::None));
}

BOOST_AUTO_TEST_CASE(ANewConnectionIsClosedWhereAllServeRequests)
{
    LimitedServer server(withConnections(1));
    server.answers = false;
    Client const first(server.endpoint);
    first.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    server.loop.runFor(runTime);
    Client const second(server.endpoint);
    server.loop.runFor(runTime);
    std::string none;
    BOOST_TEST((second.receiveAll(none) == Client::End::Normal));
    BOOST_TEST((first.receiveAll(none) == Client::End::None));
}

BOOST_AUTO_TEST_SUITE_END()

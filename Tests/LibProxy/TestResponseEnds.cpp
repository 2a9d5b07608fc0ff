#include <LibProxy/Sockets.h>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <optional>

using namespace Stagepost;

namespace {

constexpr std::string_view event = "id: 1\ndata: x\n\n";

// An upstream that the test answers for, without an event loop.
class Upstream {
public:
    Upstream() = default;
    ~Upstream() { close(); }
    Upstream(Upstream const&) = delete;
    Upstream& operator=(Upstream const&) = delete;

    void accept() { m_connection = m_port.accept(); }
    void send(std::string const& bytes) const { BOOST_REQUIRE(::send(m_connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size())); }
    void beginStream() const { send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + std::string(event) + "\r\n"); }
    void endStream() const { send("0\r\n\r\n"); }
    void close()
    {
        if (m_connection >= 0)
            ::close(std::exchange(m_connection, -1));
    }

    Endpoint const& endpoint() const { return m_port.endpoint; }

private:
    ListeningPort m_port;
    int m_connection { -1 };
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

BOOST_AUTO_TEST_SUITE_END()

#include <LibProxy/Proxy.h>
#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace Stagepost;

namespace {

// A client with a blocking socket and no event loop.
class Client {
public:
    explicit Client(Endpoint const& server)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        ::inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
        BOOST_REQUIRE(::connect(m_socket, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) == 0);
    }
    ~Client() { ::close(m_socket); }
    Client(Client const&) = delete;
    Client& operator=(Client const&) = delete;

    void send(std::string_view bytes) const { BOOST_REQUIRE(::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size())); }

    // Returns the received bytes without blocking.
    std::string receive() const
    {
        std::array<char, 4096> buffer {};
        auto const size = ::recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        return size > 0 ? std::string(buffer.data(), static_cast<size_t>(size)) : std::string();
    }

private:
    int m_socket;
};

}

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

BOOST_AUTO_TEST_SUITE_END()

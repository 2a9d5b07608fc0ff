#include <LibProxy/Proxy.h>
#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace Stagepost;

namespace {

// A caller's connection, without an event loop of its own.
class Caller {
public:
    explicit Caller(Endpoint const& server)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        ::inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
        BOOST_REQUIRE(::connect(m_socket, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) == 0);
    }
    ~Caller() { ::close(m_socket); }
    Caller(Caller const&) = delete;
    Caller& operator=(Caller const&) = delete;

    void send(std::string_view bytes) const { BOOST_REQUIRE(::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size())); }

    // What has arrived.
    std::string received() const
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

// A request that arrives in the moment of the close is either answered or never
// handed to the handler: a handler that has passed it on owes an answer.
BOOST_AUTO_TEST_CASE(ARequestThatCrossesTheCloseIsAnsweredOrNeverTaken)
{
    constexpr Milliseconds settle { 20 };
    for (int round = 0; round < 30; ++round) {
        EventLoop loop;
        size_t taken = 0;
        HttpServer server(
            loop, {}, [&taken](std::shared_ptr<Exchange> const& exchange) {
                ++taken;
                exchange->respond(textReply(200, "answer")); }, [](Refusal const&) { return textReply(400, ""); });
        auto const endpoint = server.listen({ "127.0.0.1", 0 });
        Caller const caller(*endpoint);
        loop.runFor(settle);
        Timer close(loop);
        close.once(Milliseconds(1), [&server] { server.stopListening(); });
        caller.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody");
        // Both are due when the loop goes on.
        std::this_thread::sleep_for(Milliseconds(2));
        loop.runFor(settle);
        BOOST_TEST(taken == (caller.received().ends_with("answer") ? 1u : 0u));
    }
}

BOOST_AUTO_TEST_CASE(AServerThatIsClosingAnswersAndSaysSo)
{
    EventLoop loop;
    HttpServer server(
        loop, {}, [](std::shared_ptr<Exchange> const& exchange) { exchange->respond(textReply(200, "answer")); }, [](Refusal const&) { return textReply(400, ""); });
    auto const endpoint = server.listen({ "127.0.0.1", 0 });
    server.setClosing(true);
    Caller const caller(*endpoint);
    caller.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    loop.runFor(Milliseconds(50));
    auto const answer = caller.received();
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
    server.setClosing(false);
    Caller const next(*endpoint);
    next.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    loop.runFor(Milliseconds(50));
    BOOST_TEST(next.received().find("Connection: close") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

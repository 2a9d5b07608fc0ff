#include <LibProxy/Proxy.h>
#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace Stagepost;

namespace {

// A listening TCP port, until close() is called.
class ListeningPort {
public:
    ListeningPort()
        : m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(::bind(m_listener, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) == 0);
        BOOST_REQUIRE(::listen(m_listener, 1) == 0);
        socklen_t size = sizeof(address);
        BOOST_REQUIRE(::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        endpoint = { "127.0.0.1", ntohs(address.sin_port) };
    }
    ~ListeningPort() { close(); }
    ListeningPort(ListeningPort const&) = delete;
    ListeningPort& operator=(ListeningPort const&) = delete;

    void close()
    {
        if (m_listener >= 0)
            ::close(std::exchange(m_listener, -1));
    }

    Endpoint endpoint;

private:
    int m_listener;
};

PortState probeState(Endpoint const& endpoint)
{
    EventLoop loop;
    PortProbe probe(loop);
    std::optional<PortState> result;
    probe.probe(endpoint, Milliseconds(500), [&](PortState state) {
        result = state;
        loop.stop();
    });
    loop.runFor(Milliseconds(5000));
    BOOST_REQUIRE(result.has_value());
    return *result;
}

}

BOOST_AUTO_TEST_SUITE(PortProbeTests)

BOOST_AUTO_TEST_CASE(DistinguishesOpenFromClosedPorts)
{
    ListeningPort port;
    BOOST_TEST((probeState(port.endpoint) == PortState::Open));
    port.close();
    BOOST_TEST((probeState(port.endpoint) == PortState::Closed));
}

BOOST_AUTO_TEST_SUITE_END()

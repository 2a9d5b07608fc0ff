#include <LibProxy/Sockets.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

namespace {

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

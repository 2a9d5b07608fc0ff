#include <LibProxy/Proxy.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

namespace {

Endpoint const anyPort { "127.0.0.1", 0 };

}

BOOST_AUTO_TEST_SUITE(ListeningTests)

// A daemon needs one port number for datagrams and connections, so it tries another one if the first is
// taken for one of them.
BOOST_AUTO_TEST_CASE(AServerListensElsewhereAfterItsPortWasTaken)
{
    EventLoop loop;
    auto const ignoreExchange = [](std::shared_ptr<Exchange> const&) {};
    auto const refuse = [](Refusal const&) { return makeTextResponse(400, ""); };
    HttpServer holder(loop, {}, ignoreExchange, refuse);
    HttpServer server(loop, {}, ignoreExchange, refuse);
    auto const taken = holder.listen(anyPort);
    BOOST_REQUIRE(taken.has_value());
    BOOST_TEST(!server.listen(*taken).has_value());
    auto const listening = server.listen(anyPort);
    BOOST_REQUIRE(listening.has_value());
    BOOST_TEST(listening->port != taken->port);
}

BOOST_AUTO_TEST_CASE(ADatagramSocketIsBoundElsewhereAndThenReceivesThere)
{
    EventLoop loop;
    std::vector<std::string> received;
    DatagramSocket sender(loop, [](Endpoint const&, std::string_view) {});
    DatagramSocket socket(loop, [&](Endpoint const&, std::string_view bytes) {
        received.emplace_back(bytes);
        loop.stop();
    });
    auto const taken = sender.bind(anyPort);
    BOOST_REQUIRE(taken.has_value());
    BOOST_TEST(!socket.bind(*taken).has_value());
    BOOST_REQUIRE(socket.bind(anyPort).has_value());
    auto const bound = socket.bind(anyPort);
    BOOST_REQUIRE(bound.has_value());
    sender.send(*bound, "message");
    loop.runFor(Milliseconds(5000));
    BOOST_REQUIRE(received.size() == 1);
    BOOST_TEST(received.front() == "message");
}

BOOST_AUTO_TEST_SUITE_END()

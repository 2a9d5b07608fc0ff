#include <LibProxy/Detail/Exchange.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

namespace {

// A session that waits for one action, and a handler that counts the ends of its forwards.
struct World {
    Net::io_context context;
    std::shared_ptr<SessionExchange> exchange { std::make_shared<SessionExchange>(context, HttpRequest {}) };
    std::optional<SessionExchange::Action> action;
    std::vector<ForwardResult> ends;

    void wait()
    {
        Net::co_spawn(
            context, [this]() -> Net::awaitable<void> { action = co_await exchange->nextAction(); }, Net::detached);
        run();
    }
    void forward()
    {
        exchange->forward({}, [this](ForwardResult const& result) { ends.push_back(result); });
    }
    void run()
    {
        context.restart();
        context.poll();
    }
    bool hasForwardAction() const { return action && std::holds_alternative<SessionExchange::ForwardAction>(*action); }
};

}

// Guards against requests that are counted as in flight for ever: a forward whose client leaves before the session
// has taken it up was dropped without a call of its callback.
BOOST_AUTO_TEST_SUITE(ExchangeTests)

BOOST_AUTO_TEST_CASE(ForwardEndsIfTheClientLeavesBeforeTheSessionTakesItUp)
{
    World world;
    world.wait();
    world.forward();
    world.exchange->handleClientDisconnect();
    world.run();
    BOOST_TEST(!world.hasForwardAction());
    BOOST_REQUIRE(world.ends.size() == 1u);
    BOOST_TEST(world.ends.front().isCallerLost());
    BOOST_TEST((world.ends.front().verdict.isNotRun()));
}

BOOST_AUTO_TEST_CASE(ForwardEndsIfTheClientHasLeft)
{
    World world;
    world.wait();
    world.exchange->handleClientDisconnect();
    world.run();
    world.forward();
    // Not from within the call, whose caller has yet to count the request.
    BOOST_TEST(world.ends.empty());
    world.run();
    BOOST_REQUIRE(world.ends.size() == 1u);
    BOOST_TEST(world.ends.front().isCallerLost());
}

BOOST_AUTO_TEST_CASE(ForwardThatTheSessionHasTakenUpIsLeftToIt)
{
    World world;
    world.wait();
    world.forward();
    world.run();
    BOOST_TEST(world.hasForwardAction());
    world.exchange->handleClientDisconnect();
    world.run();
    BOOST_TEST(world.ends.empty());
}

BOOST_AUTO_TEST_SUITE_END()

#include <LibProxy/Detail/Exchange.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

namespace {

// A session that waits for one action, and a handler that counts the ends of its forwards.
struct World {
    Net::io_context context;
    std::shared_ptr<SessionExchange> exchange { std::make_shared<SessionExchange>(context, HttpRequest {}, ClientMemory::Charge(), [this] { ++lateActions; }) };
    std::optional<SessionExchange::Action> action;
    std::vector<ForwardResult> ends;
    size_t lateActions { 0 };

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
    bool hasResponse() const { return action && std::holds_alternative<HttpResponse>(*action); }
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

// Guards against a request that runs after its caller was told that it has not: a callback that comes after the answer, or
// twice, may forward it.
BOOST_AUTO_TEST_CASE(ARequestIsNotForwardedAfterItsAnswer)
{
    World world;
    world.exchange->respond({ 503, {}, "" });
    world.forward();
    BOOST_TEST(world.ends.empty());
    world.wait();
    BOOST_TEST(world.hasResponse());
    BOOST_REQUIRE(world.ends.size() == 1u);
    BOOST_TEST((world.ends.front().verdict == Verdict::mayHaveRun));
    BOOST_TEST(world.lateActions == 1u);
    world.forward();
    world.wait();
    BOOST_TEST(!world.hasForwardAction());
    BOOST_TEST((world.ends.size() == 2u && world.lateActions == 2u));
}

BOOST_AUTO_TEST_CASE(TheFirstAnswerCounts)
{
    World world;
    world.exchange->respond({ 502, {}, "" });
    world.exchange->respond({ 503, {}, "" });
    world.exchange->abort();
    world.wait();
    BOOST_REQUIRE(world.hasResponse());
    BOOST_TEST(std::get<HttpResponse>(*world.action).status == 502u);
    BOOST_TEST(world.lateActions == 1u);
}

BOOST_AUTO_TEST_CASE(ARequestIsNeitherAnsweredNorForwardedWhileItIsForwarded)
{
    World world;
    world.wait();
    world.forward();
    world.run();
    BOOST_REQUIRE(world.hasForwardAction());
    world.exchange->respond({ 503, {}, "" });
    world.forward();
    world.run();
    BOOST_REQUIRE(world.ends.size() == 1u);
    BOOST_TEST((world.ends.front().verdict == Verdict::mayHaveRun));
    BOOST_TEST(world.lateActions == 2u);
    auto const forward = std::get<SessionExchange::ForwardAction>(*world.action);
    forward.callback({});
    BOOST_TEST(world.ends.size() == 2u);
    // Neither of the late ones is left over.
    world.action.reset();
    world.wait();
    BOOST_TEST(!world.action.has_value());
    world.exchange->respond({ 502, {}, "" });
    world.run();
    BOOST_REQUIRE(world.hasResponse());
    BOOST_TEST(std::get<HttpResponse>(*world.action).status == 502u);
    BOOST_TEST(world.lateActions == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>
#include <stagepostd/DetourServer.h>
#include <stagepostd/GatewayReply.h>

using namespace Stagepost;

namespace {

// Records what it was answered.
class FakeExchange final : public Exchange {
public:
    HttpRequest const& request() const override { return m_request; }
    void respond(HttpResponse response) override { answer = std::move(response); }
    void forward(ForwardPlan plan, ForwardCallback) override
    {
        wasForwarded = true;
        removedFields.assign(plan.removedResponseFields.begin(), plan.removedResponseFields.end());
    }
    void stopForward() override { }
    void abort() override { }
    void onClientDisconnect(std::function<void()>) override { }
    bool isClientDisconnected() const override { return false; }

    std::optional<HttpResponse> answer;
    bool wasForwarded { false };
    std::vector<std::string_view> removedFields;

private:
    HttpRequest m_request { "POST", "/draft/x", { { "Id-Field", "id-7" }, { DetourServer::termsHeader, "signed" }, { "Other", "kept" } }, "body" };
};

struct World {
    Metrics metrics;
    bool canServe { true };
    uint64_t version { 5 };
    std::vector<std::shared_ptr<Exchange>> handled;
    DetourServer server { 2, "Id-Field", metrics,
        { [this] { return canServe; }, [this] { return version; }, [this](auto const& exchange, auto const&) { handled.push_back(exchange); } } };

    std::shared_ptr<FakeExchange> serve(DetourTerms const& terms)
    {
        auto exchange = std::make_shared<FakeExchange>();
        server.serve(exchange, terms);
        return exchange;
    }
};

DetourTerms termsFor(uint64_t version, size_t sends = 1)
{
    DetourTerms terms;
    terms.settingsVersion = version;
    terms.sendsLeft = sends;
    terms.service = "chat";
    terms.id = "id-7";
    return terms;
}

void checkRefusedElsewhere(FakeExchange const& exchange)
{
    BOOST_REQUIRE(exchange.answer);
    BOOST_TEST(exchange.answer->status == 503u);
    BOOST_TEST(exchange.answer->headers.find(DetourServer::refusalHeader) == DetourServer::refusedHere);
    BOOST_TEST(exchange.answer->headers.find("Stagepost-Verdict") == "not-run");
    // Otherwise the other daemon takes it for the answer to another request.
    BOOST_TEST(exchange.answer->headers.find("Id-Field") == "id-7");
}

}

BOOST_AUTO_TEST_SUITE(DetourServerTests)

BOOST_AUTO_TEST_CASE(TermsSurviveTheirEncoding)
{
    auto terms = termsFor(9, 3);
    terms.isCounted = true;
    auto const decoded = DetourTerms::decode(VMId(4), terms.encode());
    BOOST_REQUIRE(decoded);
    BOOST_TEST((decoded->from == VMId(4)));
    BOOST_TEST(decoded->settingsVersion == 9u);
    BOOST_TEST(decoded->sendsLeft == 3u);
    BOOST_TEST(decoded->isCounted);
    BOOST_TEST(decoded->service == "chat");
    BOOST_TEST(decoded->id == "id-7");
    BOOST_TEST(!DetourTerms::decode(VMId(4), terms.encode() + "x"));
    BOOST_TEST(!DetourTerms::decode(VMId(4), ""));
}

BOOST_AUTO_TEST_CASE(ARequestIsHandledWithoutItsTerms)
{
    World world;
    auto const exchange = world.serve(termsFor(5));
    BOOST_REQUIRE(world.handled.size() == 1u);
    auto const& request = world.handled.front()->request();
    BOOST_TEST(!request.headers.contains(DetourServer::termsHeader));
    BOOST_TEST(request.headers.find("Other") == "kept");
    BOOST_TEST(request.body.bytes() == "body");
    world.handled.front()->forward({}, {});
    BOOST_TEST(exchange->wasForwarded);
    BOOST_TEST(!exchange->answer);
    // An upstream's answer can't be taken for one of this daemon.
    BOOST_TEST((exchange->removedFields == std::vector<std::string_view> { DetourServer::refusalHeader, "Stagepost-Reason", "Stagepost-Verdict" }));
}

BOOST_AUTO_TEST_CASE(ADaemonThatReachesNoUpstreamRefuses)
{
    World world;
    world.canServe = false;
    checkRefusedElsewhere(*world.serve(termsFor(5)));
    BOOST_TEST(world.handled.empty());
}

BOOST_AUTO_TEST_CASE(AnOlderConfigurationIsNotAppliedToTheRequest)
{
    World world;
    checkRefusedElsewhere(*world.serve(termsFor(6)));
    BOOST_TEST(world.handled.empty());
}

// Guards against requests that nobody serves because the daemon they were passed on to has begun to stop.
BOOST_AUTO_TEST_CASE(ADaemonThatStopsLeavesTheRequestToOthers)
{
    World world;
    auto const exchange = world.serve(termsFor(5));
    world.handled.front()->respond(gatewayReply({ RefusalReason::Draining, NotRunProof::nothingSent(), "this daemon is about to stop", {} }));
    checkRefusedElsewhere(*exchange);
}

BOOST_AUTO_TEST_CASE(OnlySoManyAreTakenAtATime)
{
    World world;
    world.serve(termsFor(5));
    world.serve(termsFor(5));
    BOOST_TEST(world.server.load() == 2u);
    BOOST_TEST(!world.server.isAvailable());
    checkRefusedElsewhere(*world.serve(termsFor(5)));
    world.handled.clear();
    BOOST_TEST(world.server.load() == 0u);
    BOOST_TEST(world.server.isAvailable());
}

BOOST_AUTO_TEST_CASE(ARequestWithoutSendsLeftIsNotHandled)
{
    World world;
    checkRefusedElsewhere(*world.serve(termsFor(5, 0)));
    BOOST_TEST(world.handled.empty());
}

// A service that is full is so for every daemon, but lost links concern one.
BOOST_AUTO_TEST_CASE(OwnAnswersSayWhetherAnotherDaemonMayTry)
{
    auto const markOf = [](std::string const& reason, std::string const& verdict) {
        World world;
        auto const exchange = world.serve(termsFor(5));
        world.handled.front()->respond({ 503, { { "Stagepost-Reason", reason }, { "Stagepost-Verdict", verdict } }, "" });
        return std::string(exchange->answer->headers.find(DetourServer::refusalHeader));
    };
    BOOST_TEST(markOf("queue-full", "not-run") == DetourServer::refusedFinally);
    BOOST_TEST(markOf("no-upstream", "not-run") == DetourServer::refusedHere);
    BOOST_TEST(markOf("unknown-key", "not-run") == DetourServer::refusedHere);
    BOOST_TEST(markOf("no-upstream", "may-have-run") == DetourServer::refusedFinally);
}

BOOST_AUTO_TEST_SUITE_END()

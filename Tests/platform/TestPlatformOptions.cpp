#include <boost/test/unit_test.hpp>
#include <platform/PlatformOptions.h>
#include <stagepostd/GatewayPolicies.h>

using namespace Stagepost;

namespace {

PlatformOptions parsed(std::vector<char const*> extra)
{
    std::vector<char const*> words { "stagepostd-platform", "--name", "e", "--hall", "h", "--listen", "127.0.0.1:0", "--ready-listen", "127.0.0.1:0",
        "--peer-listen", "127.0.0.1:0", "--store", "127.0.0.1:1" };
    words.insert(words.end(), extra.begin(), extra.end());
    auto options = PlatformOptions::parse(static_cast<int>(words.size()), words.data());
    BOOST_REQUIRE(options.has_value());
    return std::move(*options);
}

}

BOOST_AUTO_TEST_SUITE(PlatformOptionsTests)

// The tighter of the two bounds decides, or a deployment with one of them far below
// the other would learn of its news too late.
BOOST_AUTO_TEST_CASE(TheTighterBoundOnNewsSetsThePace)
{
    auto const usual = parsed({ "--leave-bound-ms", "2000", "--config-bound-ms", "2000" });
    BOOST_TEST((usual.readInterval == Milliseconds(500)));
    BOOST_TEST((usual.gateway.exchange.fallbackAge == Milliseconds(1600)));
    auto const quickConfiguration = parsed({ "--leave-bound-ms", "2000", "--config-bound-ms", "1000" });
    BOOST_TEST((quickConfiguration.readInterval == Milliseconds(250)));
    BOOST_TEST((quickConfiguration.gateway.exchange.fallbackAge == Milliseconds(800)));
    BOOST_TEST((quickConfiguration.gateway.directory.outageThreshold == Milliseconds(2000)));
    auto const quickLeaving = parsed({ "--leave-bound-ms", "400", "--config-bound-ms", "4000" });
    BOOST_TEST((quickLeaving.readInterval == Milliseconds(100)));
}

// A belief that came by two asks is younger than the age from which a daemon reads
// the store itself, or all of a hall would.
BOOST_AUTO_TEST_CASE(ProofsThroughTwoDaemonsAreInTime)
{
    auto const exchange = parsed({}).gateway.exchange;
    auto const readInterval = parsed({}).readInterval;
    BOOST_TEST((exchange.queryInterval + exchange.relayQueryInterval + 2 * readInterval <= exchange.fallbackAge));
}

BOOST_AUTO_TEST_CASE(KeysHaveABoundOnlyWhereOneIsGiven)
{
    BOOST_TEST(!parsed({}).gateway.keyFreshness.has_value());
    BOOST_TEST(!parsed({ "--key-bound-ms", "0" }).gateway.keyFreshness.has_value());
    BOOST_TEST((*parsed({ "--key-bound-ms", "5000" }).gateway.keyFreshness == Milliseconds(4700)));
}

BOOST_AUTO_TEST_CASE(AQuickBoundOnEmptiedHallsSetsThePaceAsWell)
{
    BOOST_TEST((parsed({ "--empty-hall-bound-ms", "1000" }).readInterval == Milliseconds(250)));
    BOOST_TEST((parsed({ "--empty-hall-bound-ms", "5000" }).readInterval == Milliseconds(500)));
    BOOST_TEST((parsed({}).readInterval == Milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(PoliciesAreNamedOrRefused)
{
    BOOST_TEST(parsed({}).gateway.placement.foreseesFall);
    auto const changed = parsed({ "--policies", "foresee-fall=off,caution=on" }).gateway.placement;
    BOOST_TEST(!changed.foreseesFall);
    BOOST_TEST(changed.isCautious);
    for (auto const* wrong : { "caution", "caution=maybe", "other=on", ",caution=on" }) {
        auto const policies = GatewayPolicies::parse(wrong);
        BOOST_REQUIRE(!policies);
        BOOST_TEST(policies.error().detail.find("foresee-fall learn-hold caution") != std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()

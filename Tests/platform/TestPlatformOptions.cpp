#include <boost/test/unit_test.hpp>
#include <platform/PlatformOptions.h>
#include <stagepostd/GatewayPolicies.h>

using namespace Stagepost;

namespace {

PlatformOptions parse(std::vector<char const*> extra)
{
    std::vector<char const*> arguments { "stagepostd-platform", "--name", "e", "--hall", "h", "--listen", "127.0.0.1:0", "--ready-listen", "127.0.0.1:0",
        "--peer-listen", "127.0.0.1:0", "--store", "127.0.0.1:1" };
    arguments.insert(arguments.end(), extra.begin(), extra.end());
    auto options = PlatformOptions::parse(static_cast<int>(arguments.size()), arguments.data());
    BOOST_REQUIRE(options.has_value());
    return std::move(*options);
}

}

BOOST_AUTO_TEST_SUITE(PlatformOptionsTests)

// If the looser bound set the read interval, updates would arrive too late for the tighter one.
BOOST_AUTO_TEST_CASE(TighterUpdateBoundSetsReadInterval)
{
    auto const equalBounds = parse({ "--leave-bound-ms", "2000", "--config-bound-ms", "2000" });
    BOOST_TEST((equalBounds.readInterval == Milliseconds(500)));
    BOOST_TEST((equalBounds.gateway.exchange.fallbackAge == Milliseconds(1600)));
    auto const tightConfigBound = parse({ "--leave-bound-ms", "2000", "--config-bound-ms", "1000" });
    BOOST_TEST((tightConfigBound.readInterval == Milliseconds(250)));
    BOOST_TEST((tightConfigBound.gateway.exchange.fallbackAge == Milliseconds(800)));
    BOOST_TEST((tightConfigBound.gateway.directory.outageThreshold == Milliseconds(2000)));
    auto const tightLeaveBound = parse({ "--leave-bound-ms", "400", "--config-bound-ms", "4000" });
    BOOST_TEST((tightLeaveBound.readInterval == Milliseconds(100)));
}

// A confirmation that arrives through two queries must be younger than the age from which a daemon
// reads the store itself. Otherwise all daemons of a hall would read it.
BOOST_AUTO_TEST_CASE(ConfirmationsThroughTwoDaemonsAreInTime)
{
    auto const exchange = parse({}).gateway.exchange;
    auto const readInterval = parse({}).readInterval;
    BOOST_TEST((exchange.queryInterval + exchange.relayQueryInterval + 2 * readInterval <= exchange.fallbackAge));
}

BOOST_AUTO_TEST_CASE(KeyBoundIsOptional)
{
    BOOST_TEST(!parse({}).gateway.keyFreshness.has_value());
    BOOST_TEST(!parse({ "--key-bound-ms", "0" }).gateway.keyFreshness.has_value());
    BOOST_TEST((*parse({ "--key-bound-ms", "5000" }).gateway.keyFreshness == Milliseconds(4700)));
}

BOOST_AUTO_TEST_CASE(TightBoundOnEmptiedHallsSetsReadInterval)
{
    BOOST_TEST((parse({ "--empty-hall-bound-ms", "1000" }).readInterval == Milliseconds(250)));
    BOOST_TEST((parse({ "--empty-hall-bound-ms", "5000" }).readInterval == Milliseconds(500)));
    BOOST_TEST((parse({}).readInterval == Milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(PoliciesAreParsedOrRejected)
{
    BOOST_TEST(parse({}).gateway.placement.foreseesFall);
    auto const changed = parse({ "--policies", "foresee-fall=off,caution=on" }).gateway.placement;
    BOOST_TEST(!changed.foreseesFall);
    BOOST_TEST(changed.isCautious);
    for (auto const* invalid : { "caution", "caution=maybe", "other=on", ",caution=on" }) {
        auto const policies = GatewayPolicies::parse(invalid);
        BOOST_REQUIRE(!policies);
        BOOST_TEST(policies.error().detail.find("foresee-fall learn-hold caution") != std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()

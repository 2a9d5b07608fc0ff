#include <boost/test/unit_test.hpp>
#include <stagepostd/ServiceShares.h>

using namespace Stagepost;

namespace {

ClientLimits makeLimits(size_t connections, uint64_t memory)
{
    ClientLimits limits;
    limits.connections = connections;
    limits.memory = memory;
    return limits;
}

}

BOOST_AUTO_TEST_SUITE(ServiceSharesTests)

// Guards against a silent service whose requests keep those of all others out.
BOOST_AUTO_TEST_CASE(OneServiceLeavesConnectionsToOthers)
{
    ServiceShares shares(makeLimits(100, 1000));
    std::vector<std::shared_ptr<void const>> held;
    while (auto share = shares.enter("silent", 0))
        held.push_back(std::move(share));
    BOOST_TEST(held.size() == 75);
    BOOST_TEST(shares.enter("other", 0) != nullptr);
    held.pop_back();
    BOOST_TEST(shares.enter("silent", 0) != nullptr);
}

BOOST_AUTO_TEST_CASE(OneServiceLeavesMemoryToOthers)
{
    ServiceShares shares(makeLimits(100, 1000));
    auto const held = shares.enter("silent", 500);
    BOOST_TEST(shares.enter("silent", 101) == nullptr);
    BOOST_TEST(shares.enter("silent", 100) != nullptr);
    BOOST_TEST(shares.enter("other", 101) != nullptr);
}

BOOST_AUTO_TEST_CASE(ASingleRequestIsAlwaysServed)
{
    ServiceShares shares(makeLimits(1, 10));
    BOOST_TEST(shares.enter("any", 1000) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

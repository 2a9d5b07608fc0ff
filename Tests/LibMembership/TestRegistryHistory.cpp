#include <LibMembership/RegistryHistory.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

namespace {

std::vector<RegistryRecord> record(std::string const& name, std::string const& text)
{
    return { { name, text } };
}

}

BOOST_AUTO_TEST_SUITE(RegistryHistoryTests)

BOOST_AUTO_TEST_CASE(ReturnsTheLatestRecordOfEachChangedDaemon)
{
    RegistryHistory history;
    history.reset(10);
    history.add(record("a", "1"), 11);
    history.add(record("b", "1"), 12);
    history.add(record("a", "2"), 14);
    history.add({ { "b", {} } }, 15);
    BOOST_TEST(history.version() == 15u);
    auto const all = history.changesSince(10);
    BOOST_REQUIRE(all.has_value());
    BOOST_TEST((*all == std::vector<RegistryRecord> { { "a", "2" }, { "b", {} } }));
    BOOST_TEST((*history.changesSince(14) == std::vector<RegistryRecord> { { "b", {} } }));
    BOOST_TEST(history.changesSince(15)->empty());
}

BOOST_AUTO_TEST_CASE(ReturnsNothingForUnknownVersions)
{
    RegistryHistory history;
    history.reset(10);
    history.add(record("a", "1"), 11);
    BOOST_TEST(!history.changesSince(9).has_value());
    BOOST_TEST(!history.changesSince(12).has_value());
    history.reset(20);
    BOOST_TEST(!history.changesSince(11).has_value());
}

BOOST_AUTO_TEST_CASE(ReturnsNothingIfTheChangesExceedAMessage)
{
    RegistryHistory history;
    history.reset(0);
    for (uint64_t number = 1; number <= 1000; ++number)
        history.add(record("daemon " + std::to_string(number), "x"), number);
    BOOST_TEST(!history.changesSince(500).has_value());
    BOOST_TEST(!history.changesSince(980).has_value());
    BOOST_TEST(history.changesSince(990)->size() == 10u);
}

BOOST_AUTO_TEST_SUITE_END()

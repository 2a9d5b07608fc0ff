#include <LibSettings/Settings.h>
#include <boost/test/unit_test.hpp>

using namespace Stagepost;

namespace {

constexpr char const* tree = R"(
[fleet]
load_multiple = 1.5
[organisations]
weight = 2.0
[organisations.clubs]
requests_per_second = 50
[organisations.clubs.north]
token_hashes = ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]
[organisations.clubs.south]
token_hashes = ["bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"]
weight = 3.0
[pools.assistant]
models = ["small", "large"]
[pools.coder]
models = ["code"]
load_multiple = 1.1
[services.callbook]
)";

std::string problemsOf(std::string const& toml)
{
    auto const parsed = SettingsTree::parse(toml);
    return parsed ? "" : parsed.error().detail;
}

}

BOOST_AUTO_TEST_SUITE(SettingsTreeTests)

BOOST_AUTO_TEST_CASE(ChildrenInheritUnlessTheyOverride)
{
    auto const parsed = SettingsTree::parse(tree);
    BOOST_REQUIRE(parsed.has_value());
    auto const weight = [&](char const* path) { return parsed->resolve(path, "weight").value(); };
    BOOST_TEST(std::get<double>(weight("organisations.clubs.north").value) == 2.0);
    BOOST_TEST(weight("organisations.clubs.north").from == "organisations");
    BOOST_TEST(std::get<double>(weight("organisations.clubs.south").value) == 3.0);
    BOOST_TEST(parsed->resolve("pools.assistant", "load_multiple").value().from == "fleet");
    BOOST_TEST(parsed->resolve("pools.coder", "load_multiple").value().from == "pools.coder");
    BOOST_TEST(parsed->resolve("pools.coder", "queue_length").value().from == "default");
}

BOOST_AUTO_TEST_CASE(ErrorsNameThePathTheValueAndWhatIsAllowed)
{
    BOOST_TEST(problemsOf("[fleet]\nload_multiple = 0.5") == "fleet.load_multiple = 0.5: allowed is a number from 1.01 to 100");
    BOOST_TEST(problemsOf("[fleet]\nload_multple = 2") == "fleet.load_multple = 2: allowed is a known setting; the nearest is load_multiple");
    BOOST_TEST(problemsOf("[pools.a]\nweight = 2.0") == "pools.a.weight = 2.0: allowed is this setting only under organisations");
    BOOST_TEST(problemsOf("[pool.a]") == "pool = table: allowed is one of the tables fleet, organisations, pools, services");
    BOOST_TEST(problemsOf("[pools.a]\nfences = \"maybe\"") == "pools.a.fences = 'maybe': allowed is one of \"checked\", \"unchecked\"");
    BOOST_TEST(problemsOf("not toml").starts_with("line 1"));
}

BOOST_AUTO_TEST_CASE(AllProblemsAreReportedTogether)
{
    auto const problems = problemsOf("[fleet]\nload_multiple = 0\nticket_window = -1");
    BOOST_TEST(problems.find("load_multiple") != std::string::npos);
    BOOST_TEST(problems.find("ticket_window") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(OrganisationsAreTheLeafNodes)
{
    auto const settings = FleetSettings::create(SettingsTree::parse(tree).value());
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->organisations.size() == 2u);
    BOOST_TEST(settings->poolByModel.at("code").value() == PoolId::fromName("pools.coder").value());
}

BOOST_AUTO_TEST_CASE(ContradictorySettingsAreRejected)
{
    auto const create = [](char const* toml) { return FleetSettings::create(SettingsTree::parse(toml).value()); };
    auto const twice = create("[pools.a]\nmodels=[\"m\"]\n[pools.b]\nmodels=[\"m\"]");
    BOOST_TEST(twice.error().detail.find(".models = \"m\"") != std::string::npos);
    std::string const hashes = "token_hashes=[\"0123456789abcdef0123456789abcdef\"]\n";
    auto const shared = create(("[organisations.a]\n" + hashes + "[organisations.b]\n" + hashes).c_str());
    BOOST_TEST(shared.error().detail.find("no other organisation") != std::string::npos);
    auto const noHash = create("[organisations.a]\ntoken_hashes=[\"@HARBOUR@\"]");
    BOOST_TEST(noHash.error().detail.find("organisations.a.token_hashes = @HARBOUR@") != std::string::npos);
    BOOST_TEST(!create("[fleet]\nclaim_window_s = 100\nlog_retention_s = 150").has_value());
}

BOOST_AUTO_TEST_CASE(DifferencesListChangedSettingsAndNodes)
{
    auto const before = SettingsTree::parse("[pools.a]\nqueue_length = 1").value();
    auto const after = SettingsTree::parse("[pools.a]\nqueue_length = 2\n[pools.b]").value();
    std::vector<std::string> const expected { "pools.a.queue_length: 1 -> 2", "pools.b: added" };
    BOOST_TEST(SettingsTree::difference(before, after) == expected);
}

BOOST_AUTO_TEST_SUITE_END()

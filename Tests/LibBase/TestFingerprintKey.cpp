#include <LibBase/Base.h>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace Stagepost;

namespace {

RequestTraits const traits { "club", "POST", "logbook.example", "/digest/x?year=2026", "a prompt" };

}

BOOST_AUTO_TEST_SUITE(FingerprintKeyTests)

BOOST_AUTO_TEST_CASE(AllDaemonsOfAFleetAgree)
{
    BOOST_TEST((FingerprintKey("key").fingerprintOf(traits) == FingerprintKey("key").fingerprintOf(traits)));
    BOOST_TEST((FingerprintKey("key").fingerprintOf(traits) != FingerprintKey("another").fingerprintOf(traits)));
}

BOOST_AUTO_TEST_CASE(EachTraitTellsRequestsApart)
{
    FingerprintKey const key("key");
    for (auto const member : { &RequestTraits::organisation, &RequestTraits::method, &RequestTraits::host, &RequestTraits::target, &RequestTraits::body }) {
        auto other = traits;
        other.*member = "other";
        BOOST_TEST((key.fingerprintOf(other) != key.fingerprintOf(traits)));
    }
}

// An organisation whose name ends as another one's path begins is still another one.
BOOST_AUTO_TEST_CASE(BordersBetweenTraitsCount)
{
    FingerprintKey const key("key");
    BOOST_TEST(rc::check([&](std::string const& text, std::string const& more) {
        RC_PRE(!text.empty() && !more.empty());
        RC_ASSERT(key.fingerprintOf({ text + more, "GET", "", "", text }) != key.fingerprintOf({ text, "GET", "", "", more + text }));
        RC_ASSERT(key.fingerprintOf({ text, "GET", "", more + text, "" }) != key.fingerprintOf({ text, "GET", "", more, text }));
    }));
}

BOOST_AUTO_TEST_SUITE_END()

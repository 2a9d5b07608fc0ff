#include <LibBase/Base.h>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace Stagepost;

namespace {

FingerprintInput const input { "club", "POST", "logbook.example", "/digest/x?year=2026", "a prompt" };

}

BOOST_AUTO_TEST_SUITE(FingerprintKeyTests)

BOOST_AUTO_TEST_CASE(SameKeyGivesSameFingerprint)
{
    BOOST_TEST((FingerprintKey("key").fingerprintOf(input) == FingerprintKey("key").fingerprintOf(input)));
    BOOST_TEST((FingerprintKey("key").fingerprintOf(input) != FingerprintKey("another").fingerprintOf(input)));
}

BOOST_AUTO_TEST_CASE(EveryFieldAffectsTheFingerprint)
{
    FingerprintKey const key("key");
    for (auto const member : { &FingerprintInput::organisation, &FingerprintInput::method, &FingerprintInput::host, &FingerprintInput::target, &FingerprintInput::body }) {
        auto other = input;
        other.*member = "other";
        BOOST_TEST((key.fingerprintOf(other) != key.fingerprintOf(input)));
    }
}

BOOST_AUTO_TEST_CASE(PromptPartsDifferByServiceAndId)
{
    FingerprintKey const key("key");
    BOOST_TEST((key.partFingerprintOf("chat", 1) == key.partFingerprintOf("chat", 1)));
    BOOST_TEST((key.partFingerprintOf("chat", 1) != key.partFingerprintOf("chat", 2)));
    BOOST_TEST((key.partFingerprintOf("chat", 1) != key.partFingerprintOf("book", 1)));
}

// Moving characters from the end of one field to the start of another changes the fingerprint.
// Otherwise requests of two organisations could collide.
BOOST_AUTO_TEST_CASE(FieldBoundariesAffectTheFingerprint)
{
    FingerprintKey const key("key");
    BOOST_TEST(rc::check([&](std::string const& text, std::string const& more) {
        RC_PRE(!text.empty() && !more.empty());
        RC_ASSERT(key.fingerprintOf({ text + more, "GET", "", "", text }) != key.fingerprintOf({ text, "GET", "", "", more + text }));
        RC_ASSERT(key.fingerprintOf({ text, "GET", "", more + text, "" }) != key.fingerprintOf({ text, "GET", "", more, text }));
    }));
}

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>
#include <random>
#include <stagepostd/SettingsHistory.h>

using namespace Stagepost;

namespace {

std::string randomText(size_t size, uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::string text;
    while (text.size() < size)
        text += static_cast<char>('!' + random() % 90);
    return text;
}

std::string text(uint64_t version)
{
    return std::string(5000, 'r') + std::to_string(version) + std::string(5000, 's');
}

// Routes as operators write them, with random names.
std::string routes(size_t count)
{
    std::mt19937_64 random(1);
    std::string result;
    for (size_t number = 0; number < count; ++number)
        result += R"({"name":"r-)" + std::to_string(random()).substr(0, 7) + R"(","host":"club.example","pathPrefix":"/)" + std::to_string(random()).substr(0, 7)
            + R"(/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":500,"priority":1,"service":"chat","maxAttempts":2,"public":false,"sticky":true,"resumable":false,"targetGapMs":400},)";
    return result;
}

}

BOOST_AUTO_TEST_SUITE(SettingsHistoryTests)

BOOST_AUTO_TEST_CASE(UpdateContainsOnlyTheChanges)
{
    SettingsHistory sender;
    SettingsHistory receiver;
    BOOST_TEST(sender.updateSince(0).steps.empty());
    sender.add(3, makeSettingsText(text(3)), {});
    auto const whole = sender.updateSince(0);
    BOOST_TEST((whole.version == 3u && whole.base == 0u));
    BOOST_TEST(receiver.applyUpdate(whole).value() == text(3));
    receiver.add(3, makeSettingsText(text(3)), whole);
    sender.add(5, makeSettingsText(text(5)), {});
    auto const change = sender.updateSince(3);
    BOOST_TEST((change.version == 5u && change.base == 3u && change.steps.size() == 1u && change.steps.front().delta.size() < 200u));
    BOOST_TEST(receiver.applyUpdate(change).value() == text(5));
    BOOST_TEST(!SettingsHistory().applyUpdate(change).has_value());
    BOOST_TEST(sender.updateSince(5).steps.empty());
    // Larger than the limit for a link between daemons.
    sender.add(6, makeSettingsText(randomText(200000, 1)), {});
    BOOST_TEST(sender.updateSince(0).steps.empty());
    BOOST_TEST(sender.updateSince(3).steps.empty());
    BOOST_TEST(!receiver.applyUpdate(sender.updateSince(0)).has_value());
}

// Guards against updates that exceed the size limit: a change that added 1,400 routes to 3,050 was
// too large to send, so each of 83 daemons read 1.1 MB from the store
// ("settings-left-to-the-store version=19", 162 lines).
BOOST_AUTO_TEST_CASE(ManyNewRoutesFitIntoAnUpdate)
{
    SettingsHistory sender;
    SettingsHistory receiver;
    sender.add(16, makeSettingsText(routes(3050)), {});
    receiver.add(16, makeSettingsText(routes(3050)), {});
    sender.add(19, makeSettingsText(routes(4450)), {});
    auto const update = sender.updateSince(16);
    BOOST_REQUIRE(!update.steps.empty());
    BOOST_TEST(update.steps.front().delta.size() < 40000u);
    BOOST_TEST((receiver.applyUpdate(update).value() == routes(4450)));
}

// A daemon passes received deltas on unchanged instead of computing them again.
BOOST_AUTO_TEST_CASE(ReceivedDeltasArePassedOn)
{
    SettingsHistory sender;
    SettingsHistory relay;
    sender.add(1, makeSettingsText(text(1)), {});
    relay.add(1, makeSettingsText(text(1)), {});
    for (uint64_t const version : { 2u, 4u, 7u }) {
        sender.add(version, makeSettingsText(text(version)), {});
        auto const update = sender.updateSince(relay.version());
        relay.add(version, makeSettingsText(relay.applyUpdate(update).value()), update);
    }
    BOOST_TEST((relay.updateSince(1).steps == sender.updateSince(1).steps));
    BOOST_TEST(relay.updateSince(2).steps.size() == 2u);
    SettingsHistory last;
    last.add(2, makeSettingsText(text(2)), {});
    BOOST_TEST(last.applyUpdate(relay.updateSince(2)).value() == text(7));
}

BOOST_AUTO_TEST_CASE(OldVersionGetsTheFullText)
{
    SettingsHistory sender;
    for (uint64_t version = 1; version <= 30; ++version)
        sender.add(version, makeSettingsText(text(version)), {});
    BOOST_TEST(sender.updateSince(29).base == 29u);
    auto const all = sender.updateSince(5);
    BOOST_TEST((all.base == 0u && all.version == 30u));
    BOOST_TEST(SettingsHistory().applyUpdate(all).value() == text(30));
}

BOOST_AUTO_TEST_SUITE_END()

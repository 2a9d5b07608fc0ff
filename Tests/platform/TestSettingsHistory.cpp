#include <boost/test/unit_test.hpp>
#include <random>
#include <stagepostd/SettingsHistory.h>

using namespace Stagepost;

namespace {

std::string noise(size_t size, uint64_t seed)
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

// Routes as operators write them, with names that are drawn.
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

BOOST_AUTO_TEST_CASE(SettingsAreToldAsWhatHasChanged)
{
    SettingsHistory teller;
    SettingsHistory listener;
    BOOST_TEST(teller.since(0).steps.empty());
    teller.add(3, makeSettingsText(text(3)), {});
    auto const whole = teller.since(0);
    BOOST_TEST((whole.version == 3u && whole.base == 0u));
    BOOST_TEST(listener.textOf(whole).value() == text(3));
    listener.add(3, makeSettingsText(text(3)), whole);
    teller.add(5, makeSettingsText(text(5)), {});
    auto const change = teller.since(3);
    BOOST_TEST((change.version == 5u && change.base == 3u && change.steps.size() == 1u && change.steps.front().delta.size() < 200u));
    BOOST_TEST(listener.textOf(change).value() == text(5));
    BOOST_TEST(!SettingsHistory().textOf(change).has_value());
    BOOST_TEST(teller.since(5).steps.empty());
    // More than a link between daemons is to carry.
    teller.add(6, makeSettingsText(noise(200000, 1)), {});
    BOOST_TEST(teller.since(0).steps.empty());
    BOOST_TEST(teller.since(3).steps.empty());
    BOOST_TEST(!listener.textOf(teller.since(0)).has_value());
}

// A change of 1,400 routes beside 3,050 was more than daemons told one another, so each
// of 83 read 1.1 MB from the store ("settings-left-to-the-store version=19", 162 lines).
BOOST_AUTO_TEST_CASE(ManyNewRoutesAreTold)
{
    SettingsHistory teller;
    SettingsHistory listener;
    teller.add(16, makeSettingsText(routes(3050)), {});
    listener.add(16, makeSettingsText(routes(3050)), {});
    teller.add(19, makeSettingsText(routes(4450)), {});
    auto const told = teller.since(16);
    BOOST_REQUIRE(!told.steps.empty());
    BOOST_TEST(told.steps.front().delta.size() < 40000u);
    BOOST_TEST((listener.textOf(told).value() == routes(4450)));
}

// Whoever was told passes that on, and need not work out again what has changed.
BOOST_AUTO_TEST_CASE(WhatWasToldIsPassedOn)
{
    SettingsHistory teller;
    SettingsHistory between;
    teller.add(1, makeSettingsText(text(1)), {});
    between.add(1, makeSettingsText(text(1)), {});
    for (uint64_t const version : { 2u, 4u, 7u }) {
        teller.add(version, makeSettingsText(text(version)), {});
        auto const told = teller.since(between.version());
        between.add(version, makeSettingsText(between.textOf(told).value()), told);
    }
    BOOST_TEST((between.since(1).steps == teller.since(1).steps));
    BOOST_TEST(between.since(2).steps.size() == 2u);
    SettingsHistory last;
    last.add(2, makeSettingsText(text(2)), {});
    BOOST_TEST(last.textOf(between.since(2)).value() == text(7));
}

BOOST_AUTO_TEST_CASE(WhoeverIsTooFarBehindIsToldAll)
{
    SettingsHistory teller;
    for (uint64_t version = 1; version <= 30; ++version)
        teller.add(version, makeSettingsText(text(version)), {});
    BOOST_TEST(teller.since(29).base == 29u);
    auto const all = teller.since(5);
    BOOST_TEST((all.base == 0u && all.version == 30u));
    BOOST_TEST(SettingsHistory().textOf(all).value() == text(30));
}

BOOST_AUTO_TEST_SUITE_END()

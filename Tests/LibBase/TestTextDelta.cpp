#include <LibBase/TextDelta.h>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace Stagepost;

namespace {

std::string routes(size_t count)
{
    std::string text = "{\"version\":1,\"routes\":[";
    for (size_t number = 0; number < count; ++number)
        text += "{\"name\":\"r-" + std::to_string(number * 7919) + "\",\"host\":\"h" + std::to_string(number) + ".example\",\"service\":\"chat\"},";
    return text + "{}]}";
}

}

BOOST_AUTO_TEST_SUITE(TextDeltaTests)

BOOST_AUTO_TEST_CASE(RoundTripsArbitraryTexts)
{
    BOOST_TEST(rc::check("texts composed of the same few parts", [](std::vector<uint8_t> const& first, std::vector<uint8_t> const& second, std::string const& between) {
        auto const compose = [&](std::vector<uint8_t> const& parts) {
            std::string text;
            for (auto const part : parts)
                text += std::string(part % 40, static_cast<char>('a' + part % 5)) + between;
            return text;
        };
        auto const from = compose(first);
        auto const to = compose(second);
        auto const applied = applyDelta(from, makeDelta(from, to));
        RC_ASSERT(applied.has_value());
        RC_ASSERT(*applied == to);
    }));
}

BOOST_AUTO_TEST_CASE(SmallChangeGivesSmallDelta)
{
    auto const before = routes(1500);
    auto after = before;
    after.replace(after.find("1,"), 1, "2");
    after.insert(after.find("{\"name\":\"r-791900"), "{\"name\":\"new\",\"host\":\"new.example\",\"service\":\"code\"},");
    after.erase(after.find("{\"name\":\"r-1583800\""), 60);
    auto const delta = makeDelta(before, after);
    BOOST_TEST(before.size() > 80000u);
    BOOST_TEST(delta.size() < 600u);
    BOOST_TEST(applyDelta(before, delta).value() == after);
}

BOOST_AUTO_TEST_CASE(RejectsDamagedDeltasAndOtherBaseTexts)
{
    auto const before = routes(50);
    auto const delta = makeDelta(before, routes(51));
    BOOST_TEST(!applyDelta(routes(49), delta).has_value());
    BOOST_TEST(!applyDelta({}, delta).has_value());
    for (size_t length = 0; length < delta.size(); ++length)
        BOOST_TEST(!applyDelta(before, std::string_view(delta).substr(0, length)).has_value());
    BOOST_TEST(rc::check("arbitrary bytes", [&](std::string const& bytes) {
        RC_ASSERT(!applyDelta(before, bytes).has_value());
    }));
}

BOOST_AUTO_TEST_SUITE_END()

#include <boost/test/unit_test.hpp>
#include <random>
#include <stagepostd/SettingsFreshness.h>

using namespace Stagepost;

namespace {

Instant at(double seconds)
{
    return Instant(Microseconds(static_cast<int64_t>(seconds * 1e6)));
}

SettingsFreshness makeFreshness()
{
    return SettingsFreshness({ Milliseconds(500), Milliseconds(1600) });
}

SettingsFreshness::Read readWith(uint64_t position, double time)
{
    return { true, false, position, at(time) };
}

SettingsFreshness::Read readWithout(uint64_t position, double time)
{
    return { false, false, position, at(time) };
}

}

BOOST_AUTO_TEST_SUITE(SettingsFreshnessTests)

BOOST_AUTO_TEST_CASE(ProofWaitsUntilItsConfigurationIsInForce)
{
    auto freshness = makeFreshness();
    BOOST_TEST(!freshness.storeRead(readWith(5, 10)));
    // Nothing is newer than the configuration that is being parsed.
    BOOST_TEST(!freshness.storeRead(readWithout(7, 11)));
    BOOST_TEST(!freshness.age().isKnown());
    BOOST_TEST(freshness.putInForce(3, 5));
    BOOST_TEST((freshness.age().confirmedAt() == at(11)));
    BOOST_TEST(freshness.position() == 7u);
}

BOOST_AUTO_TEST_CASE(RejectedConfigurationIsNeverConfirmed)
{
    auto freshness = makeFreshness();
    (void)freshness.storeRead(readWith(5, 10));
    (void)freshness.putInForce(3, 5);
    // The configuration of this read cannot be parsed.
    BOOST_TEST(!freshness.storeRead(readWith(6, 11)));
    BOOST_TEST(!freshness.storeRead(readWithout(8, 12)));
    BOOST_TEST((freshness.age().confirmedAt() == at(10)));
    BOOST_TEST(freshness.position() == 5u);
    // A daemon of another version can parse it, and has sent it.
    BOOST_TEST(freshness.putInForce(4, 8));
    BOOST_TEST((freshness.age().confirmedAt() == at(12)));
}

// A configuration that waits to be parsed is replaced by one from another daemon.
BOOST_AUTO_TEST_CASE(ReplacedConfigurationIsConfirmedByOneThatCoversIt)
{
    auto freshness = makeFreshness();
    (void)freshness.storeRead(readWith(9, 10));
    BOOST_TEST(!freshness.putInForce(4, 6));
    BOOST_TEST(!freshness.age().isKnown());
    BOOST_TEST(freshness.putInForce(5, 9));
    BOOST_TEST((freshness.age().confirmedAt() == at(10)));
}

// The opposite failure: proofs that never count since the next configuration is always there already.
BOOST_AUTO_TEST_CASE(EachConfigurationIsProvenWhileOthersFollow)
{
    auto freshness = makeFreshness();
    for (uint64_t number = 1; number < 50; ++number) {
        (void)freshness.storeRead(readWith(10 * number, static_cast<double>(number)));
        // The one before has been parsed meanwhile.
        if (number > 1)
            BOOST_TEST(freshness.putInForce(number - 1, 10 * (number - 1)));
    }
    BOOST_TEST((freshness.age().confirmedAt() == at(48)));
}

BOOST_AUTO_TEST_CASE(ListOfAShorterTopicEndsPositions)
{
    auto freshness = makeFreshness();
    (void)freshness.storeRead(readWith(50, 10));
    (void)freshness.putInForce(3, 50);
    BOOST_TEST(freshness.storeRead({ false, true, 20, at(11) }));
    BOOST_TEST(freshness.position() == 20u);
    BOOST_TEST((freshness.age().confirmedAt() == at(11)));
}

BOOST_AUTO_TEST_CASE(StoreIsAheadUntilALaterProof)
{
    auto freshness = makeFreshness();
    (void)freshness.putInForce(3, 5);
    freshness.storeIsAhead(at(10));
    BOOST_TEST(!freshness.isOverdue(at(10.4), false, false));
    BOOST_TEST(freshness.isOverdue(at(10.6), false, false));
    // Sent before the store was seen to be ahead.
    freshness.confirm(at(9.9));
    BOOST_TEST(freshness.isOverdue(at(10.6), false, false));
    freshness.confirm(at(10.1));
    BOOST_TEST(!freshness.isOverdue(at(10.6), false, false));
}

// A read of a log of configurations, parsed late, rejected, replaced and told by others at random.
BOOST_AUTO_TEST_CASE(NoProofIsFalseForRandomOrders)
{
    for (uint64_t seed = 0; seed < 2000; ++seed) {
        std::mt19937_64 random(seed);
        auto freshness = makeFreshness();
        // Each record is a version, or 0 for another kind of record. Versions rise.
        std::vector<uint64_t> log;
        std::vector<size_t> endAt;
        size_t readUntil = 0;
        uint64_t inForce = 0;
        std::vector<std::pair<uint64_t, uint64_t>> pending;
        auto const newest = [&](size_t end) {
            uint64_t version = 0;
            for (size_t offset = 0; offset < end; ++offset)
                version = std::max(version, log[offset]);
            return version;
        };
        for (size_t step = 1; step < 60; ++step) {
            for (auto appended = random() % 3; appended > 0; --appended)
                log.push_back(random() % 2 ? log.size() + 1 : 0);
            endAt.push_back(log.size());
            auto const action = random() % 4;
            if (action == 0) {
                bool const isNew = newest(log.size()) > newest(readUntil);
                readUntil = log.size();
                (void)freshness.storeRead({ isNew, false, readUntil, at(static_cast<double>(step)) });
                if (isNew)
                    pending.emplace_back(newest(readUntil), readUntil);
            } else if (action == 1 && !pending.empty()) {
                // Any of those that wait may be applied; the others were rejected or replaced.
                auto const applied = pending[random() % pending.size()];
                pending.clear();
                inForce = std::max(inForce, applied.first);
                (void)freshness.putInForce(inForce, applied.second);
            } else if (action == 2 && !log.empty()) {
                auto const told = random() % (log.size() + 1);
                if (newest(told) >= inForce) {
                    inForce = newest(told);
                    (void)freshness.putInForce(inForce, told);
                }
            }
            if (auto const provenAt = freshness.age().confirmedAt()) {
                auto const provenStep = static_cast<size_t>(provenAt->time_since_epoch().count() / 1000000);
                BOOST_TEST(inForce >= newest(endAt[provenStep - 1]), "seed " << seed << ", step " << step);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

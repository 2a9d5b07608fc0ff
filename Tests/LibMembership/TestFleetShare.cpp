#include <LibMembership/FleetShare.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <random>
#include <rapidcheck.h>

using namespace Stagepost;

namespace {

constexpr Seconds window { 10 };
constexpr FleetShare::Bounds bounds { window, Seconds(5) };
constexpr Seconds settlingTime { 15 };
constexpr Milliseconds step { 250 };

Instant at(double seconds)
{
    return Instant(Microseconds(static_cast<int64_t>(seconds * 1e6)));
}

// Daemons that come, stop, are killed, suspended and cut off at random, and that use all they may.
class SpendingFleet {
public:
    explicit SpendingFleet(uint64_t seed)
        : m_random(seed)
    {
    }

    // What the fleet has used in the last window and, at most, in any.
    double usedLast { 0 };
    double mostUsed { 0 };

    void run(Seconds duration, bool isCalm)
    {
        for (auto const end = m_now + duration; m_now < end; m_now += step) {
            if (!isCalm && chance(8))
                change();
            for (auto& daemon : m_daemons)
                tick(daemon);
            usedLast = 0;
            for (auto const& [when, part] : m_used)
                usedLast += m_now - when < window ? part : 0;
            mostUsed = std::max(mostUsed, usedLast);
        }
    }

    void add(uint64_t name)
    {
        m_daemons.push_back({ VMId(name), std::make_unique<FleetShare>(bounds) });
        m_listed.insert(VMId(name));
    }

private:
    struct Daemon {
        VMId id;
        std::unique_ptr<FleetShare> share;
        bool isCutOff { false };
        bool isSuspended { false };
        bool isStopping { false };
        Instant endsAt {};
        std::deque<std::pair<Instant, double>> used {};
    };

    bool chance(unsigned in) { return m_random() % in == 0; }

    void change()
    {
        if (chance(6)) {
            for (auto count = m_random() % 8; count; --count)
                add(++m_lastName);
            return;
        }
        if (m_daemons.empty())
            return;
        auto const name = m_daemons[m_random() % m_daemons.size()].id;
        auto const found = std::find_if(m_daemons.begin(), m_daemons.end(), [&](auto const& daemon) { return daemon.id == name && !daemon.isStopping; });
        if (found == m_daemons.end())
            return add(name.value());
        switch (m_random() % 6) {
        case 0:
            // Killed, and started again while the store still lists it.
            *found = Daemon { found->id, std::make_unique<FleetShare>(bounds) };
            break;
        case 1:
            // Stopped; its requests go on for a while, also beside its successor.
            found->share->leave();
            m_listed.erase(found->id);
            found->isStopping = true;
            found->endsAt = m_now + Seconds(m_random() % 8);
            break;
        case 2:
            // The record of a daemon that still runs is dropped.
            m_listed.erase(found->id);
            break;
        case 3:
            found->isSuspended = !found->isSuspended;
            break;
        case 4:
            for (auto& daemon : m_daemons)
                daemon.isCutOff = chance(2);
            break;
        default:
            found->isCutOff = !found->isCutOff;
        }
    }

    void tick(Daemon& daemon)
    {
        if (daemon.isSuspended || (daemon.isStopping && m_now > daemon.endsAt))
            return;
        if (!daemon.isCutOff && chance(3))
            learn(daemon);
        while (!daemon.used.empty() && m_now - daemon.used.front().first >= window)
            daemon.used.pop_front();
        double recent = 0;
        for (auto const& [when, part] : daemon.used)
            recent += part;
        if (auto const left = daemon.share->usable(m_now) - recent; left > 0) {
            auto const part = chance(2) ? left : left / 2;
            daemon.used.emplace_back(m_now, part);
            m_used.emplace_back(m_now, part);
        }
    }

    // A daemon that misses from the list writes its record again.
    void learn(Daemon& daemon)
    {
        std::vector<VMId> others(m_listed.begin(), m_listed.end());
        std::erase(others, daemon.id);
        daemon.share->setOthers(others, m_now);
        daemon.share->confirm(m_now, m_listed.contains(daemon.id), m_now);
        if (!daemon.isStopping)
            m_listed.insert(daemon.id);
    }

    std::mt19937_64 m_random;
    Instant m_now { Seconds(1000) };
    uint64_t m_lastName { 0 };
    std::set<VMId> m_listed;
    std::deque<Daemon> m_daemons;
    std::vector<std::pair<Instant, double>> m_used;
};

FleetShare settledShare()
{
    FleetShare share(bounds);
    share.setOthers({ VMId(2), VMId(3), VMId(4) }, at(100));
    for (double time = 100; time <= 115; time += 1)
        share.confirm(at(time), true, at(time));
    return share;
}

}

BOOST_AUTO_TEST_SUITE(FleetShareTests)

BOOST_AUTO_TEST_CASE(TheFleetUsesNoMoreThanTheWhole)
{
    BOOST_TEST(rc::check("in any window", [](uint64_t seed) {
        SpendingFleet fleet(seed);
        fleet.run(Seconds(120), false);
        RC_ASSERT(fleet.mostUsed <= 1 + 1e-9);
    }));
}

BOOST_AUTO_TEST_CASE(ACalmFleetUsesTheWhole)
{
    SpendingFleet fleet(1);
    for (uint64_t name = 1; name <= 9; ++name)
        fleet.add(name);
    fleet.run(2 * settlingTime, true);
    BOOST_TEST(fleet.usedLast == 1, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(AProcessThatStartsUsesNothingForAWindow)
{
    FleetShare share(bounds);
    share.setOthers({ VMId(2) }, at(100));
    share.confirm(at(100), true, at(100));
    share.confirm(at(114), true, at(114));
    BOOST_TEST(share.usable(at(114.9)) == 0);
    BOOST_TEST(share.usable(at(115)) == 0.5);
}

// Guards against a fleet that makes no retries in its first seconds.
BOOST_AUTO_TEST_CASE(AFirstFleetNeedNotWaitForAWindow)
{
    FleetShare share(bounds, at(100));
    share.setOthers({ VMId(2) }, at(100));
    share.registered(at(102));
    share.confirm(at(102.9), true, at(102.9));
    BOOST_TEST(share.usable(at(103)) == 0);
    share.confirm(at(103), true, at(103));
    BOOST_TEST(share.usable(at(103)) == 0.5);
    share.confirm(at(104), false, at(104));
    share.confirm(at(105), true, at(105));
    BOOST_TEST(share.usable(at(105)) == 0);
    FleetShare late(bounds, at(100));
    late.registered(at(103));
    late.confirm(at(104), true, at(104));
    BOOST_TEST(late.usable(at(104)) == 0);
}

BOOST_AUTO_TEST_CASE(APartGrowsLateAfterADaemonHasLeft)
{
    auto share = settledShare();
    share.setOthers({ VMId(2), VMId(3) }, at(116));
    BOOST_TEST(share.counted(at(130)).size() == 3u);
    BOOST_TEST(share.counted(at(132)).size() == 2u);
    share.confirm(at(129), true, at(129));
    BOOST_TEST(share.usable(at(130)) == 0.25);
    share.confirm(at(132), true, at(132));
    BOOST_TEST(share.usable(at(132)) == 1.0 / 3);
    share.setOthers({ VMId(2), VMId(3), VMId(4), VMId(5) }, at(133));
    BOOST_TEST(share.usable(at(133)) == 0.2);
}

BOOST_AUTO_TEST_CASE(ADaemonThatIsCutOffUsesNothing)
{
    auto share = settledShare();
    BOOST_TEST(share.usable(at(120)) == 0.25);
    BOOST_TEST(share.usable(at(120.1)) == 0);
    // Nobody can have come, used its part and gone meanwhile.
    share.confirm(at(130), true, at(130));
    BOOST_TEST(share.usable(at(130)) == 0.25);
    share.confirm(at(146), true, at(146));
    BOOST_TEST(share.usable(at(146)) == 0);
    share.confirm(at(160), true, at(160));
    BOOST_TEST(share.usable(at(161)) == 0.25);
}

BOOST_AUTO_TEST_CASE(ADaemonThatIsNotListedOrStopsUsesNothing)
{
    auto share = settledShare();
    share.confirm(at(116), false, at(116));
    BOOST_TEST(share.usable(at(116)) == 0);
    auto stopping = settledShare();
    stopping.leave();
    BOOST_TEST(stopping.usable(at(116)) == 0);
    BOOST_TEST(stopping.equal(at(116)) == 0.25);
}

BOOST_AUTO_TEST_SUITE_END()

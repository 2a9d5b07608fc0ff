#include <LibRouting/Routing.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>

using namespace Stagepost;

namespace {

Instant const start { Seconds(1000) };
constexpr Milliseconds step { 10 };
constexpr Microseconds tickInterval { 50000 };
constexpr size_t hallCount = 6;
constexpr size_t groupSize = 8;

// A simulated fleet whose messages take one step and are lost with the given probability.
class Fleet {
public:
    Fleet(size_t size, double loss, unsigned seed)
        : m_loss(loss)
        , m_random(seed)
    {
        for (size_t number = 0; number < size; ++number)
            add(number);
        updatePeers();
    }

    void add(size_t number)
    {
        auto daemon = std::make_unique<Daemon>(VMId(hashOf("daemon-" + std::to_string(number))), HallId(1 + number % hallCount));
        auto* const added = daemon.get();
        daemon->exchange = std::make_unique<CrashExchange>(FleetPeer { added->id, added->hall }, added->suspects, CrashExchange::Bounds {},
            CrashExchange::Hooks { [this, added](VMId to, std::string const& bytes) { send(*added, to, bytes); }, [this] { return m_relays; }, [this, added] { return subscribersOf(*added); } });
        m_daemons.push_back(std::move(daemon));
    }

    void restart(size_t number)
    {
        auto const id = m_daemons[number]->id;
        add(number);
        std::swap(m_daemons[number], m_daemons.back());
        m_daemons.pop_back();
        BOOST_REQUIRE((m_daemons[number]->id == id));
        m_daemons[number]->exchange->setPeers(m_peers, m_now);
    }

    // Every eighth daemon of each hall is a relay, and the next seven are its subscribers.
    void updatePeers()
    {
        m_peers.clear();
        m_relays.clear();
        for (size_t index = 0; index < m_daemons.size(); ++index) {
            m_peers.push_back({ m_daemons[index]->id, m_daemons[index]->hall });
            if (isRelay(index))
                m_relays.push_back(m_daemons[index]->id);
        }
        for (auto const& daemon : m_daemons)
            daemon->exchange->setPeers(m_peers, m_now);
    }

    void recordCrash(size_t daemon, Fingerprint request, UpstreamId upstream)
    {
        if (m_daemons[daemon]->suspects.recordCrash(request, upstream, m_now))
            m_daemons[daemon]->exchange->announce(request, m_now);
    }

    void recordSuccess(size_t daemon, Fingerprint request)
    {
        if (m_daemons[daemon]->suspects.recordSuccess(request, m_now))
            m_daemons[daemon]->exchange->announce(request, m_now);
    }

    void run(Milliseconds duration)
    {
        for (auto const until = m_now + duration; m_now < until;) {
            m_now += step;
            deliver();
            if (m_now.time_since_epoch() % tickInterval == Microseconds(0)) {
                for (auto const& daemon : m_daemons)
                    daemon->exchange->tick(m_now);
            }
        }
    }

    size_t countDaemonsDetecting(Fingerprint request) const
    {
        return static_cast<size_t>(std::count_if(m_daemons.begin(), m_daemons.end(), [&](auto const& daemon) { return daemon->suspects.isPoison(request); }));
    }

    size_t size() const { return m_daemons.size(); }
    double maxBytesPerSecond() const
    {
        size_t maximum = 0;
        for (auto const& daemon : m_daemons)
            maximum = std::max(maximum, daemon->bytes);
        return static_cast<double>(maximum) / asSeconds(m_now - start);
    }
    void setPartitioned(bool isPartitioned) { m_isPartitioned = isPartitioned; }

private:
    struct Daemon {
        Daemon(VMId vm, HallId ownHall)
            : id(vm)
            , hall(ownHall)
            , suspects(vm)
        {
        }
        VMId id;
        HallId hall;
        CrashSuspects suspects;
        std::unique_ptr<CrashExchange> exchange;
        size_t bytes { 0 };
    };

    struct Message {
        VMId from;
        VMId to;
        std::string bytes;
    };

    static bool isRelay(size_t index) { return (index / hallCount) % groupSize == 0; }

    std::vector<VMId> subscribersOf(Daemon const& daemon) const
    {
        std::vector<VMId> subscribers;
        auto const position = std::find_if(m_daemons.begin(), m_daemons.end(), [&](auto const& candidate) { return candidate.get() == &daemon; });
        auto const index = static_cast<size_t>(position - m_daemons.begin());
        if (!isRelay(index))
            return subscribers;
        for (size_t next = index + hallCount; next < m_daemons.size() && !isRelay(next); next += hallCount)
            subscribers.push_back(m_daemons[next]->id);
        return subscribers;
    }

    void send(Daemon& from, VMId to, std::string const& bytes)
    {
        constexpr size_t headerBytes = 53;
        from.bytes += headerBytes + bytes.size();
        if (!m_isPartitioned && std::uniform_real_distribution<>(0, 1)(m_random) >= m_loss)
            m_messages.push_back({ from.id, to, bytes });
    }

    void deliver()
    {
        auto const messages = std::exchange(m_messages, {});
        for (auto const& message : messages) {
            auto const to = std::find_if(m_daemons.begin(), m_daemons.end(), [&](auto const& daemon) { return daemon->id == message.to; });
            if (to != m_daemons.end())
                BOOST_REQUIRE((*to)->exchange->receive(message.from, message.bytes, m_now));
        }
    }

    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<FleetPeer> m_peers;
    std::vector<VMId> m_relays;
    std::vector<Message> m_messages;
    double m_loss;
    std::mt19937 m_random;
    Instant m_now { start };
    bool m_isPartitioned { false };
};

Fingerprint const request { 77 };

}

BOOST_AUTO_TEST_SUITE(CrashExchangeTests)

// Each crash is observed by another daemon, with 63 unrelated requests in flight at the upstream.
BOOST_AUTO_TEST_CASE(AThirdCrashReachesAllDaemonsWithinASecondAtAnySize)
{
    for (size_t const size : { 7, 87, 330 }) {
        for (unsigned seed = 1; seed <= 5; ++seed) {
            Fleet fleet(size, 0.05, seed);
            for (uint64_t crash = 0; crash < 3; ++crash) {
                fleet.recordCrash((crash * 31 + seed) % size, request, UpstreamId(10 + crash));
                for (uint64_t coincidence = 0; coincidence < 63; ++coincidence)
                    fleet.recordCrash(coincidence % size, Fingerprint(1000 + 100 * crash + coincidence), UpstreamId(10 + crash));
                if (crash < 2)
                    fleet.run(Milliseconds(300));
            }
            fleet.run(Milliseconds(1000));
            BOOST_TEST_CONTEXT("daemons " << size << " seed " << seed)
            {
                BOOST_TEST(fleet.countDaemonsDetecting(request) == size);
                BOOST_TEST(fleet.countDaemonsDetecting(Fingerprint(1001)) == 0u);
            }
        }
    }
}

// A daemon may send 9 KB/s of control messages in total.
BOOST_AUTO_TEST_CASE(AnnouncementsStayWithinTheSendBudget)
{
    Fleet fleet(330, 0, 1);
    for (uint64_t crash = 0; crash < 30; ++crash) {
        for (uint64_t coincidence = 0; coincidence < 64; ++coincidence)
            fleet.recordCrash((crash * 64 + coincidence * 5) % 330, Fingerprint(1000 + (coincidence < 3 ? coincidence : 100 * crash + coincidence)), UpstreamId(10 + crash));
        fleet.run(Milliseconds(1000));
    }
    BOOST_TEST(fleet.countDaemonsDetecting(Fingerprint(1000)) == 330u);
    BOOST_TEST_MESSAGE("maximum bytes per second of a daemon: " << fleet.maxBytesPerSecond());
    BOOST_TEST(fleet.maxBytesPerSecond() < 2000);
}

BOOST_AUTO_TEST_CASE(ANewDaemonReceivesPoisonRequests)
{
    Fleet fleet(86, 0.05, 1);
    for (uint64_t crash = 0; crash < 3; ++crash)
        fleet.recordCrash(crash, request, UpstreamId(10 + crash));
    fleet.run(Milliseconds(5000));
    fleet.add(86);
    fleet.updatePeers();
    fleet.run(Milliseconds(1000));
    BOOST_TEST(fleet.countDaemonsDetecting(request) == 87u);
}

// A restart under the same name changes no peer list, so no other daemon notices it.
BOOST_AUTO_TEST_CASE(RestartedDaemonsReceivePoisonRequests)
{
    for (size_t const size : { 7, 87, 330 }) {
        Fleet fleet(size, 0.05, 1);
        for (uint64_t crash = 0; crash < 3; ++crash)
            fleet.recordCrash(crash, request, UpstreamId(10 + crash));
        fleet.run(Milliseconds(20000));
        for (size_t daemon = 0; daemon < size; daemon += 2)
            fleet.restart(daemon);
        fleet.run(Milliseconds(1000));
        BOOST_TEST(fleet.countDaemonsDetecting(request) == size);
    }
}

BOOST_AUTO_TEST_CASE(DaemonsReceivePoisonRequestsAfterAPartition)
{
    Fleet fleet(87, 0, 1);
    fleet.setPartitioned(true);
    for (uint64_t crash = 0; crash < 3; ++crash)
        fleet.recordCrash(crash, request, UpstreamId(10 + crash));
    fleet.run(Milliseconds(5000));
    BOOST_TEST(fleet.countDaemonsDetecting(request) == 0u);
    fleet.setPartitioned(false);
    fleet.run(Milliseconds(17000));
    BOOST_TEST(fleet.countDaemonsDetecting(request) == 87u);
}

BOOST_AUTO_TEST_CASE(AnAnswerClearsARequestOnAllDaemons)
{
    Fleet fleet(87, 0, 1);
    for (uint64_t crash = 0; crash < 3; ++crash)
        fleet.recordCrash(crash, request, UpstreamId(10 + crash));
    fleet.run(Milliseconds(1000));
    BOOST_TEST(fleet.countDaemonsDetecting(request) == 87u);
    fleet.recordSuccess(50, request);
    fleet.run(Milliseconds(1000));
    BOOST_TEST(fleet.countDaemonsDetecting(request) == 0u);
}

// Guards against a suspect that is still refused long after its answer, since another one uses up the send budget.
BOOST_AUTO_TEST_CASE(ASuspectThatChangesAllTheTimeDoesNotHoldUpOthers)
{
    Fingerprint const changing { 7 };
    for (unsigned seed = 1; seed <= 5; ++seed) {
        Fleet fleet(87, 0, seed);
        uint64_t upstream = 10;
        auto const change = [&](size_t count) {
            for (size_t number = 0; number < count; ++number) {
                ++upstream;
                fleet.recordCrash(upstream % fleet.size(), changing, UpstreamId(upstream));
                if (upstream % 5 == 0)
                    fleet.recordSuccess(upstream % fleet.size(), changing);
                fleet.run(Milliseconds(20));
            }
        };
        for (uint64_t crash = 0; crash < 3; ++crash)
            fleet.recordCrash(crash, request, UpstreamId(1 + crash));
        change(150);
        BOOST_TEST(fleet.countDaemonsDetecting(request) == 87u);
        fleet.recordSuccess(50, request);
        change(150);
        BOOST_TEST(fleet.countDaemonsDetecting(request) == 0u);
    }
}

BOOST_AUTO_TEST_CASE(MalformedMessagesAreIgnored)
{
    CrashSuspects suspects { VMId(1) };
    CrashExchange exchange({ VMId(1), HallId(1) }, suspects, {}, { [](VMId, std::string const&) {}, [] { return std::vector<VMId>(); }, [] { return std::vector<VMId>(); } });
    for (std::string const bytes : { "", "\x93\x01\x02\x03", "nonsense", "\x91\xce\xff\xff\xff\xff" })
        BOOST_TEST(!exchange.receive(VMId(2), bytes, start).has_value());
    BOOST_TEST(suspects.isEmpty());
}

BOOST_AUTO_TEST_SUITE_END()

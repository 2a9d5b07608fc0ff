#include <LibRouting/Routing.h>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <random>

using namespace Stagepost;

namespace {

Instant const start { Seconds(1000) };
constexpr Milliseconds step { 5 };
constexpr Milliseconds tickInterval { 50 };
constexpr Milliseconds latency { 10 };
Fingerprint const subject { 77 };

// A fleet whose daemons may be gone, paused or cut off from the others.
class Fleet {
public:
    enum class State {
        Up,
        // Neither receives messages nor acts.
        Stopped,
        // Messages from and to it are lost.
        CutOff,
    };

    explicit Fleet(size_t size)
        : m_daemons(size)
    {
        std::vector<FleetPeer> peers;
        for (size_t index = 0; index < size; ++index)
            peers.push_back({ idOf(index), HallId(1 + index % 3) });
        for (size_t index = 0; index < size; ++index) {
            TrialExchange::Hooks hooks { [this, index](VMId to, std::string const& bytes) { send(index, to, bytes); }, [this] { return m_random(); } };
            m_daemons[index].exchange = std::make_unique<TrialExchange>(peers[index], TrialExchange::Bounds {}, std::move(hooks));
            m_daemons[index].exchange->setPeers(peers);
        }
    }

    static VMId idOf(size_t index) { return VMId(hashOf("daemon-" + std::to_string(index))); }
    size_t size() const { return m_daemons.size(); }
    Instant now() const { return m_now; }
    void setState(size_t index, State state) { m_daemons[index].state = state; }

    // A caller of this daemon asks for a request that is due for a trial.
    void ask(size_t index)
    {
        auto const asked = m_now;
        m_daemons[index].exchange->request(
            subject, [this, index, asked](std::optional<uint64_t> trial) {
                m_longestWait = std::max(m_longestWait, std::chrono::duration_cast<Milliseconds>(m_now - asked));
                if (trial)
                    m_begun.push_back({ index, *trial, m_now });
            },
            m_now);
    }

    void askEverywhere()
    {
        for (size_t index = 0; index < size(); ++index) {
            if (m_daemons[index].state != State::Stopped)
                ask(index);
        }
    }

    void run(Milliseconds duration)
    {
        for (auto const until = m_now + duration; m_now < until;) {
            m_now += step;
            while (!m_messages.empty() && m_messages.front().at <= m_now) {
                auto const message = m_messages.front();
                m_messages.pop_front();
                if (m_daemons[message.to].state == State::Up && m_daemons[message.from].state != State::CutOff)
                    BOOST_REQUIRE(m_daemons[message.to].exchange->receive(idOf(message.from), message.bytes, m_now));
            }
            if (m_now.time_since_epoch() % tickInterval != Microseconds(0))
                continue;
            for (auto& daemon : m_daemons) {
                if (daemon.state != State::Stopped)
                    daemon.exchange->tick(m_now);
            }
        }
    }

    struct Begun {
        size_t daemon;
        uint64_t trial;
        Instant at;
    };

    std::vector<Begun> const& begun() const { return m_begun; }
    void end(Begun const& trial, TrialOutcome outcome) { m_daemons[trial.daemon].exchange->end(trial.trial, outcome, m_now); }
    Milliseconds longestWait() const { return m_longestWait; }
    size_t mostBytes() const
    {
        return std::max_element(m_daemons.begin(), m_daemons.end(), [](auto const& one, auto const& other) { return one.bytes < other.bytes; })->bytes;
    }

    // The daemons in the order in which their word counts.
    std::vector<size_t> arbiters() const
    {
        std::vector<size_t> order(size());
        for (size_t index = 0; index < size(); ++index)
            order[index] = index;
        std::sort(order.begin(), order.end(), [](size_t one, size_t other) { return mixHashes(subject.value(), idOf(one).value()) > mixHashes(subject.value(), idOf(other).value()); });
        return order;
    }

private:
    struct Daemon {
        std::unique_ptr<TrialExchange> exchange;
        State state { State::Up };
        size_t bytes { 0 };
    };

    struct Message {
        Instant at;
        size_t from;
        size_t to;
        std::string bytes;
    };

    void send(size_t from, VMId to, std::string const& bytes)
    {
        constexpr size_t headerBytes = 53;
        m_daemons[from].bytes += headerBytes + bytes.size();
        if (m_daemons[from].state != State::Up)
            return;
        for (size_t index = 0; index < size(); ++index) {
            if (idOf(index) == to)
                m_messages.push_back({ m_now + latency, from, index, bytes });
        }
    }

    std::vector<Daemon> m_daemons;
    std::deque<Message> m_messages;
    std::vector<Begun> m_begun;
    Milliseconds m_longestWait { 0 };
    Instant m_now { start };
    std::mt19937_64 m_random { 102 };
};

}

BOOST_AUTO_TEST_SUITE(TrialExchangeTests)

BOOST_AUTO_TEST_CASE(OneDaemonOfTheFleetHasTheTrialAtAnySize)
{
    for (size_t const size : { 1, 2, 7, 30, 330 }) {
        Fleet fleet(size);
        fleet.askEverywhere();
        fleet.run(Milliseconds(300));
        BOOST_TEST(fleet.begun().size() == 1u, size << " daemons: " << fleet.begun().size() << " trials");
        // It lasts as long as its holder renews it.
        for (unsigned tenth = 0; tenth < 200; ++tenth) {
            fleet.run(Milliseconds(100));
            fleet.askEverywhere();
        }
        fleet.run(Milliseconds(300));
        BOOST_TEST(fleet.begun().size() == 1u, size << " daemons: " << fleet.begun().size() << " trials");
        BOOST_TEST(fleet.longestWait().count() <= 150);
        // The users' requirement for all control messages of a daemon is 9 KB/s.
        BOOST_TEST(static_cast<double>(fleet.mostBytes()) / asSeconds(fleet.now() - start) < 9000);
        BOOST_TEST_MESSAGE(size << " daemons: at most " << fleet.mostBytes() << " bytes sent by one of them in " << fleet.now() - start);
    }
}

// Guards against a trial for each request of each caller while no upstream is up: some 50 a second in test_common_crashes.
BOOST_AUTO_TEST_CASE(TrialsThatAreNotSentTakeFewMessages)
{
    for (size_t const size : { 7, 330 }) {
        Fleet fleet(size);
        size_t known = 0;
        for (; fleet.now() < start + Seconds(20); fleet.run(Milliseconds(20))) {
            fleet.askEverywhere();
            for (; known < fleet.begun().size(); ++known)
                fleet.end(fleet.begun()[known], TrialOutcome::NotSent);
        }
        BOOST_TEST(known > 20u);
        // The users' requirement for all control messages of a daemon is 9 KB/s.
        BOOST_TEST(static_cast<double>(fleet.mostBytes()) / asSeconds(fleet.now() - start) < 9000);
        BOOST_TEST(known <= 220u);
        BOOST_TEST_MESSAGE(size << " daemons: " << known << " trials that were not sent, at most " << fleet.mostBytes() << " bytes sent by one daemon");
    }
}

BOOST_AUTO_TEST_CASE(ATrialThatWasNotSentLeavesItToOthersSoon)
{
    Fleet fleet(7);
    fleet.ask(3);
    fleet.run(Milliseconds(100));
    BOOST_REQUIRE(fleet.begun().size() == 1u);
    fleet.end(fleet.begun().front(), TrialOutcome::NotSent);
    fleet.run(Milliseconds(150));
    fleet.ask(4);
    fleet.run(Milliseconds(100));
    BOOST_TEST(fleet.begun().size() == 2u);
}

// Trials that bring no answer, nor a crash that is known of, must not follow each other at once.
BOOST_AUTO_TEST_CASE(PausesGrowAfterTrialsThatWereSent)
{
    Fleet fleet(7);
    std::vector<Instant> times;
    size_t known = 0;
    for (; fleet.now() < start + Seconds(200); fleet.run(Milliseconds(50))) {
        fleet.askEverywhere();
        for (; known < fleet.begun().size(); ++known) {
            times.push_back(fleet.begun()[known].at);
            fleet.end(fleet.begun()[known], TrialOutcome::Sent);
        }
    }
    BOOST_REQUIRE(times.size() > 5);
    BOOST_TEST((times[1] - times[0] < Milliseconds(500)));
    BOOST_TEST((times[5] - times[4] >= Seconds(4)));
    BOOST_TEST(times.size() < 14u);
}

// An upstream that restarts at once is known to have crashed seconds later. Until then nobody knows that the trial has failed.
BOOST_AUTO_TEST_CASE(ATrialThatBrokeOffIsNotFollowedByAnotherOneAtOnce)
{
    Fleet fleet(7);
    fleet.ask(3);
    fleet.run(Milliseconds(100));
    BOOST_REQUIRE(fleet.begun().size() == 1u);
    fleet.end(fleet.begun().front(), TrialOutcome::Broken);
    for (unsigned half = 0; half < 9; ++half) {
        fleet.askEverywhere();
        fleet.run(Milliseconds(500));
    }
    BOOST_TEST(fleet.begun().size() == 1u);
    fleet.run(Seconds(1));
    fleet.askEverywhere();
    fleet.run(Milliseconds(100));
    BOOST_TEST(fleet.begun().size() == 2u);
}

// Guards against a trial that is left to a daemon without callers, or to one that is gone.
BOOST_AUTO_TEST_CASE(ADaemonWithCallersGetsTheTrialWithoutItsArbiters)
{
    for (auto const state : { Fleet::State::Stopped, Fleet::State::CutOff }) {
        for (size_t const gone : { 1, 2 }) {
            Fleet fleet(7);
            auto const arbiters = fleet.arbiters();
            for (size_t index = 0; index < gone; ++index)
                fleet.setState(arbiters[index], state);
            fleet.ask(arbiters[5]);
            fleet.run(Milliseconds(200));
            BOOST_TEST(fleet.begun().size() == 1u);
        }
    }
}

BOOST_AUTO_TEST_CASE(TheTrialOfADaemonThatIsGoneGoesToAnother)
{
    for (auto const state : { Fleet::State::Stopped, Fleet::State::CutOff }) {
        Fleet fleet(7);
        auto const holder = fleet.arbiters()[6];
        fleet.ask(holder);
        fleet.run(Milliseconds(100));
        BOOST_REQUIRE(fleet.begun().size() == 1u);
        fleet.setState(holder, state);
        for (unsigned second = 0; second < 4 && fleet.begun().size() < 2; ++second) {
            fleet.run(Seconds(1));
            fleet.ask(fleet.arbiters()[5]);
            fleet.run(Milliseconds(100));
        }
        BOOST_TEST(fleet.begun().size() == 2u);
    }
}

// The second arbiter knows of the trial as well.
BOOST_AUTO_TEST_CASE(ATrialUnderWayIsKnownWhenTheFirstArbiterIsGone)
{
    Fleet fleet(30);
    auto const arbiters = fleet.arbiters();
    fleet.ask(arbiters[20]);
    fleet.run(Milliseconds(600));
    fleet.setState(arbiters[0], Fleet::State::Stopped);
    for (unsigned second = 0; second < 6; ++second) {
        fleet.askEverywhere();
        fleet.run(Seconds(1));
    }
    BOOST_TEST(fleet.begun().size() == 1u);
}

BOOST_AUTO_TEST_CASE(MalformedMessagesAreIgnored)
{
    TrialExchange exchange({ VMId(1), HallId(1) }, {}, { [](VMId, std::string const&) {}, [] { return uint64_t { 1 }; } });
    for (std::string const bytes : { "", "x", "\x91\x01", "\x93\x07\x01\x02", "\x94\x00\x01\x02\x03" })
        BOOST_TEST(!exchange.receive(VMId(2), bytes, start));
    // The answer to a question of an earlier process.
    BOOST_TEST(exchange.receive(VMId(2), encodeTrialMessage(TrialResponse { 5, true }), start).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

#include <Measure/Measurements.h>

#include <LibBase/Authenticator.h>
#include <LibMembership/Members.h>
#include <Measure/Placement/EventQueue.h>
#include <Measure/ProcessUsage.h>
#include <Measure/Statistics.h>
#include <algorithm>
#include <malloc.h>
#include <memory>
#include <random>

namespace Stagepost::Measure {

namespace {

    constexpr Microseconds networkDelay { 500 };
    // The authenticator's frame and tag, the message kind, and the headers of UDP and IPv4.
    constexpr uint64_t datagramOverhead = Authenticator::overhead + 1 + 28;
    constexpr double warmUp = 20;
    constexpr double steadySeconds = 60;
    constexpr double timeoutSeconds = 60;

    // Runs many instances of the production Membership class in one process, spread over at most six
    // halls, on a simulated network.
    class MembershipFleet {
    public:
        MembershipFleet(size_t members, uint64_t seed)
            : m_random(seed)
        {
            auto const halls = std::min<size_t>(6, std::max<size_t>(1, members / 2));
            for (size_t index = 0; index < members; ++index)
                m_members.push_back({ VMId(index + 1), HallId(index % halls + 1), {}, true, {}, 0, 0 });
            for (size_t index = 0; index < members; ++index)
                start(index, 1);
            m_events.after(Microseconds(0), [this] { tick(); });
        }

        void run(double seconds) { m_events.runUntil(m_events.now() + fromSeconds(seconds)); }

        void start(size_t index, uint64_t incarnation)
        {
            auto& member = m_members[index];
            Membership::Hooks hooks {
                [this, index](VMId to, std::string const& bytes) { send(index, to, bytes); },
                [this] { return m_random(); },
                [] {},
                [this, index](VMId, Revision revision) { m_members[index].announcedRevision = std::max(m_members[index].announcedRevision, revision); },
            };
            member.membership = std::make_unique<Membership>(member.id, member.hall, Incarnation(incarnation), std::move(hooks));
            member.isAlive = true;
            for (auto const& other : m_members)
                member.membership->addMember(other.id, other.hall, m_events.now());
        }

        void kill(size_t index) { m_members[index].isAlive = false; }
        Membership& at(size_t index) { return *m_members[index].membership; }
        size_t size() const { return m_members.size(); }

        // Returns the seconds until the condition holds at every live member except the subject.
        template <typename Condition>
        double secondsUntilAll(size_t subject, Condition holds)
        {
            auto const start = m_events.seconds();
            while (m_events.seconds() - start < timeoutSeconds) {
                run(0.05);
                bool holdsForAll = true;
                for (size_t index = 0; index < m_members.size() && holdsForAll; ++index)
                    holdsForAll = index == subject || !m_members[index].isAlive || holds(*m_members[index].membership);
                if (holdsForAll)
                    return m_events.seconds() - start;
            }
            return timeoutSeconds;
        }

        void resetCounts()
        {
            for (auto& member : m_members) {
                member.bytes = 0;
                member.messages = 0;
            }
            m_cpuSeconds = 0;
        }

        struct Load {
            double meanBytes;
            double worstBytes;
            double meanMessages;
            double cpuShare;
        };
        Load load(double seconds) const
        {
            Load result { 0, 0, 0, m_cpuSeconds / seconds / static_cast<double>(m_members.size()) };
            for (auto const& member : m_members) {
                result.meanBytes += static_cast<double>(member.bytes) / seconds / static_cast<double>(m_members.size());
                result.worstBytes = std::max(result.worstBytes, static_cast<double>(member.bytes) / seconds);
                result.meanMessages += static_cast<double>(member.messages) / seconds / static_cast<double>(m_members.size());
            }
            return result;
        }

        // Sets the settings revision at all members except one, which is disconnected from the log.
        void publish(Revision revision, size_t disconnected)
        {
            for (size_t index = 0; index < m_members.size(); ++index) {
                if (index != disconnected)
                    m_members[index].membership->setRevision(revision);
            }
        }

        double secondsUntilAnnounced(size_t index, Revision revision)
        {
            auto const start = m_events.seconds();
            while (m_members[index].announcedRevision < revision && m_events.seconds() - start < timeoutSeconds)
                run(0.01);
            return m_events.seconds() - start;
        }

    private:
        struct Member {
            VMId id;
            HallId hall;
            std::unique_ptr<Membership> membership;
            bool isAlive;
            Revision announcedRevision;
            uint64_t bytes;
            uint64_t messages;
        };

        void tick()
        {
            auto const before = threadCpuSeconds();
            for (auto& member : m_members) {
                if (member.isAlive)
                    member.membership->tick(m_events.now());
            }
            m_cpuSeconds += threadCpuSeconds() - before;
            m_events.after(Membership::tickInterval, [this] { tick(); });
        }

        void send(size_t from, VMId to, std::string const& bytes)
        {
            m_members[from].bytes += bytes.size() + datagramOverhead;
            ++m_members[from].messages;
            m_events.after(networkDelay, [this, from, to, bytes] {
                auto& receiver = m_members[to.value() - 1];
                if (!receiver.isAlive)
                    return;
                auto const before = threadCpuSeconds();
                (void)receiver.membership->receive(m_members[from].id, bytes, m_events.now());
                m_cpuSeconds += threadCpuSeconds() - before;
            });
        }

        std::mt19937_64 m_random;
        EventQueue m_events;
        std::vector<Member> m_members;
        double m_cpuSeconds { 0 };
    };

    void measureSize(size_t members)
    {
        auto const before = mallinfo2().uordblks;
        MembershipFleet fleet(members, 11);
        fleet.run(warmUp);
        auto const bytesEach = static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(members);
        fleet.resetCounts();
        fleet.run(steadySeconds);
        auto const load = fleet.load(steadySeconds);

        constexpr size_t subject = 1;
        auto const id = VMId(subject + 1);
        fleet.at(subject).setLeaving(true);
        auto const leaving = fleet.secondsUntilAll(subject, [&](Membership const& other) { return other.stateOf(id) == MemberState::Leaving; });
        fleet.kill(subject);
        auto const lost = fleet.secondsUntilAll(subject, [&](Membership const& other) { return other.stateOf(id) == MemberState::Dead; });
        fleet.start(subject, 2);
        auto const returned = fleet.secondsUntilAll(subject, [&](Membership const& other) { return other.stateOf(id) == MemberState::Alive; });
        // Only one daemon learns from the VM list that the upstream is leaving.
        UpstreamId const upstream { 77 };
        fleet.at(0).addUpstreamUpdate({ upstream, 5, UpstreamState::Leaving });
        auto const upstreamLeaving = fleet.secondsUntilAll(0, [&](Membership const& other) { return other.lastUpstreamUpdate(upstream) != nullptr; });
        std::vector<double> announcementTimes;
        for (uint64_t revision = 1; revision <= 20; ++revision) {
            auto const disconnected = revision % members;
            fleet.publish(Revision(revision), disconnected);
            announcementTimes.push_back(fleet.secondsUntilAnnounced(disconnected, Revision(revision)));
            fleet.publish(Revision(revision), members);
        }
        ResultLine line;
        line.add("members", static_cast<double>(members)).add("control_bytes_per_s", load.meanBytes).add("control_bytes_per_s_worst", load.worstBytes);
        line.add("messages_per_s", load.meanMessages).add("cpu_share", load.cpuShare * 100).add("cpu_unit", "percent").add("rss_bytes", bytesEach);
        line.add("detect_lost_s", lost).add("detect_leaving_s", leaving).add("detect_returned_s", returned).add("upstream_leaving_s", upstreamLeaving);
        line.add("cut_reader_hears_p50_s", quantile(announcementTimes, 0.5)).add("cut_reader_hears_worst_s", quantile(announcementTimes, 1));
        line.print();
    }

}

int measureMembership(Arguments const& arguments)
{
    std::vector<size_t> const sizes = arguments.isQuick() ? std::vector<size_t> { 2, 6, 55, 330 } : std::vector<size_t> { 2, 6, 20, 55, 110, 330 };
    for (auto const members : sizes)
        measureSize(members);
    return 0;
}

}

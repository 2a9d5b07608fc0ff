#include <Measure/Placement/Run.h>

#include <algorithm>

namespace Stagepost::Measure {

namespace {

    constexpr double sampleInterval = 0.1;
    constexpr double warmUp = 25;
    // The multiple is promised where the mean is at least this.
    constexpr double leastMean = 8;
    constexpr size_t mostTries = 3;
    constexpr double reportInterval = 2;
    constexpr Microseconds connectDelay { 1000 };

    class Run {
    public:
        Run(FleetSize const& size, Scenario const& scenario, PolicyFactory const& makePolicy, double loadMultiple)
            : m_scenario(scenario)
            , m_loadMultiple(loadMultiple)
            , m_world(size, scenario.workload.seed + 1)
            , m_trace(makeWorkload(size, scenario.workload))
        {
            m_world.reportLag = scenario.reportLag;
            m_world.lostEvents = scenario.lostEvents;
            m_policy = makePolicy(m_world, scenario);
        }

        RunResult run()
        {
            scheduleArrivals(0);
            scheduleFaults();
            every(0.05, [this] { m_policy->tick(); });
            every(sampleInterval, [this] { sample(); });
            every(reportInterval, [this] { report(); });
            m_world.events.runUntil(instantAt(m_world.size.seconds));
            auto const daemonSeconds = m_world.size.seconds * static_cast<double>(m_world.size.daemons);
            m_result.reuse = m_wantedTokens > 0 ? m_reusedTokens / m_wantedTokens : 1;
            m_result.controlBytesPerSecond = static_cast<double>(m_policy->controlBytes()) / daemonSeconds;
            m_result.controlMessagesPerSecond = static_cast<double>(m_policy->controlMessages()) / daemonSeconds;
            m_result.processorPerDecision = m_result.decisions ? m_policy->decisionCpuSeconds() / static_cast<double>(m_result.decisions) : 0;
            return m_result;
        }

    private:
        struct Open {
            TracedRequest request;
            std::vector<size_t> excluded;
            size_t tries { 1 };
            Instant arrived;
        };
        struct Running {
            Open open;
            PlacedRequest placed;
        };

        void every(double seconds, std::function<void()> function)
        {
            m_world.events.after(fromSeconds(seconds), [this, seconds, function = std::move(function)] {
                function();
                every(seconds, function);
            });
        }

        void scheduleArrivals(size_t index)
        {
            if (index >= m_trace.size())
                return;
            m_world.events.at(instantAt(m_trace[index].at), [this, index] {
                auto request = m_trace[index];
                // The balancer sends nothing to a daemon that is gone.
                while (!m_world.daemons[request.entry].isAlive)
                    request.entry = (request.entry + 1) % m_world.daemons.size();
                place({ request, {}, 1, m_world.events.now() });
                scheduleArrivals(index + 1);
            });
        }

        bool isCounted() const { return m_world.events.seconds() >= warmUp; }

        void place(Open const& open)
        {
            ++m_result.decisions;
            m_policy->place(open.request, open.excluded, [this, open](PlacedRequest const& placed) {
                if (!placed.engine) {
                    ++m_result.refusals[placed.refusal];
                    return;
                }
                start(open, placed);
            });
        }

        void start(Open const& open, PlacedRequest const& placed)
        {
            auto const& entry = m_world.daemons[open.request.entry];
            auto& engine = m_world.engines[*placed.engine];
            if (!entry.isAlive)
                return;
            if (!engine.isAlive || !m_world.isReachable(entry.hall, engine.hall)) {
                m_world.events.after(connectDelay, [this, open, placed] { fail(open, placed); });
                return;
            }
            noteWait(open);
            ++m_result.placed;
            auto const reused = engine.start(open.request);
            if (isCounted() && open.request.contextTokens) {
                m_wantedTokens += open.request.contextTokens;
                m_reusedTokens += reused;
            }
            auto const fresh = open.request.contextTokens - reused + open.request.newTokens;
            auto const seconds = fresh * prefillSecondsPerToken + open.request.answerTokens * secondsPerToken;
            auto const number = ++m_lastRunning;
            m_running[number] = { open, placed };
            m_world.events.after(fromSeconds(seconds), [this, number] { finish(number); });
        }

        void noteWait(Open const& open)
        {
            if (!isCounted())
                return;
            auto const wait = asSeconds(m_world.events.now() - open.arrived) * 1e3;
            if (open.request.priority == Priority::Urgent) {
                m_result.urgentWaits.push_back(wait);
                return;
            }
            m_result.bulkWaits.push_back(wait);
            if (open.request.organisation)
                m_result.othersBulkWaits.push_back(wait);
        }

        void finish(uint64_t number)
        {
            auto const found = m_running.find(number);
            if (found == m_running.end())
                return;
            auto const running = std::move(found->second);
            m_running.erase(found);
            m_world.engines[*running.placed.engine].finish(running.open.request);
            m_policy->finished(running.open.request.entry, running.placed, true);
        }

        void fail(Open open, PlacedRequest const& placed)
        {
            m_policy->finished(open.request.entry, placed, false);
            open.excluded.push_back(*placed.engine);
            open.arrived = m_world.events.now();
            if (++open.tries > mostTries || !m_world.daemons[open.request.entry].isAlive) {
                ++m_result.refusals["upstream-broken"];
                return;
            }
            place(open);
        }

        // Ends what runs where the condition holds; what its entry daemon still has
        // is tried elsewhere.
        template <typename Condition>
        void breakRunning(Condition isBroken)
        {
            std::vector<Running> broken;
            for (auto entry = m_running.begin(); entry != m_running.end();) {
                if (!isBroken(entry->second)) {
                    ++entry;
                    continue;
                }
                broken.push_back(entry->second);
                entry = m_running.erase(entry);
            }
            for (auto const& running : broken) {
                auto& engine = m_world.engines[*running.placed.engine];
                if (engine.inFlight)
                    --engine.inFlight;
                if (m_world.daemons[running.open.request.entry].isAlive)
                    fail(running.open, running.placed);
            }
        }

        void scheduleFaults()
        {
            for (auto const& loss : m_scenario.engineLosses) {
                m_world.events.at(instantAt(loss.at), [this, loss] { loseEngine(loss.engine); });
                m_world.events.at(instantAt(loss.at + loss.backAfter), [this, loss] { returnEngine(loss.engine); });
            }
            if (auto const& loss = m_scenario.daemonLoss)
                m_world.events.at(instantAt(loss->second), [this, daemon = loss->first] { loseDaemon(daemon); });
            if (auto const& cut = m_scenario.hallCut) {
                m_world.events.at(instantAt(cut->first), [this] { cutHall(); });
                m_world.events.at(instantAt(cut->second), [this] { healHall(); });
            }
        }

        double noticeDelay()
        {
            return std::uniform_real_distribution<double>(m_scenario.noticeLeast, m_scenario.noticeMost)(m_world.random);
        }

        // Tells each living daemon of a change, each at its own time.
        void tellDaemons(std::function<void(SimulatedDaemon&)> const& change)
        {
            for (size_t index = 0; index < m_world.daemons.size(); ++index) {
                m_world.events.after(fromSeconds(noticeDelay()), [this, index, change] {
                    if (!m_world.daemons[index].isAlive)
                        return;
                    change(m_world.daemons[index]);
                    m_policy->viewChanged(index);
                });
            }
        }

        void loseEngine(size_t engine)
        {
            m_world.engines[engine].isAlive = false;
            breakRunning([&](Running const& running) { return *running.placed.engine == engine; });
            m_world.engines[engine].lose();
            tellDaemons([engine](SimulatedDaemon& daemon) { daemon.seesEngine[engine] = false; });
        }

        void returnEngine(size_t engine)
        {
            m_world.engines[engine].isAlive = true;
            tellDaemons([engine](SimulatedDaemon& daemon) { daemon.seesEngine[engine] = true; });
        }

        void loseDaemon(size_t lost)
        {
            m_world.daemons[lost].isAlive = false;
            m_policy->daemonLost(lost);
            breakRunning([&](Running const& running) { return running.open.request.entry == lost; });
            tellDaemons([lost](SimulatedDaemon& daemon) { daemon.seesDaemon[lost] = false; });
        }

        void cutHall()
        {
            m_world.cutHall = 0;
            breakRunning([&](Running const& running) {
                return !m_world.isReachable(m_world.daemons[running.open.request.entry].hall, m_world.engines[*running.placed.engine].hall);
            });
            tellDaemons([this](SimulatedDaemon& daemon) { see(daemon, false); });
        }

        void healHall()
        {
            m_world.cutHall.reset();
            tellDaemons([this](SimulatedDaemon& daemon) { see(daemon, true); });
        }

        // Sets what a daemon believes of everything on the other side of the cut.
        void see(SimulatedDaemon& daemon, bool isSeen)
        {
            bool const isInside = daemon.hall == 0;
            for (size_t index = 0; index < m_world.engines.size(); ++index) {
                if ((m_world.engines[index].hall == 0) != isInside)
                    daemon.seesEngine[index] = isSeen && m_world.engines[index].isAlive;
            }
            for (size_t index = 0; index < m_world.daemons.size(); ++index) {
                if ((m_world.daemons[index].hall == 0) != isInside)
                    daemon.seesDaemon[index] = isSeen && m_world.daemons[index].isAlive;
            }
        }

        void sample()
        {
            auto const mean = m_world.meanLoad();
            if (!isCounted() || mean < leastMean)
                return;
            size_t busiest = 0;
            for (auto const& engine : m_world.engines)
                busiest = std::max(busiest, engine.isAlive ? engine.inFlight : 0);
            auto const skew = static_cast<double>(busiest) / mean;
            m_result.skewWorst = std::max(m_result.skewWorst, skew);
            m_result.sampledSeconds += sampleInterval;
            if (skew > m_loadMultiple + 1e-9)
                m_result.overSeconds += sampleInterval;
        }

        void report()
        {
            for (size_t index = 0; index < m_world.engines.size(); ++index) {
                auto& engine = m_world.engines[index];
                if (!engine.isAlive)
                    continue;
                auto const lag = fromSeconds(m_world.reportLag);
                m_world.events.after(lag, [this, index, load = engine.inFlight] { m_policy->loadReported(index, load); });
                for (auto const& event : engine.takeEvents()) {
                    if (std::uniform_real_distribution<double>()(m_world.random) < m_world.lostEvents)
                        continue;
                    m_world.events.after(lag, [this, index, event] { m_policy->cacheEvent(index, event); });
                }
            }
        }

        Scenario m_scenario;
        double m_loadMultiple;
        World m_world;
        std::vector<TracedRequest> m_trace;
        std::unique_ptr<Policy> m_policy;
        std::map<uint64_t, Running> m_running;
        uint64_t m_lastRunning { 0 };
        double m_wantedTokens { 0 };
        double m_reusedTokens { 0 };
        RunResult m_result;
    };

}

RunResult runPlacement(FleetSize const& size, Scenario const& scenario, PolicyFactory const& makePolicy, double loadMultiple)
{
    return Run(size, scenario, makePolicy, loadMultiple).run();
}

}

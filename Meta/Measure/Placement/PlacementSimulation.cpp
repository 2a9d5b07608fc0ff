#include <Measure/Placement/PlacementSimulation.h>

#include <algorithm>

namespace Stagepost::Measure {

namespace {

    constexpr double sampleInterval = 0.1;
    constexpr double warmUp = 25;
    // The load multiple is guaranteed only from this mean load on.
    constexpr double minMeanLoad = 8;
    constexpr size_t maxAttempts = 3;
    constexpr double reportInterval = 2;
    constexpr Microseconds connectDelay { 1000 };

    class PlacementSimulation {
    public:
        PlacementSimulation(FleetSize const& size, Scenario const& scenario, PolicyFactory const& makePolicy, double loadMultiple)
            : m_scenario(scenario)
            , m_loadMultiple(loadMultiple)
            , m_world(size, scenario.workload.seed + 1)
            , m_trace(makeWorkload(size, scenario.workload))
        {
            m_world.reportLag = scenario.reportLag;
            m_world.eventLossRate = scenario.eventLossRate;
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
            m_result.reuse = m_contextTokens > 0 ? m_reusedTokens / m_contextTokens : 1;
            m_result.controlBytesPerSecond = static_cast<double>(m_policy->controlBytes()) / daemonSeconds;
            m_result.controlMessagesPerSecond = static_cast<double>(m_policy->controlMessages()) / daemonSeconds;
            m_result.cpuSecondsPerDecision = m_result.decisions ? m_policy->decisionCpuSeconds() / static_cast<double>(m_result.decisions) : 0;
            return m_result;
        }

    private:
        struct PendingRequest {
            TracedRequest request;
            std::vector<size_t> excluded;
            size_t attempts { 1 };
            Instant arrived;
        };
        struct Running {
            PendingRequest pending;
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
                // The load balancer skips daemons that are down.
                while (!m_world.daemons[request.entry].isAlive)
                    request.entry = (request.entry + 1) % m_world.daemons.size();
                place({ request, {}, 1, m_world.events.now() });
                scheduleArrivals(index + 1);
            });
        }

        bool isPastWarmUp() const { return m_world.events.seconds() >= warmUp; }

        void place(PendingRequest const& pending)
        {
            ++m_result.decisions;
            m_policy->place(pending.request, pending.excluded, [this, pending](PlacedRequest const& placed) {
                if (!placed.engine) {
                    ++m_result.refusals[placed.refusal];
                    return;
                }
                start(pending, placed);
            });
        }

        void start(PendingRequest const& pending, PlacedRequest const& placed)
        {
            auto const& entry = m_world.daemons[pending.request.entry];
            auto& engine = m_world.engines[*placed.engine];
            if (!entry.isAlive)
                return;
            if (!engine.isAlive || !m_world.isReachable(entry.hall, engine.hall)) {
                m_world.events.after(connectDelay, [this, pending, placed] { fail(pending, placed); });
                return;
            }
            recordWait(pending);
            ++m_result.placed;
            auto const reused = engine.start(pending.request);
            if (isPastWarmUp() && pending.request.contextTokens) {
                m_contextTokens += pending.request.contextTokens;
                m_reusedTokens += reused;
            }
            auto const uncachedTokens = pending.request.contextTokens - reused + pending.request.newTokens;
            auto const seconds = uncachedTokens * prefillSecondsPerToken + pending.request.answerTokens * secondsPerToken;
            auto const number = ++m_lastRunning;
            m_running[number] = { pending, placed };
            m_world.events.after(fromSeconds(seconds), [this, number] { finish(number); });
        }

        void recordWait(PendingRequest const& pending)
        {
            if (!isPastWarmUp())
                return;
            auto const wait = asSeconds(m_world.events.now() - pending.arrived) * 1e3;
            if (pending.request.priority == Priority::Urgent) {
                m_result.urgentWaits.push_back(wait);
                return;
            }
            m_result.bulkWaits.push_back(wait);
            if (pending.request.organisation)
                m_result.othersBulkWaits.push_back(wait);
        }

        void finish(uint64_t number)
        {
            auto const found = m_running.find(number);
            if (found == m_running.end())
                return;
            auto const running = std::move(found->second);
            m_running.erase(found);
            m_world.engines[*running.placed.engine].finish(running.pending.request);
            m_policy->finished(running.pending.request.entry, running.placed, true);
        }

        void fail(PendingRequest pending, PlacedRequest const& placed)
        {
            m_policy->finished(pending.request.entry, placed, false);
            pending.excluded.push_back(*placed.engine);
            pending.arrived = m_world.events.now();
            if (++pending.attempts > maxAttempts || !m_world.daemons[pending.request.entry].isAlive) {
                ++m_result.refusals["upstream-broken"];
                return;
            }
            place(pending);
        }

        // Aborts the running requests for which the condition holds. Requests whose entry daemon is alive
        // are retried on other engines.
        template <typename Condition>
        void abortRunning(Condition shouldAbort)
        {
            std::vector<Running> aborted;
            for (auto entry = m_running.begin(); entry != m_running.end();) {
                if (!shouldAbort(entry->second)) {
                    ++entry;
                    continue;
                }
                aborted.push_back(entry->second);
                entry = m_running.erase(entry);
            }
            for (auto const& running : aborted) {
                auto& engine = m_world.engines[*running.placed.engine];
                if (engine.inFlight)
                    --engine.inFlight;
                if (m_world.daemons[running.pending.request.entry].isAlive)
                    fail(running.pending, running.placed);
            }
        }

        void scheduleFaults()
        {
            for (auto const& loss : m_scenario.engineLosses) {
                m_world.events.at(instantAt(loss.at), [this, loss] { loseEngine(loss.engine); });
                m_world.events.at(instantAt(loss.at + loss.downtime), [this, loss] { restoreEngine(loss.engine); });
            }
            if (auto const& loss = m_scenario.daemonLoss)
                m_world.events.at(instantAt(loss->second), [this, daemon = loss->first] { loseDaemon(daemon); });
            if (auto const& cut = m_scenario.hallCut) {
                m_world.events.at(instantAt(cut->first), [this] { disconnectHall(); });
                m_world.events.at(instantAt(cut->second), [this] { reconnectHall(); });
            }
        }

        double detectionDelay()
        {
            return std::uniform_real_distribution<double>(m_scenario.minDetectionDelay, m_scenario.maxDetectionDelay)(m_world.random);
        }

        // Applies a change to the view of each live daemon, after a random delay for each.
        void notifyDaemons(std::function<void(SimulatedDaemon&)> const& change)
        {
            for (size_t index = 0; index < m_world.daemons.size(); ++index) {
                m_world.events.after(fromSeconds(detectionDelay()), [this, index, change] {
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
            abortRunning([&](Running const& running) { return *running.placed.engine == engine; });
            m_world.engines[engine].reset();
            notifyDaemons([engine](SimulatedDaemon& daemon) { daemon.seesEngine[engine] = false; });
        }

        void restoreEngine(size_t engine)
        {
            m_world.engines[engine].isAlive = true;
            notifyDaemons([engine](SimulatedDaemon& daemon) { daemon.seesEngine[engine] = true; });
        }

        void loseDaemon(size_t lost)
        {
            m_world.daemons[lost].isAlive = false;
            m_policy->daemonLost(lost);
            abortRunning([&](Running const& running) { return running.pending.request.entry == lost; });
            notifyDaemons([lost](SimulatedDaemon& daemon) { daemon.seesDaemon[lost] = false; });
        }

        void disconnectHall()
        {
            m_world.cutHall = 0;
            abortRunning([&](Running const& running) {
                return !m_world.isReachable(m_world.daemons[running.pending.request.entry].hall, m_world.engines[*running.placed.engine].hall);
            });
            notifyDaemons([this](SimulatedDaemon& daemon) { setVisible(daemon, false); });
        }

        void reconnectHall()
        {
            m_world.cutHall.reset();
            notifyDaemons([this](SimulatedDaemon& daemon) { setVisible(daemon, true); });
        }

        // Adds the engines and daemons on the other side of the cut to a daemon's view, or removes them.
        void setVisible(SimulatedDaemon& daemon, bool isVisible)
        {
            bool const isInside = daemon.hall == 0;
            for (size_t index = 0; index < m_world.engines.size(); ++index) {
                if ((m_world.engines[index].hall == 0) != isInside)
                    daemon.seesEngine[index] = isVisible && m_world.engines[index].isAlive;
            }
            for (size_t index = 0; index < m_world.daemons.size(); ++index) {
                if ((m_world.daemons[index].hall == 0) != isInside)
                    daemon.seesDaemon[index] = isVisible && m_world.daemons[index].isAlive;
            }
        }

        void sample()
        {
            auto const mean = m_world.meanLoad();
            if (!isPastWarmUp() || mean < minMeanLoad)
                return;
            size_t busiest = 0;
            for (auto const& engine : m_world.engines)
                busiest = std::max(busiest, engine.isAlive ? engine.inFlight : 0);
            auto const skew = static_cast<double>(busiest) / mean;
            m_result.maxSkew = std::max(m_result.maxSkew, skew);
            m_result.sampledSeconds += sampleInterval;
            if (skew > m_loadMultiple + 1e-9)
                m_result.secondsOverMultiple += sampleInterval;
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
                    if (std::uniform_real_distribution<double>()(m_world.random) < m_world.eventLossRate)
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
        double m_contextTokens { 0 };
        double m_reusedTokens { 0 };
        RunResult m_result;
    };

}

RunResult runPlacement(FleetSize const& size, Scenario const& scenario, PolicyFactory const& makePolicy, double loadMultiple)
{
    return PlacementSimulation(size, scenario, makePolicy, loadMultiple).run();
}

}

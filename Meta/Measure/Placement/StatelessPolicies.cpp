#include <Measure/Placement/Policy.h>

#include <LibRouting/AdmissionCap.h>
#include <Measure/ProcessUsage.h>
#include <algorithm>
#include <map>
#include <numeric>

namespace Stagepost::Measure {

namespace {

    // Base of the policies without owners. Each daemon decides on its own from the engine loads that it
    // knows of, and requests are never queued.
    class StatelessPolicy : public Policy {
    public:
        StatelessPolicy(World& world, PolicyOptions const& options)
            : Policy(world)
            , m_options(options)
        {
            for (size_t index = 0; index < world.daemons.size(); ++index)
                m_views.push_back(world.viewOf(index));
        }

        void place(TracedRequest const& request, std::vector<size_t> const& excluded, PlacementCallback callback) override
        {
            auto const before = threadCpuSeconds();
            auto const& view = m_views[request.entry];
            std::vector<size_t> order;
            for (auto const id : view.candidates(World::pool(), ChatId(request.chat), m_options.candidates + excluded.size())) {
                auto const engine = m_world.engineIndex(id);
                if (std::find(excluded.begin(), excluded.end(), engine) == excluded.end())
                    order.push_back(engine);
            }
            std::optional<size_t> chosen;
            if (!order.empty())
                chosen = choose(request.entry, order);
            m_cpuSeconds += threadCpuSeconds() - before;
            if (!chosen) {
                callback({ {}, 0, "no-upstream" });
                return;
            }
            requestStarted(request.entry, *chosen);
            callback({ chosen, *chosen, {} });
        }

        void finished(size_t daemon, PlacedRequest const& placed, bool) override { requestEnded(daemon, *placed.engine); }
        void viewChanged(size_t daemon) override { m_views[daemon] = m_world.viewOf(daemon); }
        double decisionCpuSeconds() const override { return m_cpuSeconds; }

    protected:
        virtual size_t choose(size_t daemon, std::vector<size_t> const& order) = 0;
        virtual void requestStarted(size_t, size_t) { }
        virtual void requestEnded(size_t, size_t) { }

        // Returns the first engine in order with a load below the cap, or else the least loaded one.
        size_t firstBelowCap(std::vector<double> const& loads, std::vector<size_t> const& order, RoutingView const& view) const
        {
            double total = 0;
            for (auto const& upstream : view.upstreams())
                total += loads[m_world.engineIndex(upstream.id)];
            PoolPolicy policy;
            policy.loadMultiple = m_options.loadMultiple;
            policy.admissionMargin = m_options.margin;
            policy.maxInFlight = m_world.size.maxInFlight;
            auto const cap = static_cast<double>(admissionCap(policy, total / std::max(1.0, static_cast<double>(view.upstreams().size()))));
            for (auto const engine : order) {
                if (loads[engine] < cap)
                    return engine;
            }
            return *std::min_element(order.begin(), order.end(), [&](auto a, auto b) { return loads[a] < loads[b]; });
        }

        PolicyOptions m_options;
        std::vector<RoutingView> m_views;
        double m_cpuSeconds { 0 };
    };

    class ReportsPolicy : public StatelessPolicy {
    public:
        ReportsPolicy(World& world, PolicyOptions const& options)
            : StatelessPolicy(world, options)
            , m_reported(world.engines.size(), 0)
        {
        }

        void loadReported(size_t engine, size_t load) override
        {
            m_reported[engine] = static_cast<double>(load);
            // Each daemon receives each engine's report.
            m_messages += m_world.daemons.size();
        }

        uint64_t controlMessages() const override { return m_messages; }
        uint64_t controlBytes() const override { return m_messages * reportBytes; }

    protected:
        static constexpr uint64_t reportBytes = 250;
        size_t choose(size_t daemon, std::vector<size_t> const& order) override { return firstBelowCap(m_reported, order, m_views[daemon]); }

        std::vector<double> m_reported;
        uint64_t m_messages { 0 };
    };

    class TwoChoicesPolicy final : public ReportsPolicy {
    public:
        using ReportsPolicy::ReportsPolicy;

    protected:
        size_t choose(size_t, std::vector<size_t> const& order) override
        {
            if (order.size() > 1 && m_reported[order[1]] < m_reported[order[0]])
                return order[1];
            return order[0];
        }
    };

    // Once a second, each daemon sends all others its number of requests in flight per engine.
    class GossipPolicy final : public StatelessPolicy {
    public:
        GossipPolicy(World& world, PolicyOptions const& options)
            : StatelessPolicy(world, options)
            , m_current(world.daemons.size(), std::vector<double>(world.engines.size(), 0))
            , m_sent(m_current)
            , m_sentTotal(world.engines.size(), 0)
        {
        }

        void tick() override
        {
            if (++m_ticks % ticksPerRound)
                return;
            m_sent = m_current;
            std::fill(m_sentTotal.begin(), m_sentTotal.end(), 0);
            for (size_t daemon = 0; daemon < m_sent.size(); ++daemon) {
                uint64_t entries = 0;
                for (size_t engine = 0; engine < m_sentTotal.size(); ++engine) {
                    m_sentTotal[engine] += m_sent[daemon][engine];
                    entries += m_sent[daemon][engine] > 0;
                }
                auto const others = m_sent.size() - 1;
                m_messages += others;
                m_bytes += others * (overheadBytes + entries * entryBytes);
            }
        }

        void daemonLost(size_t daemon) override { std::fill(m_current[daemon].begin(), m_current[daemon].end(), 0); }
        uint64_t controlMessages() const override { return m_messages; }
        uint64_t controlBytes() const override { return m_bytes; }

    protected:
        size_t choose(size_t daemon, std::vector<size_t> const& order) override
        {
            auto loads = m_sentTotal;
            for (size_t engine = 0; engine < loads.size(); ++engine)
                loads[engine] += m_current[daemon][engine] - m_sent[daemon][engine];
            return firstBelowCap(loads, order, m_views[daemon]);
        }
        void requestStarted(size_t daemon, size_t engine) override { m_current[daemon][engine] += 1; }
        void requestEnded(size_t daemon, size_t engine) override { m_current[daemon][engine] = std::max(0.0, m_current[daemon][engine] - 1); }

    private:
        static constexpr size_t ticksPerRound = 20;
        static constexpr uint64_t overheadBytes = 68;
        static constexpr uint64_t entryBytes = 10;

        std::vector<std::vector<double>> m_current;
        std::vector<std::vector<double>> m_sent;
        std::vector<double> m_sentTotal;
        size_t m_ticks { 0 };
        uint64_t m_messages { 0 };
        uint64_t m_bytes { 0 };
    };

    // Knows the exact load and cache of every engine, and the engine losses of the next 60 seconds. No
    // real policy can; it is the reference that the others are compared with.
    class ClairvoyantPolicy final : public StatelessPolicy {
    public:
        ClairvoyantPolicy(World& world, PolicyOptions const& options, std::vector<std::pair<size_t, double>> losses)
            : StatelessPolicy(world, options)
            , m_losses(std::move(losses))
        {
        }

        void place(TracedRequest const& request, std::vector<size_t> const&, PlacementCallback callback) override
        {
            PoolPolicy policy;
            policy.loadMultiple = m_options.loadMultiple;
            policy.admissionMargin = 0;
            policy.maxInFlight = m_world.size.maxInFlight;
            auto const cap = admissionCap(policy, m_world.meanLoad());
            std::optional<size_t> holder;
            std::optional<size_t> leastLoaded;
            for (size_t index = 0; index < m_world.engines.size(); ++index) {
                auto const& engine = m_world.engines[index];
                auto const& entry = m_world.daemons[request.entry];
                if (!engine.isAlive || !m_world.isReachable(entry.hall, engine.hall))
                    continue;
                auto const held = engine.cachedTokens(request.chat);
                if (held && engine.inFlight < cap && (!holder || held > m_world.engines[*holder].cachedTokens(request.chat)))
                    holder = index;
                if (!leastLoaded || rank(index) < rank(*leastLoaded))
                    leastLoaded = index;
            }
            auto const chosen = holder ? holder : leastLoaded;
            callback({ chosen, chosen.value_or(0), chosen ? "" : "no-upstream" });
        }

    protected:
        size_t choose(size_t, std::vector<size_t> const& order) override { return order.front(); }

    private:
        // Ranks engines by load. Engines that will be lost within the horizon come last, unless their load
        // is more than about a tenth below the mean.
        double rank(size_t engine) const
        {
            constexpr double horizonSeconds = 60;
            auto const now = m_world.events.seconds();
            bool const willBeLost = std::any_of(m_losses.begin(), m_losses.end(), [&](auto const& loss) {
                return loss.first == engine && loss.second > now && loss.second < now + horizonSeconds;
            });
            auto const load = static_cast<double>(m_world.engines[engine].inFlight);
            return willBeLost && load * 1.1 > m_world.meanLoad() ? 1e6 + load : load;
        }

        std::vector<std::pair<size_t, double>> m_losses;
    };

}

std::unique_ptr<Policy> makeReportsPolicy(World& world, PolicyOptions const& options)
{
    return std::make_unique<ReportsPolicy>(world, options);
}

std::unique_ptr<Policy> makeTwoChoicesPolicy(World& world, PolicyOptions const& options)
{
    return std::make_unique<TwoChoicesPolicy>(world, options);
}

std::unique_ptr<Policy> makeGossipPolicy(World& world, PolicyOptions const& options)
{
    return std::make_unique<GossipPolicy>(world, options);
}

std::unique_ptr<Policy> makeClairvoyantPolicy(World& world, PolicyOptions const& options, std::vector<std::pair<size_t, double>> losses)
{
    return std::make_unique<ClairvoyantPolicy>(world, options, std::move(losses));
}

}

#include <Measure/Placement/Policy.h>

#include <LibRouting/AdmissionCap.h>
#include <Measure/ProcessUsage.h>
#include <algorithm>
#include <map>
#include <numeric>

namespace Stagepost::Measure {

namespace {

    // The ways without owners: every daemon decides for itself, by what it knows of
    // the engines' loads, and nothing ever waits.
    class StatelessPolicy : public Policy {
    public:
        StatelessPolicy(World& world, PolicyOptions const& options)
            : Policy(world)
            , m_options(options)
        {
            for (size_t index = 0; index < world.daemons.size(); ++index)
                m_views.push_back(world.viewOf(index));
        }

        void place(TracedRequest const& request, std::vector<size_t> const& excluded, Placed placed) override
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
            m_processor += threadCpuSeconds() - before;
            if (!chosen) {
                placed({ {}, 0, "no-upstream" });
                return;
            }
            noteStart(request.entry, *chosen);
            placed({ chosen, *chosen, {} });
        }

        void finished(size_t daemon, PlacedRequest const& placed, bool) override { noteEnd(daemon, *placed.engine); }
        void viewChanged(size_t daemon) override { m_views[daemon] = m_world.viewOf(daemon); }
        double decisionCpuSeconds() const override { return m_processor; }

    protected:
        virtual size_t choose(size_t daemon, std::vector<size_t> const& order) = 0;
        virtual void noteStart(size_t, size_t) { }
        virtual void noteEnd(size_t, size_t) { }

        // The first in order that is below the cap, else the least loaded.
        size_t firstBelowCap(std::vector<double> const& loads, std::vector<size_t> const& order, RoutingView const& view) const
        {
            double total = 0;
            for (auto const& upstream : view.upstreams())
                total += loads[m_world.engineIndex(upstream.id)];
            PoolPolicy policy;
            policy.loadMultiple = m_options.loadMultiple;
            policy.admissionMargin = m_options.margin;
            policy.maxInFlight = m_world.size.mostInFlight;
            auto const cap = static_cast<double>(admissionCap(policy, total / std::max(1.0, static_cast<double>(view.upstreams().size()))));
            for (auto const engine : order) {
                if (loads[engine] < cap)
                    return engine;
            }
            return *std::min_element(order.begin(), order.end(), [&](auto a, auto b) { return loads[a] < loads[b]; });
        }

        PolicyOptions m_options;
        std::vector<RoutingView> m_views;
        double m_processor { 0 };
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
            // Every daemon reads every engine's report.
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

    // Every daemon tells every other one once a second what it has in flight where.
    class GossipPolicy final : public StatelessPolicy {
    public:
        GossipPolicy(World& world, PolicyOptions const& options)
            : StatelessPolicy(world, options)
            , m_own(world.daemons.size(), std::vector<double>(world.engines.size(), 0))
            , m_told(m_own)
            , m_toldTotal(world.engines.size(), 0)
        {
        }

        void tick() override
        {
            if (++m_ticks % ticksPerRound)
                return;
            m_told = m_own;
            std::fill(m_toldTotal.begin(), m_toldTotal.end(), 0);
            for (size_t daemon = 0; daemon < m_told.size(); ++daemon) {
                uint64_t entries = 0;
                for (size_t engine = 0; engine < m_toldTotal.size(); ++engine) {
                    m_toldTotal[engine] += m_told[daemon][engine];
                    entries += m_told[daemon][engine] > 0;
                }
                auto const others = m_told.size() - 1;
                m_messages += others;
                m_bytes += others * (overheadBytes + entries * entryBytes);
            }
        }

        void daemonLost(size_t daemon) override { std::fill(m_own[daemon].begin(), m_own[daemon].end(), 0); }
        uint64_t controlMessages() const override { return m_messages; }
        uint64_t controlBytes() const override { return m_bytes; }

    protected:
        size_t choose(size_t daemon, std::vector<size_t> const& order) override
        {
            auto loads = m_toldTotal;
            for (size_t engine = 0; engine < loads.size(); ++engine)
                loads[engine] += m_own[daemon][engine] - m_told[daemon][engine];
            return firstBelowCap(loads, order, m_views[daemon]);
        }
        void noteStart(size_t daemon, size_t engine) override { m_own[daemon][engine] += 1; }
        void noteEnd(size_t daemon, size_t engine) override { m_own[daemon][engine] = std::max(0.0, m_own[daemon][engine] - 1); }

    private:
        static constexpr size_t ticksPerRound = 20;
        static constexpr uint64_t overheadBytes = 68;
        static constexpr uint64_t entryBytes = 10;

        std::vector<std::vector<double>> m_own;
        std::vector<std::vector<double>> m_told;
        std::vector<double> m_toldTotal;
        size_t m_ticks { 0 };
        uint64_t m_messages { 0 };
        uint64_t m_bytes { 0 };
    };

    // Knows every load and every cache as they are, and which engines will be lost
    // within the time that a chat goes on. Nobody can do that; it is the measure.
    class ClairvoyantPolicy final : public StatelessPolicy {
    public:
        ClairvoyantPolicy(World& world, PolicyOptions const& options, std::vector<std::pair<size_t, double>> losses)
            : StatelessPolicy(world, options)
            , m_losses(std::move(losses))
        {
        }

        void place(TracedRequest const& request, std::vector<size_t> const&, Placed placed) override
        {
            PoolPolicy policy;
            policy.loadMultiple = m_options.loadMultiple;
            policy.admissionMargin = 0;
            policy.maxInFlight = m_world.size.mostInFlight;
            auto const cap = admissionCap(policy, m_world.meanLoad());
            std::optional<size_t> holder;
            std::optional<size_t> emptiest;
            for (size_t index = 0; index < m_world.engines.size(); ++index) {
                auto const& engine = m_world.engines[index];
                auto const& entry = m_world.daemons[request.entry];
                if (!engine.isAlive || !m_world.isReachable(entry.hall, engine.hall))
                    continue;
                auto const held = engine.heldTokens(request.chat);
                if (held && engine.inFlight < cap && (!holder || held > m_world.engines[*holder].heldTokens(request.chat)))
                    holder = index;
                if (!emptiest || rank(index) < rank(*emptiest))
                    emptiest = index;
            }
            auto const chosen = holder ? holder : emptiest;
            placed({ chosen, chosen.value_or(0), chosen ? "" : "no-upstream" });
        }

    protected:
        size_t choose(size_t, std::vector<size_t> const& order) override { return order.front(); }

    private:
        // Engines that are about to be lost come last.
        double rank(size_t engine) const
        {
            constexpr double horizon = 60;
            auto const now = m_world.events.seconds();
            bool const isDoomed = std::any_of(m_losses.begin(), m_losses.end(), [&](auto const& loss) {
                return loss.first == engine && loss.second > now && loss.second < now + horizon;
            });
            auto const load = static_cast<double>(m_world.engines[engine].inFlight);
            return isDoomed && load * 1.1 > m_world.meanLoad() ? 1e6 + load : load;
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

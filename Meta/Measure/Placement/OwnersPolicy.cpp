#include <Measure/Placement/Policy.h>

#include <LibBase/Authenticator.h>
#include <LibRouting/AdmissionController.h>
#include <Measure/ProcessUsage.h>
#include <map>
#include <unordered_map>

namespace Stagepost::Measure {

namespace {

    // The one-way delay between daemons, and the bytes of a datagram besides its body: the frame and
    // tag of the authenticator and the headers of UDP and IPv4.
    constexpr Microseconds networkDelay { 500 };
    constexpr uint64_t datagramOverhead = Authenticator::overhead + 28;
    constexpr double maxWaitSeconds = 30;

    // Runs one production AdmissionController per daemon on a simulated network.
    class OwnersPolicy final : public Policy {
        // Adds the CPU time of the call. Nested calls count once, as part of the outermost one.
        template <typename Function>
        auto timed(Function function)
        {
            if (m_isTimed)
                return function();
            m_isTimed = true;
            auto const before = threadCpuSeconds();
            auto result = function();
            m_cpuSeconds += threadCpuSeconds() - before;
            m_isTimed = false;
            return result;
        }

    public:
        OwnersPolicy(World& world, PolicyOptions const& options)
            : Policy(world)
            , m_options(options)
        {
            for (size_t index = 0; index < world.daemons.size(); ++index) {
                m_nodes.push_back(std::make_unique<AdmissionController>(world.daemons[index].id, hooksFor(index)));
                m_nodes.back()->setView(world.viewOf(index), world.events.now());
            }
        }

        void place(TracedRequest const& request, std::vector<size_t> const& excluded, PlacementCallback callback) override
        {
            auto& node = *m_nodes[request.entry];
            auto const now = m_world.events.now();
            auto const organisation = OrganisationId(request.organisation + 1);
            if (auto const refusal = timed([&] { return node.admitOrganisation(organisation, now); })) {
                callback({ {}, 0, std::string(nameOf(refusal->reason)) });
                return;
            }
            PlacementRequest placementRequest;
            placementRequest.pool = World::pool();
            placementRequest.chat = ChatId(request.chat);
            placementRequest.organisation = organisation;
            placementRequest.priority = request.priority;
            placementRequest.contextTokens = request.contextTokens;
            placementRequest.deadline = now + fromSeconds(maxWaitSeconds);
            for (auto const engine : excluded)
                placementRequest.excluded.push_back(m_world.engines[engine].id);
            auto const entry = request.entry;
            timed([&] {
                return node.acquire(placementRequest, now, [this, entry, organisation, callback = std::move(callback)](Placement const& placement) {
                    if (auto const* refusal = std::get_if<Refusal>(&placement)) {
                        m_nodes[entry]->organisationFinished(organisation);
                        callback({ {}, 0, std::string(nameOf(refusal->reason)) });
                        return;
                    }
                    auto const& lease = std::get<Lease>(placement);
                    m_organisationOf[lease.id.value()] = organisation;
                    callback({ m_world.engineIndex(lease.upstream), lease.id.value(), {} });
                });
            });
        }

        void finished(size_t daemon, PlacedRequest const& placed, bool isOk) override
        {
            auto& node = *m_nodes[daemon];
            if (auto const found = m_organisationOf.find(placed.leaseId); found != m_organisationOf.end()) {
                node.organisationFinished(found->second);
                m_organisationOf.erase(found);
            }
            timed([&] {
                node.release(LeaseId(placed.leaseId), isOk ? LeaseOutcome::Succeeded : LeaseOutcome::Failed, m_world.events.now());
                return 0;
            });
        }

        void viewChanged(size_t daemon) override
        {
            timed([&] {
                m_nodes[daemon]->setView(m_world.viewOf(daemon), m_world.events.now());
                return 0;
            });
        }

        void loadReported(size_t engine, size_t load) override
        {
            for (size_t index = 0; index < m_nodes.size(); ++index) {
                if (auto* owner = ownerAt(index, engine))
                    owner->handleLoadReport(load, m_world.events.now());
            }
        }

        void cacheEvent(size_t engine, SimulatedEngine::CacheEvent const& event) override
        {
            for (size_t index = 0; index < m_nodes.size(); ++index) {
                if (auto* owner = ownerAt(index, engine))
                    owner->handleCacheEvent(ChatId(event.chat), event.isStored, event.tokens);
            }
        }

        void tick() override
        {
            for (size_t index = 0; index < m_nodes.size(); ++index) {
                if (!m_world.daemons[index].isAlive)
                    continue;
                timed([&] {
                    m_nodes[index]->tick(m_world.events.now());
                    return 0;
                });
            }
        }

        uint64_t controlBytes() const override { return m_bytes; }
        uint64_t controlMessages() const override { return m_messages; }
        double decisionCpuSeconds() const override { return m_cpuSeconds; }

    private:
        UpstreamOwner* ownerAt(size_t daemon, size_t engine)
        {
            auto const& there = m_world.daemons[daemon];
            if (!there.isAlive || !m_world.isReachable(there.hall, m_world.engines[engine].hall))
                return nullptr;
            return m_nodes[daemon]->leaseServer().find(m_world.engines[engine].id);
        }

        AdmissionController::Hooks hooksFor(size_t daemon)
        {
            return {
                [this, daemon](VMId to, std::string const& bytes) { send(daemon, to, bytes); },
                [this](PoolId) { return poolPolicy(); },
                [this](OrganisationId organisation) { return limitsOf(organisation); },
                [](OrganisationId) { return 1.0; },
                [this] { return m_world.random(); },
            };
        }

        void send(size_t from, VMId to, std::string const& bytes)
        {
            m_bytes += bytes.size() + datagramOverhead;
            ++m_messages;
            auto const target = m_world.daemonIndex(to);
            m_world.events.after(networkDelay, [this, from, target, bytes] {
                auto const& sender = m_world.daemons[from];
                auto const& receiver = m_world.daemons[target];
                if (!receiver.isAlive || !m_world.isReachable(sender.hall, receiver.hall))
                    return;
                timed([&] { return m_nodes[target]->receive(sender.id, bytes, m_world.events.now()).has_value(); });
            });
        }

        PoolPolicy poolPolicy() const
        {
            PoolPolicy policy;
            policy.loadMultiple = m_options.loadMultiple;
            policy.admissionMargin = m_options.margin;
            policy.candidates = m_options.candidates;
            policy.newChatReserve = m_options.newChatReserve;
            policy.recomputePerToken = Microseconds(m_options.recomputeMicroseconds);
            policy.maxInFlight = m_world.size.maxInFlight;
            return policy;
        }

        // Limits an organisation to three times its mean request rate and, at 13 s per request, its mean
        // number of requests in flight.
        OrganisationLimits limitsOf(OrganisationId organisation) const
        {
            if (!m_options.limitsOrganisations)
                return { 1e9, 1e9 };
            double totalWeight = 0;
            for (size_t index = 0; index < m_world.size.organisations; ++index)
                totalWeight += 1.0 / static_cast<double>(index + 1);
            auto const share = 1.0 / static_cast<double>(organisation.value()) / totalWeight;
            auto const rate = 3 * std::max(1.0, share * m_world.size.requestsPerSecond);
            return { rate, 13 * rate };
        }

        PolicyOptions m_options;
        std::vector<std::unique_ptr<AdmissionController>> m_nodes;
        std::unordered_map<uint64_t, OrganisationId> m_organisationOf;
        uint64_t m_bytes { 0 };
        uint64_t m_messages { 0 };
        double m_cpuSeconds { 0 };
        bool m_isTimed { false };
    };

}

std::unique_ptr<Policy> makeOwnersPolicy(World& world, PolicyOptions const& options)
{
    return std::make_unique<OwnersPolicy>(world, options);
}

}

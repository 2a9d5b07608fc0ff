#include <LibRouting/LeaseServer.h>

namespace Stagepost {

LeaseServer::LeaseServer(Hooks hooks)
    : m_hooks(std::move(hooks))
    , m_loads(m_hooks.sendBatched, m_hooks.random)
{
}

UpstreamOwner* LeaseServer::find(UpstreamId id)
{
    auto const found = m_owned.find(id);
    return found == m_owned.end() ? nullptr : &found->second.owner;
}

void LeaseServer::setView(RoutingView const& view, Instant now)
{
    for (auto entry = m_owned.begin(); entry != m_owned.end();) {
        if (view.ownerOf(entry->first) == view.self()) {
            ++entry;
            continue;
        }
        handOver(entry->second);
        entry = m_owned.erase(entry);
    }
    for (auto const& upstream : view.upstreams()) {
        if (view.ownerOf(upstream.id) != view.self())
            continue;
        if (!m_owned.contains(upstream.id)) {
            bool const isNewUpstream = m_hasView && !m_view.find(upstream.id);
            auto const start = isNewUpstream ? UpstreamOwner::Start::FreshUpstream : UpstreamOwner::Start::Takeover;
            m_owned.emplace(upstream.id, Owned { upstream.pool, UpstreamOwner(m_hooks.policyOf(upstream.pool), start, now) });
        }
        m_owned.at(upstream.id).owner.setLeaving(upstream.isLeaving);
    }
    for (auto& [id, owned] : m_owned)
        owned.owner.dropRequestsOfEntries([&](VMId entry) { return !view.hasDaemon(entry); });
    m_view = view;
    m_hasView = true;
    updateOwnLoads();
}

// Redirects the queued requests to the new owner. The new owner learns of the open leases
// from the entry daemons that hold them, not from here.
void LeaseServer::handOver(Owned& owned)
{
    for (auto const& waiting : owned.owner.drainQueue()) {
        LeaseResponse response;
        response.lease = waiting.lease;
        response.kind = LeaseResponseKind::NotOwner;
        m_hooks.send(waiting.entry, response);
    }
}

void LeaseServer::handle(LeaseRequest const& request, VMId from, Instant now)
{
    auto const found = m_owned.find(request.upstream);
    if (found == m_owned.end()) {
        LeaseResponse response;
        response.lease = request.lease;
        response.kind = LeaseResponseKind::NotOwner;
        m_hooks.send(from, response);
        return;
    }
    auto& owned = found->second;
    auto const weight = m_hooks.weightOf(request.organisation);
    m_hooks.send(from, owned.owner.requestLease(request, from, weight, m_loads.mean(owned.pool, now), now));
    m_loads.piggyback(owned.pool, from, now);
}

LeaseServer::Owned* LeaseServer::findByLease(LeaseId lease)
{
    for (auto& [id, owned] : m_owned) {
        if (owned.owner.hasLeaseOrRequest(lease))
            return &owned;
    }
    return nullptr;
}

void LeaseServer::handle(LeaseRelease const& release, Instant now)
{
    auto* owned = findByLease(release.lease);
    if (!owned)
        return;
    owned->owner.release(release, now);
    poll(*owned, now);
}

void LeaseServer::handle(LeaseRenewal const& renew, VMId from, Instant now)
{
    if (auto* owner = find(renew.upstream))
        owner->renew(renew, from, now);
}

void LeaseServer::handle(ChatMoved const& moved)
{
    if (auto* owner = find(moved.upstream))
        owner->setMoved(moved.chat, moved.to);
}

void LeaseServer::poll(Owned& owned, Instant now)
{
    for (auto const& addressed : owned.owner.poll(m_loads.mean(owned.pool, now), now))
        m_hooks.send(addressed.entry, addressed.response);
}

void LeaseServer::updateOwnLoads()
{
    struct Sum {
        uint64_t load { 0 };
        uint64_t upstreams { 0 };
    };
    std::unordered_map<PoolId, Sum> sums;
    for (auto& [id, owned] : m_owned) {
        auto& sum = sums[owned.pool];
        sum.load += owned.owner.load();
        sum.upstreams += owned.owner.isLeaving() ? 0 : 1;
    }
    m_loads.clearOwnLoads();
    for (auto const& [pool, sum] : sums)
        m_loads.setOwnLoad(pool, sum.load, sum.upstreams);
}

void LeaseServer::tick(Instant now)
{
    for (auto& [id, owned] : m_owned)
        poll(owned, now);
    updateOwnLoads();
    m_loads.tick(m_view, now);
}

void LeaseServer::refreshPolicies()
{
    for (auto& [id, owned] : m_owned)
        owned.owner.setPolicy(m_hooks.policyOf(owned.pool));
}

size_t LeaseServer::queued() const
{
    size_t total = 0;
    for (auto const& [id, owned] : m_owned)
        total += owned.owner.queued();
    return total;
}

}

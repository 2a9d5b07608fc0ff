#include <LibRouting/AdmissionController.h>

namespace Stagepost {

AdmissionController::AdmissionController(VMId self, Hooks hooks)
    : m_self(self)
    , m_hooks(std::move(hooks))
    , m_leaseServer({
          [this](VMId to, RoutingMessage message) { enqueue(to, std::move(message), true); },
          [this](VMId to, RoutingMessage message) { enqueue(to, std::move(message), false); },
          m_hooks.policyOf,
          m_hooks.weightOf,
          m_hooks.random,
      })
    , m_leaseClient(self, {
                              [this](VMId to, RoutingMessage message) { enqueue(to, std::move(message), true); },
                              [this](VMId to, RoutingMessage message) { enqueue(to, std::move(message), false); },
                              m_hooks.policyOf,
                              [this](PoolId pool, VMId to) { m_leaseServer.loads().piggyback(pool, to, m_now); },
                              m_hooks.random,
                          })
    , m_shares([this](VMId to, RoutingMessage message) { enqueue(to, std::move(message), true); }, m_hooks.limitsOf)
{
}

void AdmissionController::enqueue(VMId to, RoutingMessage message, bool isUrgent)
{
    auto& outgoing = m_outgoing[to];
    outgoing.messages.push_back(std::move(message));
    outgoing.isUrgent = outgoing.isUrgent || isUrgent;
}

// Delivers messages to this daemon itself until there are no more, and sends all queued
// messages to each other daemon in one datagram. Without includeBatched, skips the daemons that
// have only batched messages queued.
void AdmissionController::flush(Instant now, bool includeBatched)
{
    while (true) {
        auto const own = m_outgoing.find(m_self);
        if (own == m_outgoing.end())
            break;
        auto const messages = std::move(own->second.messages);
        m_outgoing.erase(own);
        for (auto const& message : messages)
            deliver(m_self, message, now);
    }
    for (auto entry = m_outgoing.begin(); entry != m_outgoing.end();) {
        if (!includeBatched && !entry->second.isUrgent) {
            ++entry;
            continue;
        }
        m_hooks.send(entry->first, encodeMessages(entry->second.messages));
        entry = m_outgoing.erase(entry);
    }
}

void AdmissionController::deliver(VMId from, RoutingMessage const& message, Instant now)
{
    struct Visitor {
        AdmissionController& controller;
        VMId from;
        Instant now;
        void operator()(LeaseRequest const& request) const { controller.m_leaseServer.handle(request, from, now); }
        void operator()(LeaseResponse const& response) const { controller.m_leaseClient.handle(response, from, now); }
        void operator()(LeaseRelease const& release) const { controller.m_leaseServer.handle(release, now); }
        void operator()(LeaseRenewal const& renew) const { controller.m_leaseServer.handle(renew, from, now); }
        void operator()(ChatMoved const& moved) const { controller.m_leaseServer.handle(moved); }
        void operator()(PoolReport const& report) const { controller.m_leaseServer.loads().receive(report, from, now); }
        void operator()(DemandReport const& report) const { controller.m_shares.receive(report, from, now); }
        void operator()(DemandShare const& share) const { controller.m_shares.receive(share, now); }
    };
    std::visit(Visitor { *this, from, now }, message);
}

Result<void> AdmissionController::receive(VMId from, std::string_view bytes, Instant now)
{
    m_now = now;
    auto const messages = decodeMessages(bytes, from, m_self);
    if (!messages)
        return messages.error();
    for (auto const& message : *messages)
        deliver(from, message, now);
    flush(now, false);
    return {};
}

void AdmissionController::setView(RoutingView const& view, Instant now)
{
    m_now = now;
    m_view = view;
    m_leaseServer.setView(view, now);
    m_shares.setView(view);
    m_leaseClient.setView(view, now);
    flush(now, true);
}

void AdmissionController::tick(Instant now)
{
    m_now = now;
    m_leaseServer.tick(now);
    m_leaseClient.tick(now);
    m_shares.tick(now);
    flush(now, true);
}

LeaseClient::RequestNumber AdmissionController::acquire(PlacementRequest const& request, Instant now, LeaseClient::PlacedCallback placed)
{
    m_now = now;
    auto const number = m_leaseClient.acquire(request, now, std::move(placed));
    flush(now, false);
    return number;
}

void AdmissionController::cancel(LeaseClient::RequestNumber number, Instant now)
{
    m_leaseClient.cancel(number, now);
    flush(now, false);
}

void AdmissionController::release(LeaseId lease, LeaseOutcome outcome, Instant now)
{
    m_leaseClient.release(lease, outcome);
    flush(now, false);
}

std::optional<Refusal> AdmissionController::admitOrganisation(OrganisationId organisation, Instant now)
{
    return m_shares.admit(organisation, now);
}

void AdmissionController::refreshSettings()
{
    m_leaseServer.refreshPolicies();
    m_shares.refreshLimits();
}

}

#include <stagepostd/ServiceBoard.h>

#include <LibBase/Log.h>

namespace Stagepost {

ServiceBoard::Entry& ServiceBoard::service(std::string const& name)
{
    auto& entry = m_services[name];
    if (!entry) {
        entry = std::make_unique<Entry>(Entry { ServicePlacement(m_bounds.placement, m_random), RetryBudget(m_bounds.retries) });
        entry->retries.setShare(m_retryShare);
    }
    return *entry;
}

void ServiceBoard::setRetryShare(double share)
{
    m_retryShare = share;
    for (auto const& [name, entry] : m_services)
        entry->retries.setShare(share);
}

void ServiceBoard::update(std::map<std::string, UpstreamRecord> const& records)
{
    std::map<std::string, std::vector<ServiceUpstream>> byService;
    for (auto const& [name, entry] : m_services)
        byService[name];
    m_targets.clear();
    for (auto const& [instance, record] : records) {
        auto endpoint = Endpoint::parse(record.address);
        if (!endpoint) {
            logEvent(LogLevel::Warning, "upstream-skipped", { { "instance", instance }, { "reason", "its address is not IP:PORT" }, { "address", record.address } });
            continue;
        }
        m_targets[record.id()] = { instance, std::move(*endpoint) };
        byService[record.service].push_back({ record.id(), record.hall == m_bounds.hall, record.slots, record.isLeaving });
    }
    for (auto const& [name, upstreams] : byService)
        service(name).placement.setUpstreams(upstreams);
}

ServiceBoard::Target const* ServiceBoard::target(UpstreamId id) const
{
    auto const found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

}

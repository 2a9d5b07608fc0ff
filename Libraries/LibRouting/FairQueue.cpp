#include <LibRouting/FairQueue.h>

#include <algorithm>
#include <cmath>

namespace Stagepost {

namespace {

    size_t levelIndex(Priority priority)
    {
        return static_cast<size_t>(priority);
    }

}

void FairQueue::push(WaitingRequest request)
{
    auto& level = m_levels[levelIndex(request.priority)];
    auto& flow = level.flows[request.organisation];
    flow.weight = request.weight;
    if (flow.requests.empty())
        flow.startTag = std::max(flow.startTag, level.virtualTime);
    flow.requests.push_back(request);
    ++level.size;
}

std::optional<WaitingRequest> FairQueue::pop()
{
    auto& urgent = m_levels[levelIndex(Priority::Urgent)];
    auto& bulk = m_levels[levelIndex(Priority::Bulk)];
    if (!urgent.size)
        return popFrom(bulk);
    if (bulk.size) {
        m_bulkCredit += m_bulkShare;
        if (m_bulkCredit >= 1) {
            m_bulkCredit -= 1;
            return popFrom(bulk);
        }
    }
    return popFrom(urgent);
}

std::optional<WaitingRequest> FairQueue::popFrom(Level& level)
{
    if (!level.size)
        return {};
    auto next = level.flows.end();
    for (auto flow = level.flows.begin(); flow != level.flows.end(); ++flow) {
        if (next == level.flows.end() || flow->second.startTag < next->second.startTag)
            next = flow;
    }
    auto& flow = next->second;
    auto const request = flow.requests.front();
    flow.requests.pop_front();
    level.virtualTime = flow.startTag;
    flow.startTag += 1 / flow.weight;
    --level.size;
    if (flow.requests.empty())
        level.flows.erase(next);
    return request;
}

template <typename Predicate>
std::vector<WaitingRequest> FairQueue::removeIf(Predicate matches)
{
    std::vector<WaitingRequest> removed;
    for (auto& level : m_levels) {
        for (auto flow = level.flows.begin(); flow != level.flows.end();) {
            auto& requests = flow->second.requests;
            for (auto const& request : requests) {
                if (matches(request))
                    removed.push_back(request);
            }
            level.size -= std::erase_if(requests, matches);
            flow = requests.empty() ? level.flows.erase(flow) : std::next(flow);
        }
    }
    return removed;
}

bool FairQueue::remove(LeaseId lease)
{
    return !removeIf([&](auto const& request) { return request.lease == lease; }).empty();
}

std::vector<WaitingRequest> FairQueue::removeExpired(Instant now)
{
    if (!size())
        return {};
    return removeIf([&](auto const& request) { return request.expiresAt <= now; });
}

void FairQueue::removeRequestsOfEntries(std::function<bool(VMId)> const& isGone)
{
    removeIf([&](auto const& request) { return isGone(request.entry); });
}

bool FairQueue::contains(LeaseId lease) const
{
    for (auto const& level : m_levels) {
        for (auto const& [organisation, flow] : level.flows) {
            if (std::any_of(flow.requests.begin(), flow.requests.end(), [&](auto const& request) { return request.lease == lease; }))
                return true;
        }
    }
    return false;
}

// Counts all requests of the organisation's own flow. Of each other flow, counts as many
// as its weight lets it serve in the meantime. For a bulk request, counts all urgent ones.
size_t FairQueue::countAhead(Priority priority, OrganisationId organisation, double weight) const
{
    auto const& level = m_levels[levelIndex(priority)];
    auto const own = level.flows.find(organisation);
    auto const ownFlowLength = own == level.flows.end() ? 0 : own->second.requests.size();
    auto const rounds = static_cast<double>(ownFlowLength + 1) / weight;
    size_t total = ownFlowLength;
    for (auto const& [other, flow] : level.flows) {
        if (other != organisation)
            total += std::min(flow.requests.size(), static_cast<size_t>(std::ceil(rounds * flow.weight)));
    }
    if (priority == Priority::Bulk)
        total += m_levels[levelIndex(Priority::Urgent)].size;
    return total;
}

}

#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <LibRouting/PlacementRequest.h>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace Stagepost {

// A request that is queued for a slot at an upstream.
struct WaitingRequest {
    LeaseId lease;
    VMId entry;
    OrganisationId organisation;
    double weight { 1 };
    Priority priority { Priority::Bulk };
    ChatId chat;
    uint32_t contextTokens { 0 };
    Instant enqueuedAt;
    Instant expiresAt;
};

// The queue of one upstream. Urgent requests are served first, but a minimum share of
// the slots goes to bulk requests so that they are never starved. Within a priority,
// start-time fair queueing divides the slots among the organisations by weight, so
// that a burst from one organisation delays only that organisation.
class FairQueue {
public:
    explicit FairQueue(double bulkShare)
        : m_bulkShare(bulkShare)
    {
    }

    void push(WaitingRequest);
    // Dequeues the next request.
    std::optional<WaitingRequest> pop();
    // Dequeues the next urgent request, for when only urgent requests may start.
    std::optional<WaitingRequest> popUrgent() { return popFrom(m_levels[0]); }
    bool remove(LeaseId);
    // Removes and returns the requests whose wait has timed out.
    std::vector<WaitingRequest> removeExpired(Instant now);
    // Removes the requests of entry daemons that have left the fleet.
    void removeRequestsOfEntries(std::function<bool(VMId)> const& isGone);
    bool contains(LeaseId) const;

    size_t size() const { return m_levels[0].size + m_levels[1].size; }
    // Estimates how many requests would be served before a new one of this organisation.
    size_t countAhead(Priority, OrganisationId, double weight) const;

private:
    struct Flow {
        std::deque<WaitingRequest> requests;
        double weight { 1 };
        // The start tag of the flow's next request, in virtual time.
        double startTag { 0 };
    };
    struct Level {
        std::map<OrganisationId, Flow> flows;
        double virtualTime { 0 };
        size_t size { 0 };
    };

    std::optional<WaitingRequest> popFrom(Level&);
    template <typename Predicate>
    std::vector<WaitingRequest> removeIf(Predicate);

    double m_bulkShare;
    // Accumulates bulkShare for each dequeue while both priorities are queued. A bulk
    // request is served for each whole unit.
    double m_bulkCredit { 0 };
    std::array<Level, 2> m_levels;
};

}

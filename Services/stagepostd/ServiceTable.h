#pragma once

#include <LibMembership/UpstreamDirectory.h>
#include <LibProxy/Endpoint.h>
#include <LibRouting/AdmissionGate.h>
#include <LibRouting/RetryBudget.h>
#include <LibRouting/ServicePlacement.h>
#include <map>
#include <memory>
#include <set>

namespace Stagepost {

// The services of a gateway: for each, who its upstreams are, how they do, and
// what may be spent on retries.
class ServiceTable {
public:
    struct Bounds {
        std::string hall;
        ServicePlacement::Bounds placement;
        RetryBudget::Bounds retries;
    };

    struct Entry {
        ServicePlacement placement;
        RetryBudget retries;
        AdmissionGate gate;
    };

    // Called where an upstream's process is gone or was replaced: connections to it that
    // rest are of no use to what is there now.
    using UpstreamRemovedCallback = std::function<void(Endpoint const&)>;

    struct Target {
        std::string instance;
        Endpoint endpoint;
        std::string service;
        HallId hall;
        // What its record says of it.
        size_t slots { 1 };
        bool isLeaving { false };
    };

    ServiceTable(Bounds bounds, RandomHook random, UpstreamRemovedCallback upstreamRemoved)
        : m_bounds(std::move(bounds))
        , m_random(std::move(random))
        , m_upstreamRemoved(std::move(upstreamRemoved))
    {
    }

    // Takes over that an upstream is there now, has changed or is gone.
    void apply(UpstreamChange const&, Instant now);

    // Operators empty that hall, or take that back: its upstreams get nothing further
    // meanwhile, and still give the contexts that they hold. Those of one that was taken back
    // count as just started: they may be cold, and their contexts would all return at once.
    void setHallEmptied(HallId, bool isEmptied, Instant now);
    // The upstream says that it stays cold for so long.
    void markCold(UpstreamId, Milliseconds left, Instant now);

    // The upstream's own answer says that it leaves. No record takes that back: one may be
    // older, or come back with a store that has lost its last seconds.
    void markLeaving(UpstreamId, Instant now);

    // This daemon's part of what the fleet may spend on retries, from 0 to 1.
    void setRetryShare(double);

    // Services are made when they are first asked for and then stay.
    Entry& service(std::string const& name);
    Target const* target(UpstreamId) const;
    // The start of the upstream that is a target now.
    std::optional<UpstreamId> currentId(std::string const& instance) const;
    // Which upstreams and halls have fallen silent.
    SilenceWatch& silence() { return m_silence; }
    std::map<std::string, std::unique_ptr<Entry>> const& services() const { return m_services; }
    size_t upstreamCount() const { return m_targets.size(); }

private:
    void remove(std::string const& instance);
    void updatePlacement(UpstreamId, Target const&);
    void applyColdTime(UpstreamRecord const&, Instant now);
    void removeReplaced(UpstreamRecord const&);

    Bounds m_bounds;
    RandomHook m_random;
    UpstreamRemovedCallback m_upstreamRemoved;
    double m_retryShare { 0 };
    SilenceWatch m_silence;
    std::map<std::string, std::unique_ptr<Entry>> m_services;
    std::map<UpstreamId, Target> m_targets;
    std::set<HallId> m_emptiedHalls;
    // Upstreams that announced in their answers that they leave, and when.
    std::map<UpstreamId, Instant> m_announcedLeaving;
    // Which start of each upstream is a target.
    std::map<std::string, UpstreamId> m_currentIds;
};

}

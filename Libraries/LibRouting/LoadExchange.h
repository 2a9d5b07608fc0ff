#pragma once

#include <LibBase/Hooks.h>
#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <LibRouting/RoutingMessage.h>
#include <functional>
#include <map>
#include <unordered_map>

namespace Stagepost {

class RoutingView;

// Estimates the mean load of each pool by gossip, without a central aggregator. Every owner
// reports its own load, piggybacked on messages about requests, which reach random owners,
// and in periodic messages to a few random daemons. The mean covers all recent reports: the
// whole pool in a small fleet, a sample of it in a large one.
class LoadExchange {
public:
    using Send = std::function<void(VMId to, RoutingMessage)>;

    static constexpr Microseconds pushInterval { 500000 };
    // Number of random daemons that each push goes to. Every two piggybacked reports since the
    // last push reduce it by one.
    static constexpr size_t pushTargets = 3;
    // Older reports are left out of the mean.
    static constexpr Microseconds reportLifetime { 3000000 };
    // Minimum time between two piggybacked reports to the same daemon.
    static constexpr Microseconds repeatInterval { 1000000 };

    LoadExchange(Send send, RandomHook random)
        : m_send(std::move(send))
        , m_random(std::move(random))
    {
    }

    // Sets the load that this daemon counts in a pool, over the upstreams that it owns there.
    void setOwnLoad(PoolId pool, uint64_t load, uint64_t upstreams) { m_own[pool] = { pool, load, upstreams }; }
    void clearOwnLoads() { m_own.clear(); }

    // Sends this daemon's report to a daemon that is being sent another message anyway.
    void piggyback(PoolId, VMId to, Instant now);
    // Pushes the reports to a few random daemons if the push interval has passed.
    void tick(RoutingView const&, Instant now);
    void receive(PoolReport const&, VMId from, Instant now);

    // The pool's mean load per upstream.
    double mean(PoolId, Instant now) const;

private:
    struct ReceivedReport {
        PoolReport report;
        Instant receivedAt;
    };

    Send m_send;
    RandomHook m_random;
    std::unordered_map<PoolId, PoolReport> m_own;
    std::unordered_map<PoolId, std::map<VMId, ReceivedReport>> m_reports;
    std::unordered_map<VMId, Instant> m_lastSentAt;
    Instant m_pushedAt;
    size_t m_piggybackedReports { 0 };
};

}

#pragma once

#include <LibBase/FleetPeer.h>
#include <LibBase/QuestionNumbers.h>
#include <LibBase/Time.h>
#include <LibRouting/ContextHolders.h>
#include <LibRouting/HolderMessage.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Stagepost {

// Finds upstreams that a context can be copied from when it is placed on an upstream that has not
// had it: copying a context takes a fraction of the time of computing it again. Rendezvous hashing
// assigns each context a home, the daemon that keeps the directory of its holders. The home is
// told of each upstream that the context is placed on for the first time, and responds with the
// upstreams that had it before.
//
// Only such placements cost messages. If the home does not respond within a few milliseconds, the
// caller gets no holders and has to guess the source.
class HolderExchange {
public:
    struct Bounds {
        // A round trip between regions takes 16 ms.
        Microseconds responseTimeout { 25000 };
        // How long the response of a home that has timed out is not waited for.
        Microseconds suspectDuration { 5000000 };
        // At 330 daemons, each is the home of 18,000 of 5.9 million contexts.
        size_t maxContexts { 32768 };
    };
    struct Hooks {
        std::function<void(VMId to, std::string bytes)> send;
        RandomHook random;
    };
    // Receives the upstreams that had the context before, most recent first; empty if unknown.
    using Callback = std::function<void(std::vector<UpstreamId> const&)>;

    HolderExchange(FleetPeer self, Bounds bounds, Hooks hooks)
        : m_self(self)
        , m_bounds(bounds)
        , m_hooks(std::move(hooks))
        , m_holders(bounds.maxContexts)
        , m_queryNumbers(m_hooks.random)
    {
    }

    // Sets the other registered daemons, and which daemons are relays. A relay is a home only if
    // all daemons are relays, since relaying takes most of a daemon's send budget.
    void setPeers(std::vector<FleetPeer> const&, std::vector<VMId> const& relays);
    // Records that the context is placed on an upstream that has not had it. Invokes the callback
    // synchronously if this daemon is the home, or if the home has timed out recently.
    void recordPlacement(uint64_t context, UpstreamId, Callback, Instant now);

    // Error: Malformed.
    Result<void> receive(VMId from, std::string_view bytes, Instant now);
    void tick(Instant now);
    // The earliest deadline of the pending queries.
    std::optional<Instant> nextTimeout() const;

private:
    struct Pending {
        VMId home;
        Instant deadline;
        Callback callback;
    };

    VMId homeOf(uint64_t context) const;
    void complete(uint64_t queryId, std::vector<UpstreamId> const&);

    FleetPeer m_self;
    Bounds m_bounds;
    Hooks m_hooks;
    ContextHolders m_holders;
    // Daemons that can be homes; may include this one.
    std::vector<VMId> m_homes;
    std::map<VMId, Instant> m_suspectedUntil;
    std::map<uint64_t, Pending> m_pending;
    QuestionNumbers m_queryNumbers;
};

}

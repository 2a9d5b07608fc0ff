#pragma once

#include <LibBase/FleetPeer.h>
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

// Finds out where a context may be copied from when it goes to an upstream that has not had
// it: copying takes a fraction of the time of reading it again. Each context has one home, a
// daemon of the fleet that all agree on by rendezvous. It is told of each upstream that the
// context goes to for the first time, and answers which ones had it before.
//
// Only such requests cost messages. A home that does not answer costs a few milliseconds,
// and then the source is guessed as if there were none of this.
class HolderExchange {
public:
    struct Bounds {
        // How long an answer is waited for: a round trip between regions is 16 ms.
        Microseconds patience { 25000 };
        // A home that has not answered is not asked for that long.
        Microseconds suspicion { 5000000 };
        // At 330 daemons each is the home of 18,000 of 5.9 million contexts.
        size_t mostContexts { 32768 };
    };
    struct Hooks {
        std::function<void(VMId to, std::string bytes)> send;
    };
    // Who had the context before, the newest first; empty where nobody knows.
    using Callback = std::function<void(std::vector<UpstreamId> const&)>;

    HolderExchange(FleetPeer self, Bounds bounds, Hooks hooks)
        : m_self(self)
        , m_bounds(bounds)
        , m_hooks(std::move(hooks))
        , m_holders(bounds.mostContexts)
    {
    }

    // All other daemons that are registered, and who of all are relays: those are homes only where
    // there is nobody else, since what they tell takes most of what a daemon may send.
    void setPeers(std::vector<FleetPeer> const&, std::vector<VMId> const& relays);
    // The context goes to an upstream that has not had it. Calls back at once where this daemon
    // is its home, or the home does not answer at present.
    void placed(uint64_t context, UpstreamId, Callback, Instant now);

    // Error: Malformed.
    Result<void> receive(VMId from, std::string_view bytes, Instant now);
    void tick(Instant now);
    // When an answer that is waited for is overdue.
    std::optional<Instant> nextTimeout() const;

private:
    struct Pending {
        VMId home;
        Instant dueAt;
        Callback callback;
    };

    VMId homeOf(uint64_t context) const;
    void finish(uint64_t number, std::vector<UpstreamId> const&);

    FleetPeer m_self;
    Bounds m_bounds;
    Hooks m_hooks;
    ContextHolders m_holders;
    // Who may be a home, this daemon among them.
    std::vector<VMId> m_homes;
    std::map<VMId, Instant> m_suspectedUntil;
    std::map<uint64_t, Pending> m_pending;
    uint64_t m_lastNumber { 0 };
};

}

#pragma once

#include <LibBase/FleetPeer.h>
#include <LibBase/Hooks.h>
#include <LibBase/QuestionNumbers.h>
#include <LibRouting/DetourMessage.h>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Stagepost {

// Finds other daemons that can send requests to upstreams in place of this one while its own links
// are lost. A daemon without links asks a few random ones; each answer says whether its sender
// reaches upstreams, and names others that do. So the knowledge spreads in a few rounds, even if a
// single daemon of the whole fleet is left, and no daemon sends anything while its links work.
//
// Requests go to the less loaded of two random daemons among those known, by the loads that these
// report and this daemon's own requests there, so that a cut does not move its load onto one daemon.
class DetourExchange {
public:
    struct Bounds {
        // Daemons asked in each round.
        size_t queriesPerRound { 3 };
        // While too few daemons are known, and otherwise.
        Microseconds searchInterval { 50000 };
        Microseconds refreshInterval { 250000 };
        // Daemons to know before the interval of the rounds rises.
        size_t wantedDaemons { 4 };
        // What was learnt about a daemon longer ago is not used any more.
        Microseconds knowledgeLifetime { 1000000 };
        // How long after the loss of the links requests may wait for the first answer.
        Microseconds searchTime { 300000 };
        // A daemon that failed a request is not chosen for so long, unless it answers a query.
        Microseconds avoidTime { 500000 };
        // Daemons named in an answer.
        size_t hintsPerResponse { 4 };
    };
    struct Hooks {
        std::function<void(VMId to, std::string bytes)> send;
        // Whether this daemon reaches upstreams and takes requests of others.
        std::function<bool()> isAvailable;
        // The requests that it is sending for others.
        std::function<size_t()> load;
        RandomHook random;
    };
    // Receives the chosen daemon; none if no daemon is known to be available.
    using Callback = std::function<void(std::optional<VMId>)>;

    DetourExchange(FleetPeer self, Bounds bounds, Hooks hooks)
        : m_self(self)
        , m_bounds(bounds)
        , m_hooks(std::move(hooks))
        , m_queryNumbers(m_hooks.random)
    {
    }

    void setPeers(std::vector<FleetPeer> const&);

    // Starts or ends the search for available daemons. Starts it while the links are only suspected,
    // so that answers are there once they are lost.
    void setSearching(bool, Instant now);
    // Chooses a daemon that is not among the excluded ones. The callback runs before this function
    // returns, unless the search has just begun and nothing is known yet.
    void choose(std::vector<VMId> const& excluded, Callback, Instant now);
    // This daemon sends a request through the chosen one, until it calls ended().
    void started(VMId);
    // The request has ended. If the other daemon failed or refused it for a reason of its own, it is
    // avoided for a while.
    void ended(VMId, bool hasFailed, Instant now);

    // Error: Malformed.
    Result<void> receive(VMId from, std::string_view bytes, Instant now);
    void tick(Instant now);
    // When the longest waiting call of choose() is answered at the latest.
    std::optional<Instant> nextTimeout() const;
    size_t availableCount(Instant now) const;

private:
    struct Daemon {
        Instant heardAt;
        size_t load { 0 };
        size_t ownRequests { 0 };
        bool isAvailable { false };
        Instant avoidUntil;
    };
    struct Query {
        uint64_t id { 0 };
        VMId to;
        Instant sentAt;
    };
    struct Pending {
        std::vector<VMId> excluded;
        Callback callback;
        Instant deadline;
    };

    bool isUsable(Daemon const&, Instant now) const;
    std::optional<VMId> pick(std::vector<VMId> const& excluded, Instant now) const;
    void learn(VMId, Instant heardAt, size_t load);
    void sendQueries(Instant now);
    void forgetOldQueries(Instant now);
    // Whether the response answers a recent query of this process, which is then forgotten.
    bool takeQuery(uint64_t id, VMId to, Instant now);
    DetourResponse respond(DetourQuery const&, VMId to, Instant now) const;
    void answerPending(Instant now);

    FleetPeer m_self;
    Bounds m_bounds;
    Hooks m_hooks;
    std::vector<VMId> m_peers;
    std::map<VMId, Daemon> m_daemons;
    std::vector<Pending> m_pending;
    std::optional<Instant> m_searchingSince;
    Instant m_nextRoundAt;
    QuestionNumbers m_queryNumbers;
    // The queries that may still be answered, in the order of their times.
    std::deque<Query> m_queries;
};

}

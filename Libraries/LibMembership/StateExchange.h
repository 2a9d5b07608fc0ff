#pragma once

#include <LibBase/FleetPeer.h>
#include <LibMembership/LoadAggregator.h>
#include <LibMembership/StateMessage.h>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Stagepost {

// Keeps the beliefs of a fleet fresh with few reads of the store. In each hall
// some daemons are relays, in an order that all agree on. The first of them, the
// reader, reads the store; the other relays ask the reader, and everybody else
// asks a relay. An ask carries the asker's own time, and it is answered only by
// beliefs that were proven after the ask arrived, so the asker's belief is proven
// as of the moment at which it asked, however long any message took. When the
// reader does not answer, the next relay reads in its place. A daemon that gets
// no proof in time reads the store itself, and one that cannot do that either
// asks others, so what a single daemon can read keeps all fresh that reach it.
//
// Beside that daemons tell one another how many requests they have in flight at each
// upstream: each its own to its relay, the relays of a hall their groups' sums to one
// another, each of them its hall's sum to a relay of each other hall, and everybody's
// down again. So no daemon sends to more than its hall's relays and as many halls.
class StateExchange {
public:
    struct Bounds {
        // From one ask to the next. Relays ask more often: others wait for them.
        Microseconds askInterval { 400000 };
        Microseconds relayAskInterval { 200000 };
        // With a belief older than this a daemon reads the store itself. Beliefs
        // that came by two asks are as old as both and the reader's interval.
        Microseconds fallbackAge { 1600000 };
        // With one older than this it reads the registry of daemons as well: all that it
        // knows may be gone. Sooner, a whole fleet would do so in each outage of the store.
        Microseconds registryFallbackAge { 10000000 };
        // How many daemons of a hall share one relay: so many asks and answers a
        // relay can send within a daemon's few kilobytes a second.
        size_t groupSize { 8 };
        // Without an answer for this long another daemon is asked. This one is asked
        // besides, once in the time of suspicion, until it answers.
        Microseconds answerPatience { 1000000 };
        Microseconds suspicion { 5000000 };
        // The least interval of requests in flight, which grows with what has to be
        // told so that a relay sends no more than these bytes a second to other relays,
        // and as many again to its group; the two and the answers keep it within a
        // daemon's few kilobytes a second.
        Microseconds loadsInterval { 250000 };
        double loadsBytesPerSecond { 2600 };
    };

    // What this daemon believes, and how that is changed.
    struct Beliefs {
        std::function<StateSummary()> summary;
        // As of when all of the own beliefs are proven.
        std::function<std::optional<Instant>()> provenAt;
        // The own beliefs are right as of then.
        std::function<void(Instant)> confirmed;
        // What has changed since a list of that hash, if that is known and little.
        std::function<std::vector<UpstreamChange>(uint64_t upstreamsHash)> changesSince;
        // Changes the own list of upstreams, which is older than the time.
        std::function<void(std::vector<UpstreamChange> const&, Instant provenAt)> applyChanges;
        // What has changed in the registry of daemons since that version, if that is
        // known and little.
        std::function<std::optional<std::vector<RegistryRecord>>(uint64_t version)> registrySince;
        // Changes the own list of daemons, which is older, to that version.
        std::function<void(std::vector<RegistryRecord> const&, uint64_t version)> applyRegistry;
        // Which halls operators empty.
        std::function<EmptiedHallsState()> emptiedHalls { [] { return EmptiedHallsState {}; } };
        // What another daemon knows of that, proven as of the time or not at all.
        std::function<void(EmptiedHallsState const&, std::optional<Instant> provenAt)> takeEmptiedHalls { [](auto const&, auto const&) {} };
        // The upstreams of the list with that hash, in its order, if it is known.
        LoadAggregator::ListHook upstreamsOf;
        std::function<std::vector<UpstreamInFlight>()> ownInFlight;
        // What all other daemons had in flight so long ago.
        std::function<void(std::vector<UpstreamInFlight> const&, Microseconds age)> othersInFlight;
    };

    struct Hooks {
        std::function<void(VMId to, std::string bytes)> send;
        // That daemon believes something else, proven as of the time or not at all.
        std::function<void(VMId from, StateSummary const&, std::optional<Instant> provenAt)> differs;
        Beliefs beliefs;
    };

    // The process number is drawn at random at each start.
    StateExchange(FleetPeer self, uint64_t process, Bounds bounds, Hooks hooks)
        : m_self(self)
        , m_process(process)
        , m_bounds(bounds)
        , m_hooks(std::move(hooks))
        , m_loads(m_hooks.beliefs.upstreamsOf)
    {
    }

    // All other daemons that are registered.
    void setPeers(std::vector<FleetPeer>);

    // Error: Malformed.
    Result<void> receive(VMId from, std::string_view bytes, Instant now);
    void tick(Instant now);
    // The own beliefs were proven anew: asks may be answered now.
    void proven(Instant now);
    // The own beliefs have changed.
    void changed(Instant now);

    bool isRelay() const { return m_isRelay; }
    // Whether it reads the store for others: the first relay of its hall, or the
    // next one while that does not answer.
    bool isReader() const;
    // Whether this daemon is to read the store now.
    bool needsStore(Instant now) const;
    // Whether this daemon is to read the registry now: nobody tells it, or others
    // have come too far to tell it.
    bool needsRegistry(Instant now) const;
    size_t peerCount() const { return m_peers.size(); }
    // Of all halls, this daemon among them where it is one.
    std::vector<VMId> const& relays() const { return m_relays; }
    // Who has asked this daemon for proofs within the last seconds.
    std::vector<VMId> askers() const;
    // Counts that others sent and that contradicted the list they went by.
    size_t unreadableCounts() const { return m_unreadableCounts + m_loads.unreadableCounts(); }

private:
    struct WaitingAsk {
        VMId from;
        uint64_t stamp { 0 };
        uint64_t askingProcess { 0 };
        StateSummary summary;
        Instant arrivedAt;
    };

    Microseconds ageOfProof(Instant now) const;
    bool isStale(Instant now) const;
    std::vector<VMId> relaysOf(HallId) const;
    void orderPeers();
    void orderCounterparts(std::vector<VMId> const& relays);
    std::optional<VMId> whomToAsk(Instant now);
    bool needsProof(Instant now) const;
    void sendAsk(VMId to, Instant now);
    void askSuspected(Instant now);
    void takeAsk(VMId from, StateMessage const&, Instant now);
    void ask(Instant now);
    void takeAnswer(VMId from, StateMessage const&, Instant now);
    void takeLoads(VMId from, StateMessage&&, Instant now);
    void takeRegistry(StateMessage const&);
    void takeOthersInFlight(StateMessage const&);
    void takeNews(VMId from, StateMessage const&);
    void tellOwnLoads(Instant now);
    void tellRelays(Instant now);
    void tellGroup(Instant now);
    AgedTotals withOwn(AgedTotals) const;
    std::string pack(InFlightTotals const&, uint64_t upstreamsHash) const;
    std::string loadsMessage(StateMessage::Kind, AgedTotals const&) const;

    FleetPeer m_self;
    uint64_t m_process;
    Bounds m_bounds;
    Hooks m_hooks;
    std::vector<FleetPeer> m_peers;
    bool m_isRelay { true };
    std::vector<VMId> m_relays;
    // The relays of the own hall that go before this one.
    std::vector<VMId> m_relaysBefore;
    // Whom to ask, the best first.
    std::vector<VMId> m_order;
    // The other relays of the own hall.
    std::vector<VMId> m_hallRelays;
    // Relays of other halls that this one tells its hall's sum, and those that it
    // tells now and then, since whoever else tells them may be gone.
    std::vector<VMId> m_counterparts;
    std::vector<VMId> m_spareCounterparts;
    // Who has not answered, and when it is asked again. Only an answer ends that.
    std::map<VMId, Instant> m_suspectedUntil;
    // Who has asked, and when last.
    std::map<VMId, Instant> m_askers;
    std::optional<VMId> m_asked;
    Instant m_askedAt;
    // Of the first tick: a daemon that has just joined is given time to be told.
    std::optional<Instant> m_startedAt;
    StateSummary m_askedWith;
    std::optional<Instant> m_unansweredSince;
    // Of the registry, which others have and could not tell.
    uint64_t m_missedRegistryVersion { 0 };
    std::vector<WaitingAsk> m_waiting;
    LoadAggregator m_loads;
    size_t m_unreadableCounts { 0 };
    // By which list each daemon of the group reads counts.
    std::map<VMId, uint64_t> m_groupLists;
    Instant m_nextOwnLoadsAt;
    Instant m_nextRelayLoadsAt;
    Instant m_nextGroupLoadsAt;
    Microseconds m_relayLoadsPeriod { 0 };
    size_t m_relayLoadsRound { 0 };
};

}

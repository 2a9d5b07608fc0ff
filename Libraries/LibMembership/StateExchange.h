#pragma once

#include <LibBase/FleetPeer.h>
#include <LibMembership/LoadAggregator.h>
#include <LibMembership/StateMessage.h>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Stagepost {

// Keeps the state of a fleet current with few reads of the store. In each hall some
// daemons are relays, in an order that all daemons agree on. The first relay, the reader,
// reads the store. The other relays query the reader, and all other daemons query a relay.
// A query contains the time at which it was sent, and is only answered once the responder's
// state was confirmed after the query's arrival. So the response confirms the requester's
// state as of that time, regardless of how long the messages took. When the reader doesn't
// respond or says that it cannot read the store, the next relay takes its place. A daemon that gets no confirmation in time reads
// the store itself. One that can't reach the store either queries other daemons, so a single
// daemon with access to the store keeps all daemons current that can reach it.
//
// Daemons also exchange how many requests they have in flight at each upstream. Each sends
// its own counts to its relay. The relays of a hall send the sums of their groups to each
// other, each sends its hall's sum to its counterparts among the relays of the other halls,
// and each sends the totals to its group. So a relay sends to its group, its hall's relays
// and its counterparts only, and every other daemon to one relay.
class StateExchange {
public:
    struct Bounds {
        // The interval between queries. Relays query more often, since other daemons wait for
        // their responses.
        Microseconds queryInterval { 400000 };
        Microseconds relayQueryInterval { 200000 };
        // A daemon with an older state reads the store itself. A state confirmed through a
        // relay and the reader can be as old as both query intervals and the reader's read
        // interval together.
        Microseconds fallbackAge { 1600000 };
        // A daemon with an older state or registry reads the registry of daemons as well, since
        // all daemons that it knows may be gone. With a smaller value, the whole fleet would read
        // it in each outage of the store.
        Microseconds registryFallbackAge { 10000000 };
        // The number of daemons of a hall per relay. A relay can respond to this many within
        // the few kilobytes a second that a daemon may send.
        size_t groupSize { 8 };
        // Without a response for this long, a daemon is suspected and another one is queried.
        Microseconds responseTimeout { 1000000 };
        // The interval at which a suspected daemon is queried in addition, until it responds.
        Microseconds suspectQueryInterval { 5000000 };
        // The minimum interval between messages with requests in flight. It grows with their
        // size, so that a relay sends at most maxLoadsBytesPerSecond to other relays and the
        // same again to its group. Together with the responses that stays within the few
        // kilobytes a second that a daemon may send.
        Microseconds minLoadsInterval { 250000 };
        double maxLoadsBytesPerSecond { 2600 };
    };

    // Access to this daemon's state.
    struct LocalState {
        std::function<StateSummary()> summary;
        // The latest time as of which the whole state was confirmed to be current.
        std::function<std::optional<Instant>()> provenAt;
        // Records that the state was current at this time.
        std::function<void(Instant)> confirm;
        // The state in this summary was current at this time. Confirms the parts that the local
        // state has in common with it, and those that it will have.
        std::function<void(StateSummary const&, Instant provenAt)> confirmParts { [](StateSummary const&, Instant) {} };
        // The changes since the list of upstreams had this hash, or an empty list if they are
        // unknown or too many.
        std::function<std::vector<UpstreamChange>(uint64_t upstreamsHash)> upstreamChangesSince;
        // Applies changes to the list of upstreams, which was last confirmed before this time.
        std::function<void(std::vector<UpstreamChange> const&, Instant provenAt)> applyUpstreamChanges;
        // The changes of the registry of daemons since this version, or none if they are
        // unknown or too many.
        std::function<std::optional<std::vector<RegistryRecord>>(uint64_t version)> registryChangesSince;
        // Applies changes that update the known registry to this newer version.
        std::function<void(std::vector<RegistryRecord> const&, uint64_t version)> applyRegistryChanges;
        // The latest time as of which the registry was confirmed to be current.
        std::function<std::optional<Instant>()> registryProvenAt { [] { return std::nullopt; } };
        // Records that the registry was current at this time.
        std::function<void(Instant)> confirmRegistry { [](Instant) {} };
        // The halls that operators have ordered to be emptied.
        std::function<EmptiedHallsState()> emptiedHalls { [] { return EmptiedHallsState {}; } };
        // Applies another daemon's state of these orders, which was current at the given time
        // if there is one.
        std::function<void(EmptiedHallsState const&, std::optional<Instant> provenAt)> applyEmptiedHalls { [](auto const&, auto const&) {} };
        // The orders to roll out versions. None if roll-outs are switched off.
        std::function<std::optional<RolloutStates>()> rollouts { [] { return std::nullopt; } };
        // Applies another daemon's state of these orders, which was current at the given time
        // if there is one.
        std::function<void(RolloutStates const&, std::optional<Instant> provenAt)> applyRollouts { [](auto const&, auto const&) {} };
        // The list of upstreams with this hash, or null if it is unknown.
        LoadAggregator::ListHook upstreamListForHash;
        std::function<std::vector<UpstreamInFlight>()> ownInFlight;
        // Stores the requests in flight of all other daemons, with their mean age.
        std::function<void(std::vector<UpstreamInFlight> const&, Microseconds age)> setOthersInFlight;
    };

    struct Hooks {
        std::function<void(VMId to, std::string bytes)> send;
        // Another daemon's state differs from the own one. It was current at the given time if
        // there is one.
        std::function<void(VMId from, StateSummary const&, std::optional<Instant> provenAt)> stateDiffers;
        LocalState localState;
    };

    // The process number must be random for each start.
    StateExchange(FleetPeer self, uint64_t process, Bounds bounds, Hooks hooks)
        : m_self(self)
        , m_process(process)
        , m_bounds(bounds)
        , m_hooks(std::move(hooks))
        , m_loads(m_hooks.localState.upstreamListForHash)
    {
    }

    // Sets the registered daemons. This daemon's own entry is ignored.
    void setPeers(std::vector<FleetPeer>);

    // Error: Malformed.
    Result<void> receive(VMId from, std::string_view bytes, Instant now);
    void tick(Instant now);
    // To be called after each read of the store. After repeated failures, the daemons that wait
    // for this reader are told to query another one.
    void storeReadFailed();
    void storeReadSucceeded();
    // To be called when the local state was confirmed: responds to the queries that arrived
    // before the time as of which it is now confirmed.
    void localStateConfirmed(Instant now);
    // To be called when the local state has changed: notifies the recent requesters.
    void localStateChanged(Instant now);

    bool isRelay() const { return m_isRelay; }
    // Whether this daemon reads the store for others: it is a relay, and all relays of its
    // hall before it are suspected.
    bool isReader() const;
    // The daemon that confirms this daemon's state, which is the reader or a relay that knows it. None if this daemon is the
    // reader, or if nobody responds.
    std::optional<VMId> pathToReader() const;
    // Whether this daemon has to read the store now.
    bool needsStore(Instant now) const;
    // Whether this daemon has to read the registry now: it is the reader, gets no
    // confirmations of the state or of the registry, or has missed more changes than others
    // can send.
    bool needsRegistry(Instant now) const;
    size_t peerCount() const { return m_peers.size(); }
    // The relays of all halls, including this daemon if it is one.
    std::vector<VMId> const& relays() const { return m_relays; }
    // The relays of all halls if these were the other daemons of the fleet, and this one did or did not belong to it.
    std::vector<VMId> relaysAmong(std::vector<FleetPeer> const& peers, bool includesSelf) const;
    // The daemons that have queried this one within the last seconds.
    std::vector<VMId> recentRequesters() const;
    // The number of received counts that didn't match their list of upstreams.
    size_t unreadableCounts() const { return m_unreadableCounts + m_loads.unreadableCounts(); }

private:
    struct PendingQuery {
        VMId from;
        uint64_t sentAt { 0 };
        uint64_t requesterProcess { 0 };
        StateSummary summary;
        Instant arrivedAt;
    };

    Microseconds stateAge(Instant now) const;
    bool isStale(Instant now) const;
    std::vector<VMId> relaysOf(HallId) const;
    std::vector<VMId> firstAsRelays(std::vector<VMId> hall) const;
    void orderPeers();
    void orderCounterparts(std::vector<VMId> const& relays);
    std::optional<VMId> selectPeerToQuery(Instant now);
    bool needsConfirmation(Instant now) const;
    void sendQuery(VMId to, Instant now);
    void querySuspectedPeer(Instant now);
    void handleQuery(VMId from, StateMessage const&, Instant now);
    void queryPeer(Instant now);
    void handleResponse(VMId from, StateMessage const&, Instant now);
    void handleLoads(VMId from, StateMessage&&, Instant now);
    void handleRegistryChanges(StateMessage const&);
    void confirmRegistry(StateMessage const&, Instant querySentAt);
    void handleOthersLoads(StateMessage const&);
    void handleNotification(VMId from, StateMessage const&);
    void handleUnavailable(VMId from, Instant now);
    void sendUnavailable();
    bool hasUnsuspectedRelay() const;
    void leavePreviousRelay();
    void sendOwnLoads(Instant now);
    void sendLoadsToRelays(Instant now);
    void sendLoadsToGroup(Instant now);
    AgedTotals withOwnLoads(AgedTotals) const;
    std::string packForList(InFlightTotals const&, uint64_t upstreamsHash) const;
    std::string encodeLoads(StateMessage::Kind, AgedTotals const&) const;

    FleetPeer m_self;
    uint64_t m_process;
    Bounds m_bounds;
    Hooks m_hooks;
    std::vector<FleetPeer> m_peers;
    bool m_isRelay { true };
    std::vector<VMId> m_relays;
    // The relays of the own hall that come before this one.
    std::vector<VMId> m_precedingRelays;
    // The daemons to query, in order of preference.
    std::vector<VMId> m_queryOrder;
    // The other relays of the own hall.
    std::vector<VMId> m_hallRelays;
    // The relays of other halls that get this hall's sum from this relay, and those that get
    // it occasionally, in case their regular sender is gone.
    std::vector<VMId> m_counterparts;
    std::vector<VMId> m_backupCounterparts;
    // The suspected daemons and when each is queried again. Only a response, or leaving the
    // registry, ends a suspicion.
    std::map<VMId, Instant> m_suspectRetryAt;
    // The recent requesters and the time of their last queries.
    std::map<VMId, Instant> m_requesters;
    std::optional<VMId> m_queriedPeer;
    // The relay whose group this daemon has joined by sending its counts.
    std::optional<VMId> m_loadsRelay;
    Instant m_lastQueryAt;
    // The time of the first tick. The state's age counts from it until the state is confirmed,
    // so a daemon that has just joined waits for a confirmation before it reads the store.
    std::optional<Instant> m_startedAt;
    StateSummary m_summaryAtQuery;
    std::optional<Instant> m_unansweredSince;
    // The newest registry version that another daemon has but could not send the changes to.
    uint64_t m_missedRegistryVersion { 0 };
    std::vector<PendingQuery> m_pendingQueries;
    // Whether the last read of the store has succeeded. A reader whose reads fail, or that has only just
    // become the reader, queries other daemons as well.
    bool m_hasReadStore { false };
    // Consecutive failures.
    size_t m_failedReads { 0 };
    LoadAggregator m_loads;
    size_t m_unreadableCounts { 0 };
    // The hash of the list of upstreams that each daemon of the group packs its counts with.
    std::map<VMId, uint64_t> m_groupListHashes;
    Instant m_nextOwnLoadsAt;
    Instant m_nextRelayLoadsAt;
    Instant m_nextGroupLoadsAt;
    Microseconds m_relayLoadsPeriod { 0 };
    size_t m_relayLoadsRound { 0 };
};

}

#pragma once

#include <LibBase/Hooks.h>
#include <LibBase/Metrics.h>
#include <memory>
#include <set>
#include <stagepostd/RolloutRecords.h>
#include <stagepostd/RolloutRoles.h>
#include <stagepostd/ServiceRollout.h>
#include <stagepostd/VersionSightings.h>

namespace Stagepost {

// A send of a request, for counting how many a version got and how it answered.
struct VersionedSend {
    std::string service;
    std::string version;
    UpstreamRole role { UpstreamRole::Serving };
};

// Carries out the orders to roll out versions on this daemon: assigns roles to upstreams, decides
// which requests go to a new version, counts answers, and passes messages between the coordinators
// of the daemons. Does not exist where roll-outs are switched off.
class RolloutController {
public:
    struct Hooks {
        std::function<void(VMId to, std::string const& body)> send;
        RolloutRecordHooks records;
        // What this daemon knows of the orders has changed, and is news for other daemons.
        std::function<void()> changed;
        // The other daemons that may have a part of an allowance of the fleet; see FleetShare.
        std::function<std::vector<VMId>()> daemonsWithShare { [] { return std::vector<VMId> {}; } };
    };

    RolloutController(FleetPeer self, RolloutSchedule, ServiceTable&, Metrics&, NowHook, RandomHook, Hooks);
    RolloutController(RolloutController const&) = delete;
    RolloutController& operator=(RolloutController const&) = delete;

    // Handles the orders that a read of the store returned, which are all orders or those since the
    // last read, and the position up to which they are known.
    void updateOrders(std::vector<RolloutOrderRecord> const&, bool isWhole, Instant readSentAt, uint64_t position, bool isAfterRestore);
    // Merges another daemon's states, which were current at the given time if there is one.
    void mergeStates(RolloutStates const&, std::optional<Instant> provenAt);
    // All orders were known as of this time.
    void confirm(Instant provenAt);
    RolloutStates states() const { return m_book.states(m_now()); }
    uint64_t position() const { return m_book.position(); }
    std::optional<Instant> provenAt() const { return m_book.age().confirmedAt(); }

    // Whether this daemon knows enough of the orders to serve requests.
    bool isReady() const;
    // Whether versions were seen that may be the target of an order that is not known yet.
    bool hasUnprovenVersions() const { return !m_unprovenServices.empty(); }

    void setPeers(std::vector<FleetPeer> const&);
    // Returns false if the message is malformed.
    bool receive(VMId from, std::string_view body);
    // Upstreams of the service were added, changed or removed. Takes effect with applyChanges().
    void upstreamsChanged(std::string const& service) { m_changedServices.insert(service); }
    void applyChanges();
    void tick();

    // The role of the upstreams to which the first send of a request goes.
    UpstreamRole roleForRequest(std::string const& service, RouteId, std::optional<uint64_t> context);
    // Returns none if the upstream must not get a request of the role now: its role has changed since it
    // was chosen, or the version has got its share. Otherwise the send is counted.
    std::optional<VersionedSend> startSend(UpstreamId, UpstreamRole, RouteId);
    // Whether an upstream with so many other requests has about the load of the serving ones.
    bool isUnderLoad(VersionedSend const&, double inFlight, double meanOfServing) const;
    void finishSend(VersionedSend const&);
    // Judges the version by the answer to a send that has been finished. The answer is the first of its
    // request if no earlier send of the request was answered. Takes the time at which it ended.
    void recordAnswer(VersionedSend const&, AnswerSample const&, bool isFirstAnswer, Instant endedAt);

    std::map<std::string, std::unique_ptr<ServiceRollout>> const& rollouts() const { return m_rollouts; }
    size_t runningAt(std::string const& service, std::string const& version) const;
    std::optional<RolloutState> state(std::string const& service) const { return m_book.state(service, m_now()); }
    Instant now() const { return m_now(); }

private:
    RolloutCoordinator::Hooks coordinatorHooks(RolloutOrder const&);
    void updateService(std::string const& service);
    void updateRollout(std::string const& service, RolloutState const&);
    void startRollout(RolloutState const&);
    uint64_t takeSlack(RolloutState const&);
    void logEvidence(ServiceRollout const&);
    void assignRoles(std::string const& service);
    void updateLease(std::string const& service, ServiceRollout const&);
    bool mayUseOldVersion(ServiceRollout const&) const;
    bool isTargetServing(std::string const& service) const;
    ServiceRollout* find(std::string const& service, RolloutId);
    ServiceRollout* find(std::string const& service);
    ServiceRollout const* find(std::string const& service) const;
    size_t runningAtOtherVersions(std::string const& service, std::string const& version) const;
    void logCondemned(RolloutOrder const&, VersionVerdict const&);
    void readStatusesIfNeeded();
    void handleStatuses(Result<RolloutStatuses> const&);
    void handleRecorded(RolloutCoordinator::RecordRequest const&, RolloutRecordOutcome const&, bool isOfCoordinator);
    void record(RolloutCoordinator::RecordRequest const&, bool isOfCoordinator);
    void recordAgainAfterRestore();

    FleetPeer m_self;
    RolloutSchedule m_schedule;
    ServiceTable& m_serviceTable;
    Metrics& m_metrics;
    NowHook m_now;
    RandomHook m_random;
    Hooks m_hooks;
    // None until the registry is known.
    std::optional<std::vector<FleetPeer>> m_peers;
    RolloutBook m_book;
    VersionSightings m_sightings;
    std::map<std::string, std::unique_ptr<ServiceRollout>> m_rollouts;
    Instant m_startedAt;
    // The orders of which this daemon has taken its part of the slack.
    std::set<RolloutId> m_ordersWithSlack;
    // When a judge last logged its evidence, by service.
    std::map<std::string, Instant> m_evidenceLoggedAt;
    // Learn the usual times of each service's answers before there is an order.
    std::map<std::string, AnswerClassifier> m_classifiers;
    // Services whose state or upstreams have changed since the last call of applyChanges().
    std::set<std::string> m_changedServices;
    // Services with versions that wait for proven orders.
    std::set<std::string> m_unprovenServices;
    // Whether the roles that were assigned to the upstreams of these services take it that the old
    // version may be used.
    std::map<std::string, bool> m_assumedLeases;
    // This daemon's requests that are running, by service and version.
    std::map<std::string, std::map<std::string, size_t>> m_running;
    bool m_needsStatuses { true };
    bool m_isReadingStatuses { false };
    Instant m_nextStatusReadAt;
    // How often the statuses are still written again after a restore of the store, and when next.
    unsigned m_repetitionsAfterRestore { 0 };
    Instant m_nextRepetitionAt;
};

}

#pragma once

#include <LibMembership/UpstreamDirectory.h>
#include <LibProxy/Endpoint.h>
#include <LibRouting/AdmissionGate.h>
#include <LibRouting/RetryBudget.h>
#include <LibRouting/ServicePlacement.h>
#include <LibRouting/StreamOriginExchange.h>
#include <LibRouting/UpstreamRole.h>
#include <LibRouting/VersionHistory.h>
#include <LibSettings/RouteTable.h>
#include <map>
#include <memory>
#include <set>
#include <stagepostd/EventNumberings.h>
#include <string>
#include <vector>

namespace Stagepost {

// The roles of a service's upstreams by the version that they run.
struct VersionRoles {
    std::map<std::string, UpstreamRole> byVersion;
    // Of upstreams of all other versions, and of those whose version is unknown.
    UpstreamRole ofOthers { UpstreamRole::Serving };
    // The upstreams of Candidate versions that take requests. The others of these versions are Excluded.
    std::set<UpstreamId> trialSet;

    UpstreamRole roleOf(std::string const& version, UpstreamId) const;
    bool operator==(VersionRoles const&) const = default;
};

// The services of a gateway, each with its upstreams, their load and health, its retry budget and
// its admission control.
class ServiceTable {
public:
    struct Bounds {
        std::string hall;
        ServicePlacement::Bounds placement;
        RetryBudget::Bounds retries;
        // This daemon's part of the slack of the fleet's retries; see RetryBudget.
        RetryBudget::ShareHook retryShare { [](Instant) { return 0.0; } };
    };

    struct Entry {
        ServicePlacement placement;
        RetryBudget retries;
        AdmissionGate gate;
    };

    // Called when an upstream's process is gone or was replaced, so that idle connections to it can
    // be closed.
    using UpstreamRemovedCallback = std::function<void(Endpoint const&)>;

    struct Target {
        std::string instance;
        Endpoint endpoint;
        std::string service;
        HallId hall;
        // From the upstream's record.
        size_t slots { 1 };
        bool isLeaving { false };
        std::string version {};
    };

    struct VersionedUpstream {
        UpstreamId id;
        std::string instance;
        std::string version;
        // By its record, its own announcement, or because its hall is emptied.
        bool isLeaving { false };
        UpstreamRole role { UpstreamRole::Serving };
    };

    ServiceTable(Bounds bounds, RandomHook random, UpstreamRemovedCallback upstreamRemoved, Instant now = {})
        : m_bounds(std::move(bounds))
        , m_random(std::move(random))
        , m_upstreamRemoved(std::move(upstreamRemoved))
        , m_historySince(now)
    {
    }

    // Adds, updates or removes an upstream.
    void apply(UpstreamChange const&, Instant now);

    // Operators empty the hall, or cancel that. Upstreams of an emptied hall get no further requests,
    // but other upstreams can still copy contexts from them. After the cancellation they are treated
    // as just started: they may be cold, and all their contexts would return at once.
    void setHallEmptied(HallId, bool isEmptied, Instant now);
    // The upstream reports that it stays cold for this long.
    void markCold(UpstreamId, Milliseconds left, Instant now);

    // This daemon's own links to the upstreams were lost and are back: what was held against the
    // upstreams for want of answers is forgotten.
    void forgetUnreachable(Instant now);

    // The upstream announces in an answer that it is leaving. A record never revokes this, since it
    // may be older than the answer, or restored by a store that has lost its last seconds.
    void markLeaving(UpstreamId, Instant now);

    // Applies the cold start limits of the services, and the time for which routes let streams be taken up.
    void applySettings(RouteTable const&, double coldOvershoot, double coldSlack);
    // Sets the roles of the service's upstreams, both of the known ones and of those added later. Until
    // then, all are Serving.
    void setVersionRoles(std::string const& service, VersionRoles const&);
    std::vector<VersionedUpstream> upstreamsOf(std::string const& service) const;
    // Excluded if there is no such upstream.
    UpstreamRole role(UpstreamId) const;
    // The versions that the service's upstreams have had of late; null if it has had no upstream.
    VersionHistory const* versions(std::string const& service) const;
    // Other daemons may have used the upstream of this record, which is not in this daemon's list, until now. Whether it may
    // serve on without a record, see VersionHistory::lapsed().
    void notePassedOver(UpstreamRecord const&, bool mayServe, Instant now);
    // Upstreams of these versions may still be in use, although no history of the store proves it.
    void noteLapsed(ServiceVersions const&, Instant now);
    // Whether an upstream of the service has started again under its name with another version.
    bool hasReusedNames(std::string const& service) const { return m_servicesWithReusedNames.contains(service); }
    // This daemon may have missed upstreams that came and went.
    void restartVersionHistory(Instant now);
    // These are all versions that upstreams have had before, or while this daemon may have missed some.
    // Ignored if the read that has told them was sent before the latest such gap was noticed. Of the lapsed ones, upstreams may
    // still be in use; see VersionHistory.
    void restoreVersionHistory(ServiceVersions const&, ServiceLapsedVersions const& lapsed, Instant readSentAt, Instant now);
    // Sets how old the list of upstreams is, none before there is one. To be called at each tick.
    void setListAge(std::optional<Microseconds>, Instant now);
    // The versions that upstreams have had for as long as streams can be taken up, by service; none if some
    // may have been missed.
    std::optional<ServiceVersions> recentVersions(Instant now) const;
    ServiceLapsedVersions lapsedVersions(Instant now) const;
    // Whether the list is current, and recentVersions() needs what was missed.
    bool lacksVersionHistory(Instant now) const;
    StreamOriginExchange::VersionKnowledge versionKnowledge(std::string const& service, Instant now) const;

    // Callers may take a stream up until their deadline, and on their way here.
    static constexpr Milliseconds streamRecordMargin { 1000 };
    // A list that is older proves nothing. Reads of the store may fail once and are repeated within a second.
    static constexpr Microseconds maxListAge { 2500000 };
    // The role of the version's upstreams that take requests of it; none if there are none.
    std::optional<UpstreamRole> roleOfVersion(std::string const& service, VersionId) const;
    // The number of this daemon's requests in flight at upstreams of these versions. Requests at an
    // upstream whose record is gone, or whose process was replaced, are not counted.
    size_t inFlightAt(std::string const& service, std::set<std::string> const& versions) const;

    // Creates the service on first use. Services are never removed.
    Entry& service(std::string const& name);
    Target const* target(UpstreamId) const;
    // The id of the upstream's current process.
    std::optional<UpstreamId> currentId(std::string const& instance) const;
    // Tracks which upstreams and halls no longer answer.
    SilenceDetector& silence() { return m_silence; }
    EventNumberings& eventNumberings() { return m_eventNumberings; }
    std::map<std::string, std::unique_ptr<Entry>> const& services() const { return m_services; }
    std::vector<UpstreamId> upstreamIds() const;
    size_t upstreamCount() const { return m_targets.size(); }

private:
    // Whether an upstream may go on serving after its removal.
    enum class Removal {
        MayServe,
        HasEnded,
    };
    void remove(std::string const& instance, Removal, Instant now);
    void requireVersionProof(Instant now);
    void noteVersion(std::string const& service, VersionId, bool hasLapsed, Instant now);
    VersionHistory& versionHistory(std::string const& service);
    void countVersion(Target const&, Instant now);
    void uncountVersion(Target const&, Instant now);
    void updatePlacement(UpstreamId, Target const&);
    bool isLeaving(UpstreamId, Target const&) const;
    UpstreamRole roleOf(UpstreamId, Target const&) const;
    void applyColdTime(UpstreamRecord const&, Instant now);
    void noteVersionChange(UpstreamRecord const&);
    void removeReplaced(UpstreamRecord const&, Instant now);

    Bounds m_bounds;
    RandomHook m_random;
    UpstreamRemovedCallback m_upstreamRemoved;
    SilenceDetector m_silence;
    EventNumberings m_eventNumberings;
    std::map<std::string, std::unique_ptr<Entry>> m_services;
    std::map<UpstreamId, Target> m_targets;
    // By service. Without an entry, all upstreams of the service are Serving.
    std::map<std::string, VersionRoles> m_versionRoles;
    // By service: the number of upstreams of each version, and which versions there have been.
    std::map<std::string, std::map<VersionId, size_t>> m_versionCounts;
    std::map<std::string, VersionHistory> m_versionHistories;
    std::set<std::string> m_servicesWithReusedNames;
    // For this long streams can be taken up, by all settings that were in force.
    Microseconds m_streamLifetime { VersionHistory::memory };
    // Since when this daemon has seen all changes of upstreams.
    Instant m_historySince;
    std::optional<Microseconds> m_listAge;
    // As of when the list is known, if it has an age.
    Instant m_listProvenAt;
    // When the list was last current.
    Instant m_listCurrentAt;
    std::set<HallId> m_emptiedHalls;
    // Upstreams that announced in an answer that they are leaving, with the time of the first such
    // answer.
    std::map<UpstreamId, Instant> m_announcedLeaving;
    // The id of each upstream's current process, by instance name.
    std::map<std::string, UpstreamId> m_currentIds;
};

}

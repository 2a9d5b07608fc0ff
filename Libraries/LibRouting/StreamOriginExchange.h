#pragma once

#include <LibBase/FleetPeer.h>
#include <LibBase/QuestionNumbers.h>
#include <LibBase/Time.h>
#include <LibRouting/LateStreamOrigins.h>
#include <LibRouting/StreamKeepers.h>
#include <LibRouting/StreamOriginEvidence.h>
#include <LibRouting/StreamOriginMessage.h>
#include <LibRouting/StreamOriginTable.h>
#include <LibRouting/VersionHistory.h>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Stagepost {

// Lets any daemon continue a stream at the software version that began it, also if the daemon that
// began it is gone. What different versions write does not fit together, and upstreams don't check it.
//
// While a service has upstreams of several versions, a daemon sends the version of each stream to a few
// keepers before it forwards the first event. Rendezvous hashing of the stream's id chooses them, in
// different halls, so every daemon knows whom to ask. When a second version appears, the streams that are
// under way get such records as well.
//
// Only what is certain tells a version:
// - a record, unless another one contradicts it. All daemons that are asked may do so within the time-out, also where
//   this daemon has a record: a stream that began here may have begun again elsewhere while this daemon stood still;
// - a list of upstreams that has shown a single version for as long as streams can be taken up, and that was
//   current when the stream was taken up. A list from before may lack a version that has joined since, so it counts only
//   if the stream has no record from that time on;
// - that the stream has no record at all, while no daemon that answers knows of a second version.
// "No record" counts only if all daemons say so that were keepers of the stream by any list of daemons of that time, and
// if each has kept all records since. One that has left, started, was suspended or was full since makes the version unknown.
//
// A daemon that starts gets the records that it keeps from all that have them.
class StreamOriginExchange {
public:
    struct Bounds {
        StreamKeepers::Bounds keepers;
        // The daemons that are asked, as others may have chosen keepers from another list of daemons.
        size_t askedDaemons { 8 };
        // A round trip between regions takes 16 ms. Queries and replies may be lost.
        Microseconds repetitionInterval { 25000 };
        Microseconds timeout { 80000 };
        // How long a stream may wait beyond that for what is about to arrive: a confirmation of the list of upstreams, and
        // the records of a daemon that has just started. Lists are confirmed at least every 0.6 s.
        Microseconds proofTimeout { 800000 };
        Microseconds proofInterval { 100000 };
        // A daemon that has just started gets its records within this time.
        Microseconds recoveryTime { 2000000 };
        size_t maxRecords { 65536 };
        // The streams that may wait at a time. Further ones are refused.
        size_t maxPending { 4096 };
    };

    // What this daemon knows of a service's versions. See VersionHistory.
    struct VersionKnowledge {
        // The only version for as long as streams can be taken up.
        std::optional<VersionId> uniform {};
        // As of when the list of upstreams is known.
        Instant listProvenAt {};
        // The version of streams that have no record.
        std::optional<VersionId> withoutRecords {};
        // All streams that began before were of the version withoutRecords.
        std::optional<Instant> restoredUniformAt {};
        // Whether it has had several versions in this time.
        bool hasSeveral { false };
        // Whether streams that begin now need a record.
        bool needsRecords { false };
        // No stream that began longer ago can be taken up.
        Microseconds streamLifetime { VersionHistory::memory };
    };

    struct Hooks {
        std::function<void(VMId to, std::string bytes)> send;
        std::function<VersionKnowledge(std::string const& service, Instant now)> versions;
        RandomHook random;
        // Keeps the record beyond the lives of all daemons.
        std::function<void(StreamOriginRecord const&)> persist { [](StreamOriginRecord const&) {} };
        // A record names another version than one that is known already.
        std::function<void(StreamOriginContradiction const&)> contradicted { [](StreamOriginContradiction const&) {} };
    };

    // What has told the version at which a stream has begun.
    enum class Source {
        None,
        Record,
        // A list of upstreams that has shown a single version for long.
        OneVersion,
        // No daemon has a record, and none knows of several versions.
        NoRecord,
        // Records name different versions, so that none is certain.
        Contradiction,
    };
    struct Origin {
        // None if it can't be told.
        std::optional<VersionId> version;
        // Whether it can't be told later or by another daemon either: all keepers have replied, and none has just started.
        bool isFinal { false };
        Source source { Source::None };
        // Where the record is from, if one has decided.
        StreamOriginEvidence evidence {};
    };
    using Callback = std::function<void(Origin const&)>;

    StreamOriginExchange(FleetPeer self, Bounds bounds, Hooks hooks, Instant now)
        : m_self(self)
        , m_bounds(bounds)
        , m_hooks(std::move(hooks))
        , m_startedAt(now)
        , m_keepsSince(now)
        , m_keepers(self, bounds.keepers)
        , m_table(bounds.maxRecords)
        , m_restored(bounds.maxRecords)
        , m_queryNumbers(m_hooks.random)
        , m_late({}, { [this](auto const& service, Instant time) { return m_hooks.versions(service, time).needsRecords; }, [this](auto const& record) { sendToKeepers(record); } })
    {
    }

    // Sets the other registered daemons.
    void setPeers(std::vector<FleetPeer> peers, Instant now) { m_keepers.setPeers(std::move(peers), now); }
    // Whether the other daemons have been set. Before, nobody could be asked.
    bool knowsPeers() const { return m_keepers.knowsPeers(); }
    // This daemon was suspended, so records sent to it may have been lost, and lists of daemons missed.
    void restart(Instant now);

    // The daemon has started and lacks the records that it is a keeper of.
    void peerStarted(VMId, Instant now);

    // Records at which version the stream has begun: here, and, once the service may have several, at the stream's
    // keepers.
    void record(StreamId, std::string const& service, VersionId, Microseconds lifetime, Instant now);
    // Adds records that were kept beyond the lives of all daemons.
    void restore(std::vector<StreamOriginRecord> const&, Instant now);
    // Finds that version. The callback may be called synchronously.
    void find(StreamId, std::string const& service, Callback, Instant now);

    // Error: Malformed.
    Result<void> receive(VMId from, std::string_view bytes, Instant now);
    void tick(Instant now);
    // The earliest time at which a pending query has to be repeated or given up.
    std::optional<Instant> nextTimeout() const;

    size_t recordCount() const { return m_table.records().size() + m_restored.records().size(); }

private:
    using Place = StreamOriginEvidence::Place;

    // What a daemon has replied, with times of this daemon's clock. Where a time isn't known exactly, it is the one that
    // proves less.
    struct Answer {
        std::optional<VersionId> recorded;
        bool isContradictory { false };
        // Since when it has kept all records that it got.
        Instant keepsSince;
        std::optional<VersionId> uniform;
        Instant uniformAsOf;
        std::optional<VersionId> withoutRecords;
        bool hasSeveral { false };
    };
    struct Pending {
        StreamId stream;
        std::string service;
        // By all lists that are known, those by the present one last.
        std::vector<StreamKeepers::Keepers> keepers;
        std::vector<VMId> asked;
        std::map<VMId, Answer> answers;
        VersionKnowledge own;
        Instant startedAt;
        Instant repeatAt;
        Callback callback;
    };
    struct KnownOrigin {
        VersionId version;
        std::optional<VersionId> contradicting;
        StreamOriginEvidence evidence;
    };

    void sendToKeepers(StreamOriginRecord const&);
    void sendRecord(VMId to, StreamId, StreamOriginTable::Record const&, Instant now) const;
    void addTo(StreamOriginTable&, StreamOriginRecord const&, StreamOriginEvidence const&, Instant now);
    std::optional<KnownOrigin> findRecord(StreamId, Instant now) const;
    // Reports the known versions of the stream that this one contradicts.
    void reportContradictions(StreamId, VersionId, StreamOriginEvidence const&, Pending const*, Instant now) const;
    StreamOriginReply makeReply(StreamId, VersionKnowledge const&, Instant now) const;
    static Answer answerFrom(StreamOriginReply const&, Instant sentAfter, Instant receivedAt);
    void updateOwnAnswer(Pending&, Instant now) const;
    void sendQueries(uint64_t queryId, Pending const&, bool isForAll);
    // None while further replies may decide.
    std::optional<Origin> resolve(Pending const&, Instant now) const;
    std::optional<Origin> originByRecords(Pending const&, Instant now) const;
    bool mayLackRecordSince(Pending const&, Instant since) const;
    static std::optional<VersionId> onlyVersionNamed(Pending const&);
    static std::optional<VersionId> uniformVersion(Pending const&);
    static std::optional<VersionId> versionOfCurrentList(Pending const&);
    std::optional<VersionId> versionOfEarlierList(Pending const&) const;
    std::optional<VersionId> versionWithoutRecord(Pending const&) const;
    bool haveKeepersReplied(Pending const&) const;
    bool areKeepersRecovering(Pending const&, Instant now) const;
    bool mayBeProvenSoon(Pending const&, Instant now) const;
    void complete(uint64_t queryId, Origin const&);

    FleetPeer m_self;
    Bounds m_bounds;
    Hooks m_hooks;
    // When this daemon has started, or was last suspended.
    Instant m_startedAt;
    Instant m_keepsSince;
    StreamKeepers m_keepers;
    StreamOriginTable m_table;
    // What was kept beyond the lives of all daemons. It is not sent to daemons that start, since each gets all of it by itself.
    StreamOriginTable m_restored;
    std::map<uint64_t, Pending> m_pending;
    QuestionNumbers m_queryNumbers;
    LateStreamOrigins m_late;
};

// The name in logs and metrics.
std::string_view nameOf(StreamOriginExchange::Source);

}

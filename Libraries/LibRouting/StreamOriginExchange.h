#pragma once

#include <LibBase/FleetPeer.h>
#include <LibBase/Time.h>
#include <LibRouting/StreamOriginMessage.h>
#include <LibRouting/StreamOriginTable.h>
#include <LibRouting/VersionHistory.h>
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
// different halls, so every daemon knows whom to ask. A stream without a record has begun while there
// was one version, if a keeper can rule out that it has lost the record. Only a record or a history of the
// versions that covers the stream's whole life tells its version. Otherwise it stays unknown, however many
// daemons have seen a single version since they started.
//
// A daemon that starts gets the records that it keeps from all that have them.
class StreamOriginExchange {
public:
    struct Bounds {
        // The daemons that keep each record. In a large fleet, a daemon's traffic allows fewer.
        size_t keepers { 3 };
        size_t keepersInLargeFleet { 2 };
        size_t largeFleet { 128 };
        // The daemons that are asked, as others may have chosen keepers from another list of daemons.
        size_t askedDaemons { 8 };
        // A round trip between regions takes 16 ms. Queries and replies may be lost.
        Microseconds repetitionInterval { 25000 };
        Microseconds timeout { 80000 };
        size_t maxRecords { 65536 };
    };

    // What this daemon knows of a service's versions.
    struct VersionKnowledge {
        // See StreamOriginReply and VersionHistory.
        std::optional<VersionId> uniform;
        std::optional<VersionId> withoutRecords;
        bool hasRestoredUniform { false };
    };

    struct Hooks {
        std::function<void(VMId to, std::string bytes)> send;
        std::function<VersionKnowledge(std::string const& service, Instant now)> versions;
    };

    // What has told the version at which a stream has begun.
    enum class Source {
        None,
        Record,
        // A list of upstreams that shows a single version.
        OneVersion,
        // No daemon has a record, so the stream began while there was one version.
        NoRecord,
    };
    struct Origin {
        // None if it can't be told.
        std::optional<VersionId> version;
        // Whether all keepers have replied. If not, another daemon may find out.
        bool haveKeepersReplied { false };
        Source source { Source::None };
    };
    using Callback = std::function<void(Origin const&)>;

    StreamOriginExchange(FleetPeer self, Bounds bounds, Hooks hooks, Instant now)
        : m_self(self)
        , m_bounds(bounds)
        , m_hooks(std::move(hooks))
        , m_keepsSince(now)
        , m_table(bounds.maxRecords)
    {
    }

    // Sets the other registered daemons.
    void setPeers(std::vector<FleetPeer>);
    // Whether the other daemons have been set. Before, nobody could be asked.
    bool knowsPeers() const { return m_knowsPeers; }
    // This daemon was suspended, so records sent to it may have been lost.
    void restart(Instant now) { m_keepsSince = now; }

    // The daemon has started and lacks the records that it is a keeper of.
    void peerStarted(VMId, Instant now);

    // Records at which version the stream has begun, here and at its keepers.
    void record(StreamId, VersionId, Microseconds lifetime, Instant now);
    // Finds that version. The callback may be called synchronously.
    void find(StreamId, std::string const& service, Callback, Instant now);

    // Error: Malformed.
    Result<void> receive(VMId from, std::string_view bytes, Instant now);
    void tick(Instant now);
    // The earliest time at which a pending query has to be repeated or given up.
    std::optional<Instant> nextTimeout() const;

    size_t recordCount() const { return m_table.records().size(); }

private:
    struct Pending {
        StreamId stream;
        std::string service;
        std::vector<VMId> keepers;
        std::vector<VMId> asked;
        std::map<VMId, StreamOriginReply> replies;
        Instant repeatAt;
        Instant deadline;
        Callback callback;
    };

    std::vector<VMId> chooseDaemons(StreamId, size_t count) const;
    size_t keeperCount() const;
    StreamOriginReply replyTo(StreamId, std::string const& service, Instant now) const;
    void sendQueries(uint64_t queryId, Pending const&);
    // None while further replies may decide.
    std::optional<Origin> resolve(Pending const&, Instant now) const;
    static bool haveOthersReplied(Pending const&);
    static bool isUnrecorded(Pending const&);
    static std::optional<VersionId> provenVersion(Pending const&);
    static std::optional<VersionId> versionWithoutRecords(Pending const&);
    void complete(uint64_t queryId, Origin const&);
    bool keepsAllRecords(Instant now) const { return now - m_keepsSince >= VersionHistory::memory; }

    FleetPeer m_self;
    Bounds m_bounds;
    Hooks m_hooks;
    Instant m_keepsSince;
    StreamOriginTable m_table;
    std::vector<FleetPeer> m_peers;
    bool m_knowsPeers { false };
    std::map<uint64_t, Pending> m_pending;
    uint64_t m_lastQueryId { 0 };
};

// The name in logs and metrics.
std::string_view nameOf(StreamOriginExchange::Source);

}

#pragma once

#include <LibBase/Ids.h>
#include <LibBase/Time.h>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Stagepost {

// Records at which version streams have begun, until their callers can't take them up any more.
class StreamOriginTable {
public:
    explicit StreamOriginTable(size_t maxRecords)
        : m_maxRecords(maxRecords)
    {
    }

    // Which daemon has sent the record, and when it has arrived. Only logged.
    struct Arrival {
        VMId from;
        Instant at;
    };
    struct Record {
        VersionId version;
        Instant expiresAt;
        Arrival arrival;
        // Set if another record has named this version instead, so that the stream's version is unknown.
        std::optional<VersionId> contradicting {};
    };

    // A later record only extends the lifetime of the first one, and shows whether it contradicts it. A full table drops the
    // record that expires first. Returns when that one would have expired, if one was dropped.
    std::optional<Instant> record(StreamId, VersionId, Instant expiresAt, Arrival = {});
    // None also if records contradict each other.
    std::optional<VersionId> find(StreamId, Instant now) const;
    // Null if there is none.
    Record const* findRecord(StreamId, Instant now) const;
    void expire(Instant now);

    std::map<StreamId, Record> const& records() const { return m_records; }

private:
    void eraseFirst();

    size_t m_maxRecords;
    std::map<StreamId, Record> m_records;
    // The same records in the order in which they expire.
    std::set<std::pair<Instant, StreamId>> m_expiries;
};

}

#pragma once

#include <LibBase/Ids.h>
#include <LibProxy/EventFormat.h>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Stagepost {

// Learns from whole streams whether the upstreams of a service number their events one after the other. Where they do, an
// event that leaves numbers out is foreign, or another one is missing. Where they don't, it is sound.
//
// Each daemon learns for itself, and anew for each version of a service's software.
class EventNumberings {
public:
    struct Bounds {
        // What proves that ids count: this many whole streams without a gap, with so many events.
        size_t countingStreams { 8 };
        uint64_t countedEvents { 32 };
        // What proves that they don't: this many whole streams with gaps, of two upstreams.
        size_t streamsWithGaps { 3 };
        // What refutes that they count: this many streams that missed events at two upstreams, with no whole stream between.
        size_t incompleteStreams { 3 };
        // Gaps, and what they proved, are forgotten after this many whole streams without one, since upstreams may have
        // sent foreign events.
        size_t forgettingStreams { 256 };
        // Services with their versions.
        size_t capacity { 512 };
    };

    struct Key {
        std::string service;
        std::string version;

        auto operator<=>(Key const&) const = default;
    };

    EventNumberings() = default;
    explicit EventNumberings(Bounds bounds)
        : m_bounds(bounds)
    {
    }

    EventNumbering numberingOf(Key const&) const;
    // The format with the numbering that is known, if it says that it isn't.
    EventFormat formatFor(Key const&, EventFormat) const;

    // Records a whole stream, by its events with the next number each and those that left numbers out. Returns whether
    // the numbering has changed.
    bool streamCompleted(Key const&, UpstreamId, uint64_t nextNumbers, uint64_t gaps);
    // Records that a stream was broken off at an event that left numbers out. Returns whether the numbering has changed.
    bool eventMissed(Key const&, UpstreamId);

private:
    struct Record {
        EventNumbering numbering { EventNumbering::Unknown };
        // Since the last gap.
        size_t countingStreams { 0 };
        uint64_t countedEvents { 0 };
        size_t streamsWithGaps { 0 };
        std::set<UpstreamId> upstreamsWithGaps;
        // Since the last whole stream.
        size_t incompleteStreams { 0 };
        std::set<UpstreamId> incompleteUpstreams;
    };

    Record& recordOf(Key const&);
    void recordCounting(Record&, uint64_t nextNumbers) const;
    void recordGaps(Record&, UpstreamId) const;

    Bounds m_bounds;
    std::map<Key, Record> m_records;
};

}

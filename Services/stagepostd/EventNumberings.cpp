#include <stagepostd/EventNumberings.h>

namespace Stagepost {

namespace {

    constexpr size_t independentUpstreams = 2;

    void insertBounded(std::set<UpstreamId>& upstreams, UpstreamId upstream)
    {
        if (upstreams.size() < independentUpstreams)
            upstreams.insert(upstream);
    }

}

EventNumbering EventNumberings::numberingOf(Key const& key) const
{
    auto const found = m_records.find(key);
    return found == m_records.end() ? EventNumbering::Unknown : found->second.numbering;
}

EventFormat EventNumberings::formatFor(Key const& key, EventFormat format) const
{
    if (format.numbering == EventNumbering::Unknown)
        format.numbering = numberingOf(key);
    return format;
}

// Versions come and go over the months of a process; the others are learnt again within a few streams.
EventNumberings::Record& EventNumberings::recordOf(Key const& key)
{
    if (m_records.size() >= m_bounds.capacity && !m_records.contains(key))
        m_records.clear();
    return m_records[key];
}

bool EventNumberings::streamCompleted(Key const& key, UpstreamId upstream, uint64_t nextNumbers, uint64_t gaps)
{
    if (!gaps && !nextNumbers)
        return false;
    auto& record = recordOf(key);
    auto const before = record.numbering;
    if (gaps)
        recordGaps(record, upstream);
    else
        recordCounting(record, nextNumbers);
    return record.numbering != before;
}

void EventNumberings::recordCounting(Record& record, uint64_t nextNumbers) const
{
    record.incompleteStreams = 0;
    record.incompleteUpstreams.clear();
    ++record.countingStreams;
    record.countedEvents += nextNumbers;
    if (record.streamsWithGaps && record.countingStreams >= m_bounds.forgettingStreams) {
        record.streamsWithGaps = 0;
        record.upstreamsWithGaps.clear();
        record.numbering = EventNumbering::Unknown;
    }
    bool const isProven = !record.streamsWithGaps && record.countingStreams >= m_bounds.countingStreams && record.countedEvents >= m_bounds.countedEvents;
    if (record.numbering == EventNumbering::Unknown && isProven)
        record.numbering = EventNumbering::Consecutive;
}

void EventNumberings::recordGaps(Record& record, UpstreamId upstream) const
{
    record.countingStreams = 0;
    record.countedEvents = 0;
    ++record.streamsWithGaps;
    insertBounded(record.upstreamsWithGaps, upstream);
    if (record.streamsWithGaps >= m_bounds.streamsWithGaps && record.upstreamsWithGaps.size() >= independentUpstreams)
        record.numbering = EventNumbering::Rising;
}

bool EventNumberings::eventMissed(Key const& key, UpstreamId upstream)
{
    auto& record = recordOf(key);
    if (record.numbering != EventNumbering::Consecutive)
        return false;
    ++record.incompleteStreams;
    insertBounded(record.incompleteUpstreams, upstream);
    if (record.incompleteStreams < m_bounds.incompleteStreams || record.incompleteUpstreams.size() < independentUpstreams)
        return false;
    record = {};
    return true;
}

}

#pragma once

#include <LibProxy/Detail/Exchange.h>

namespace Stagepost {

// What is held in memory of one response: its begin until more has arrived, its events while they are incomplete or being
// written, and the copy for the record. All of it is charged to the memory for clients.
class HeldResponse {
public:
    // Events up to this size are held in any case, as each read may bring so much of them.
    static constexpr size_t maxOrdinaryEventBytes = 16u << 10;

    // The record receives the copy of the body.
    HeldResponse(SessionExchange& exchange, ForwardPlan const& plan, HttpResponse& record)
        : m_exchange(exchange)
        , m_plan(plan)
        , m_record(record)
    {
    }

    // Begins the record. Only to be called if the plan asks for one.
    void recordHeader(unsigned status, HttpFields headers);
    // Adds bytes of the body to the record, unless it has already exceeded its limit.
    void record(std::string_view);
    bool isRecordingComplete() const { return m_plan.maxRecordedBytes && m_record.body.size() <= m_plan.maxRecordedBytes; }

    // Adds bytes to the begin that is held. Returns false, and adds none, if that would exceed the plan's limit or the memory.
    bool tryBuffer(std::string_view);
    std::string const& buffered() const { return m_buffered; }
    void clearBuffered();

    // Counts the events that are being written.
    void holdWholeEvents(size_t bytes);
    // Returns whether there is memory for an incomplete event that takes that many bytes.
    bool tryHoldIncompleteEvent(size_t bytes);

private:
    size_t bytes() const { return m_record.body.size() + m_buffered.size() + m_wholeEventBytes + m_incompleteEventBytes; }

    SessionExchange& m_exchange;
    ForwardPlan const& m_plan;
    HttpResponse& m_record;
    std::string m_buffered;
    size_t m_wholeEventBytes { 0 };
    size_t m_incompleteEventBytes { 0 };
};

}

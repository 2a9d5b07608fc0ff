#include <LibProxy/Detail/HeldResponse.h>

#include <utility>

namespace Stagepost {

void HeldResponse::recordHeader(unsigned status, HttpFields headers)
{
    m_record.status = status;
    m_record.headers = std::move(headers);
    m_record.headers.removeHopByHop(m_plan.endToEndFields);
    m_record.headers.remove("Content-Length");
}

void HeldResponse::record(std::string_view body)
{
    if (!isRecordingComplete())
        return;
    m_record.body += body;
    m_exchange.hold(bytes());
}

bool HeldResponse::tryBuffer(std::string_view body)
{
    bool const isWithinLimit = m_buffered.size() + body.size() <= m_plan.maxBufferedBytes;
    if (!isWithinLimit || !m_exchange.mayHold(bytes() + body.size(), ClientMemory::Use::Request))
        return false;
    m_buffered += body;
    return true;
}

void HeldResponse::clearBuffered()
{
    m_buffered = {};
    m_exchange.hold(bytes());
}

void HeldResponse::holdWholeEvents(size_t bytes)
{
    m_wholeEventBytes = bytes;
    m_exchange.hold(this->bytes());
}

// Large events leave room for ordinary requests, as large bodies do.
bool HeldResponse::tryHoldIncompleteEvent(size_t bytes)
{
    auto const before = std::exchange(m_incompleteEventBytes, bytes);
    if (bytes <= maxOrdinaryEventBytes) {
        m_exchange.hold(this->bytes());
        return true;
    }
    if (m_exchange.mayHold(this->bytes(), ClientMemory::Use::LargeBody))
        return true;
    m_incompleteEventBytes = before;
    return false;
}

}

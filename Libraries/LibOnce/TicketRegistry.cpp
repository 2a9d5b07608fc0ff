#include <LibOnce/TicketRegistry.h>

#include <LibBase/Hex.h>

namespace Stagepost {

namespace {

    constexpr size_t fieldSize = 16;
    constexpr size_t fieldCount = 4;
    constexpr size_t ticketSize = fieldCount * fieldSize;

    // A ticket has four fields of 16 hexadecimal digits each: holder, incarnation, serial and
    // authentication tag.
    std::string ticketPayload(VMId holder, Incarnation incarnation, uint64_t serial)
    {
        return toHex(holder.value()) + toHex(incarnation.value()) + toHex(serial);
    }

    std::string authenticatedText(std::string const& payload, OrganisationId organisation)
    {
        return "ticket" + payload + toHex(organisation.value());
    }

}

TicketRegistry::TicketRegistry(Authenticator const& authenticator, VMId self, Incarnation incarnation, size_t window, size_t memoryBytes)
    : m_authenticator(authenticator)
    , m_self(self)
    , m_incarnation(incarnation)
    , m_window(window)
    , m_memoryBytes(memoryBytes)
{
}

void TicketRegistry::setBounds(size_t window, size_t memoryBytes)
{
    m_window = window;
    m_memoryBytes = memoryBytes;
}

std::vector<std::string> TicketRegistry::issue(OrganisationId organisation, size_t count)
{
    std::vector<std::string> tickets;
    while (tickets.size() < count) {
        if (m_slots.size() >= m_window && !evictOldest())
            break;
        auto const serial = m_firstSerial + m_slots.size();
        m_slots.emplace_back();
        auto const payload = ticketPayload(m_self, m_incarnation, serial);
        tickets.push_back(payload + bytesToHex(m_authenticator.computeTag(authenticatedText(payload, organisation))));
    }
    return tickets;
}

bool TicketRegistry::evictOldest()
{
    if (m_slots.front().state == State::Running)
        return false;
    m_responseBytes -= m_slots.front().response.body.size();
    m_slots.pop_front();
    ++m_firstSerial;
    return true;
}

TicketRegistry::Slot* TicketRegistry::findSlot(uint64_t serial)
{
    if (serial < m_firstSerial || serial >= m_firstSerial + m_slots.size())
        return nullptr;
    return &m_slots[serial - m_firstSerial];
}

TicketRegistry::Decision TicketRegistry::redeem(std::string_view ticket, OrganisationId organisation, uint64_t fingerprint)
{
    Refusal const invalid { RefusalReason::TicketInvalid, NotRunProof::nothingSent(), "not a ticket of this fleet and organisation", {} };
    if (ticket.size() != ticketSize)
        return invalid;
    std::string const payload(ticket.substr(0, ticketSize - fieldSize));
    if (!m_authenticator.verifyTag(authenticatedText(payload, organisation), hexToBytes(ticket.substr(ticketSize - fieldSize))))
        return invalid;
    auto const field = [&](size_t index) { return parseHex(ticket.substr(index * fieldSize, fieldSize)).value_or(0); };
    if (VMId(field(0)) != m_self)
        return HeldElsewhere { VMId(field(0)) };
    if (Incarnation(field(1)) != m_incarnation)
        return Refusal { RefusalReason::TicketHolderGone, Verdict::mayHaveRun, "the daemon that handed the ticket out has restarted", {} };
    auto* slot = findSlot(field(2));
    if (!slot)
        return Refusal { RefusalReason::KeyOutOfWindow, Verdict::mayHaveRun, "the ticket is older than what is remembered", {} };
    if (slot->state != State::Unused && slot->fingerprint != fingerprint)
        return Refusal { RefusalReason::KeyReused, NotRunProof::nothingSent(), "the ticket was used for another request", {} };
    switch (slot->state) {
    case State::Unused:
        slot->state = State::Running;
        slot->fingerprint = fingerprint;
        return MayRun { field(2) };
    case State::Running:
        return Refusal { RefusalReason::KeyInProgress, Verdict::mayHaveRun, "the ticket's call is running", Milliseconds(1000) };
    case State::Done:
        if (slot->response.isComplete)
            return Replay { slot->response };
        return Refusal { RefusalReason::KeyInProgress, Verdict::ran, "the call has run; its answer is not kept", {} };
    case State::InDoubt:
        break;
    }
    return Refusal { RefusalReason::KeyInProgress, Verdict::mayHaveRun, "nobody can say whether the ticket's call has run", {} };
}

void TicketRegistry::done(uint64_t serial, RecordedResponse response)
{
    auto* slot = findSlot(serial);
    if (!slot)
        return;
    slot->state = State::Done;
    m_responseBytes += response.body.size();
    slot->response = std::move(response);
    dropOldestBodies();
}

void TicketRegistry::dropOldestBodies()
{
    for (m_nextBodyToDrop = std::max(m_nextBodyToDrop, m_firstSerial); m_responseBytes > m_memoryBytes && m_nextBodyToDrop < m_firstSerial + m_slots.size(); ++m_nextBodyToDrop) {
        auto& response = findSlot(m_nextBodyToDrop)->response;
        m_responseBytes -= response.body.size();
        response.body.clear();
        response.body.shrink_to_fit();
        response.isComplete = false;
    }
}

void TicketRegistry::notRun(uint64_t serial)
{
    if (auto* slot = findSlot(serial))
        slot->state = State::Unused;
}

void TicketRegistry::inDoubt(uint64_t serial)
{
    if (auto* slot = findSlot(serial))
        slot->state = State::InDoubt;
}

}
